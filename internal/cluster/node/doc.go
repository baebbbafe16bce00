// Package node implements one process of the cluster. A node forwards callers'
// requests to the shard's owner, calls the policy service on the owner's behalf, and
// claims ownership of the shard when there is no owner.
package node
