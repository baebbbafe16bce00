// Package worker decides on which machine a task is placed. A Fleet tracks the
// resources in use on an owner's machines and places tasks by a scoring policy.
// It does no I/O, reads no clock, and is not safe for concurrent use.
package worker
