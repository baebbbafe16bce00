// Package caller defines the requests of callers and the responses to them,
// independently of the protocol between caller and cluster.
package caller
