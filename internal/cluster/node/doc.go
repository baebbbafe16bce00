// Package node is one process of the cluster: it takes requests and passes them
// to the shard's owner, asks the policy service for it, and becomes the owner
// itself when there is none.
package node
