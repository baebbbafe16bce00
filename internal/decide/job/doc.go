// Package job holds the state of a shard's jobs and plans on which workers their
// tasks start, subject to step dependencies, gang scheduling, team caps and the
// policy service's tickets. Each change of the state is a Record; the shard's next
// owner replays the records to rebuild the state. The package uses no network,
// clock or lock: callers pass the time as Unix milliseconds of the shard owner's clock
// and serialize the calls.
package job
