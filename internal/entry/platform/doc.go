// Package platform keeps an entry's copy of what the platform holds: the
// operators' agreement, taken from the store's watch or from peers and never
// from a lower revision, the directory of VMs, and the journal of requests that
// must run at most once.
package platform
