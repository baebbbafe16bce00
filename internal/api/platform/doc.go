// Package platform is a client of the platform that hosts the system. The platform
// provides a key-value store with compare-and-swap, keys that expire, and watches, and
// a directory of VMs, which lags behind the VMs' actual state. The package defines the
// messages of the platform's HTTP API, interfaces for its users, a client, and Update,
// an idempotent read-modify-write that also works if the response to a write is lost.
package platform
