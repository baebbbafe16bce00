// Package entry runs an entry process, checks its settings, and runs a whole
// small cell in one process for newcomers.
package entry
