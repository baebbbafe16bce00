// Package store keeps durable state in the platform's key-value store: the
// owner of each shard, elected under a lease, and the journal of the shard's
// changes, to which only the current owner can append.
package store
