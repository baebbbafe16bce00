// Package upstream implements the owner of one shard, which consists of the
// workers and runners of one failure domain: it holds a lease at each of these
// upstreams, places requests and tasks on them within their capacity and the
// units of the teams, and follows every task until it has ended.
//
// A Shard lives for one term of ownership. A task that may be running at an
// upstream stays counted, in capacity and units, until the upstream reports
// that it ended or its lease there has provably expired.
package upstream
