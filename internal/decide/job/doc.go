// Package job holds the jobs of a shard and decides what starts where: steps
// with dependencies, gangs, team caps, and the records from which a successor
// rebuilds the same state. It uses no network, clock or lock; callers pass the
// time in milliseconds and serialize the calls.
package job
