// Package entry provides the commands that run an entry, check its settings, and
// run a development cell in one process.
package entry
