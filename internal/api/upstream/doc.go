// Package upstream defines the protocol between the owner of a shard and its
// upstreams, the workers and runners: its messages and an HTTP client for one
// upstream. The owner holds a lease of the upstream, with an epoch that is its fencing
// token. Under the lease it starts tasks, idempotently by task id, stops them, and
// learns which tasks are running and which have ended.
//
// Times on which an upstream acts are given in milliseconds of its own monotonic
// clock, which each lease response reports. Therefore a message that is delivered late
// cannot extend a lease or start a task past the time that its sender relies on.
package upstream
