package owner

import (
	"hash/fnv"
	"slices"
)

// maxWatchers is the number of nodes that send the owner frequent hellos and replace it when it
// is silent. The lease ends soon enough if all of them fail with the owner.
const maxWatchers = 7

// IsWatcher reports whether the node at the address is one of the maxWatchers nodes that
// watch the owner. The choice follows a hash of the addresses, so that it spreads over the
// failure domains, and all nodes that know the same addresses agree on it. The others may
// include the node itself.
func IsWatcher(address string, others []string) bool {
	own := rank(address)
	before := 0
	for _, other := range others {
		if r := rank(other); r < own || r == own && other < address {
			before++
		}
	}
	return before < maxWatchers
}

// Watchers returns those of the addresses that watch the owner.
func Watchers(addresses []string) []string {
	sorted := slices.Clone(addresses)
	slices.SortFunc(sorted, func(a, b string) int {
		if ra, rb := rank(a), rank(b); ra != rb {
			if ra < rb {
				return -1
			}
			return 1
		}
		if a < b {
			return -1
		}
		return 1
	})
	return sorted[:min(maxWatchers, len(sorted))]
}

func rank(address string) uint64 {
	h := fnv.New64a()
	_, _ = h.Write([]byte(address)) // never fails
	// FNV leaves the high bits of short texts that differ in the last bytes alike.
	r := h.Sum64()
	r ^= r >> 32
	r *= 0x9E3779B97F4A7C15
	return r ^ r>>29
}

// Split divides the addresses into at most the given number of groups of nearly equal size.
// Neighbours go into different groups.
func Split(addresses []string, groups int) [][]string {
	split := make([][]string, min(groups, len(addresses)))
	for n, address := range addresses {
		split[n%len(split)] = append(split[n%len(split)], address)
	}
	return split
}

// Page returns at most count of the sorted addresses: those after the given one, and then
// the first. Repeated with the last address of the page before, it returns all in turn.
func Page(sorted []string, after string, count int) []string {
	start, found := slices.BinarySearch(sorted, after)
	if found {
		start++
	}
	count = min(count, len(sorted))
	page := make([]string, 0, count)
	for n := range count {
		page = append(page, sorted[(start+n)%len(sorted)])
	}
	return page
}
