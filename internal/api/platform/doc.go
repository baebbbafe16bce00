// Package platform speaks the protocol of the platform that hosts the system:
// a key-value store with compare-and-swap, leases and watches, and a lagging
// directory of VMs. It holds the protocol's messages, narrow interfaces for its
// users, an HTTP client, and a read-modify-write helper that survives answers
// lost after a write has taken effect.
package platform
