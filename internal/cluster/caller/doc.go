// Package caller holds what callers ask of the cluster and what they are
// answered, whatever protocol brings it.
package caller
