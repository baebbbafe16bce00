// Package platform is a stand-in for the platform, for tests and development
// cells: an in-memory key-value store with compare-and-swap, expiring keys and
// watches, and a directory of VMs. Both are served over HTTP, and faults can be
// injected at run time.
package platform
