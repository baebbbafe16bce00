// Package proxy passes TCP connections and UDP packets on and brings about the
// failures of networks: cuts, silence, delay, repetition, and answers cut
// short. It is a tool of tests.
package proxy
