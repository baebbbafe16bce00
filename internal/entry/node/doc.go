// Package node puts an entry together from its parts and runs it: the HTTP
// interfaces towards callers and operators, QUIC towards peers, the platform's
// store and directory, and the ownership of upstreams.
package node
