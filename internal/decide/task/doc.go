// Package task provides the queue of waiting tasks. A Queue orders tasks by
// priority class, then by ascending weighted share of their team, and within a
// team by arrival. Push and Remove take constant time, whatever the queue's length.
// A Queue is not safe for concurrent use.
package task
