// Package shard is the owner of a set of workers and of the jobs that run on
// them. While its tenure lasts it answers callers, places tasks, gives orders and
// records ends; everything that a successor needs is in the journal before it
// takes effect.
package shard
