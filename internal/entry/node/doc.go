// Package node assembles and runs an entry: the HTTP APIs for callers and
// operators, the QUIC server for peers, the client of the platform's store and
// directory, and the ownership of the failure domain's shard.
package node
