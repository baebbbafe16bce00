// Package upstream implements the owner of one shard. A shard consists of the
// upstreams of one failure domain, its workers and runners. The owner holds a
// lease on each of them, places requests and tasks on them within their capacity
// and within the units that the shard holds of each team's cap (see package
// team), and follows every task until it has ended.
//
// With its lease, the owner sets the time, called the task lease, at which the
// upstream stops all its tasks unless the owner has extended it. A Shard is used
// for one term of ownership. A task that may be running at an upstream stays
// counted, in capacity and units, until the upstream reports that it ended or
// the task lease has provably expired.
package upstream
