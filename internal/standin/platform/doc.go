// Package platform is a stand-in for the platform: an in-memory key-value
// store with compare-and-swap, leases and watches, and a directory of VMs,
// served over HTTP, whose faults are switched at run time.
package platform
