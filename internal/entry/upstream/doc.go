// Package upstream owns the workers and runners of one shard: it holds a lease
// at each, places tasks on them within their capacity and the teams' units, and
// follows every task to its end.
//
// A Shard belongs to one run of ownership. Whatever it believes to run
// somewhere stays counted, in capacity and units, until the upstream has said
// that it ended or its lease has provably lapsed there.
package upstream
