// Package upstream speaks the protocol of workers and runners: an owner's
// lease with a fencing epoch, task starts that are idempotent by task id,
// stops, and a record of what runs and what has ended. It holds the protocol's
// messages and an HTTP client for one upstream.
//
// Times that an upstream must judge are stated in its own monotonic clock,
// which each answer reports, so that a message delivered late cannot extend a
// lease or begin a task past the moment its sender counts on.
package upstream
