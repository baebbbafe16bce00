// Package node assembles and runs an entry, the process that accepts requests and
// jobs and schedules them. An entry consists of the HTTP APIs for callers and
// operators, the QUIC server for its peers (the other entries), the client of the
// platform's store and directory, and the ownership of its failure domain's shard.
package node
