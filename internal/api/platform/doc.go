// Package platform is a client of the platform that hosts the system. The platform
// provides a key-value store with compare-and-swap, time-limited keys and watches, and
// a directory of VMs, whose content lags behind. The package defines the messages of
// the platform's HTTP API, interfaces for its users, a client, and Update, an
// idempotent read-modify-write that copes with a response lost after the write took
// effect.
package platform
