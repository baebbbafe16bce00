// Package shard implements the owner of a shard: a set of workers and the jobs
// that run on them. During its term of ownership, the owner answers callers,
// places tasks, sends start and stop orders to workers and records how attempts
// ended. Everything that a successor needs is in the journal before it takes
// effect.
package shard
