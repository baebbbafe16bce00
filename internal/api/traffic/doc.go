// Package traffic counts the bytes that a process exchanges with others, by purpose.
package traffic
