// Package upstream implements the owner of one shard. A shard consists of the
// upstreams of one failure domain, its workers and runners. The owner holds a
// lease on each of them, places requests and tasks on them within their capacity
// and within the units that the shard holds of each team's cap (see package
// team), and follows every task until it has ended.
//
// Each claim and renewal of the lease also extends a longer one, the task lease, at
// whose end the upstream stops all its tasks. A Shard is used for one term of
// ownership. A task that may be running at an upstream stays counted, in capacity
// and units, until the upstream shows that it does not run or the task lease has
// provably expired.
package upstream
