// Package store keeps what must last in the platform's key-value store: who
// owns a shard, under a lease, and the journal of the shard's changes, which
// only the present owner can extend.
package store
