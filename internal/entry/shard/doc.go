// Package shard speaks to the owners of shards, in this process or over QUIC:
// it routes requests and jobs to an owner by nearness and policy, and takes up
// and gives up the ownership of the entry's own shard.
package shard
