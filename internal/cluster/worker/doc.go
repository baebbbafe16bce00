// Package worker defines the requests to workers and to the policy service, and
// the entries of the directory of workers, independently of the wire protocol.
package worker
