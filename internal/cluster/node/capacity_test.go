package node

import (
	"testing"

	"gotest.tools/v3/assert"

	"github.com/citronbay/citronbay/internal/api/traffic"
)

// TestOwnersHaveLinkMemoryAndDescriptors checks which nodes are suitable as the owner beside their
// processors: one that the traffic of an owner would fill or that lacks memory or descriptors is not,
// if there is another one.
func TestOwnersHaveLinkMemoryAndDescriptors(t *testing.T) {
	full := member{
		address:              "full",
		storeRoundTripMillis: 5,
		cores:                0.4,
		link:                 traffic.Link{Mbps: 1000},
		descriptors:          8192,
		memoryMB:             536,
	}
	smallLink, littleMemory, fewDescriptors, unknown, strong := full, full, full, full, full
	smallLink.address, smallLink.link = "smallLink", traffic.Link{Mbps: 20}
	littleMemory.address, littleMemory.memoryMB = "littleMemory", 128
	fewDescriptors.address, fewDescriptors.descriptors = "fewDescriptors", 1024
	unknown.address, unknown.link, unknown.memoryMB, unknown.descriptors = "unknown", traffic.Link{}, 0, 0
	strong.address, strong.cores, strong.link = "strong", 4, traffic.Link{Mbps: 2}
	for name, c := range map[string]struct {
		members []member
		want    []string
	}{
		"small link":                   {members: []member{full, smallLink}, want: []string{"full"}},
		"little memory":                {members: []member{full, littleMemory}, want: []string{"full"}},
		"few descriptors":              {members: []member{full, fewDescriptors}, want: []string{"full"}},
		"unknown":                      {members: []member{full, unknown}, want: []string{"full", "unknown"}},
		"only small links":             {members: []member{smallLink, smallLink}, want: []string{"smallLink", "smallLink"}},
		"strong, but small link":       {members: []member{full, strong}, want: []string{"full"}},
		"each lacks something":         {members: []member{smallLink, littleMemory}, want: []string{"littleMemory"}},
		"strongest of the small links": {members: []member{smallLink, strong}, want: []string{"strong"}},
		"none":                         {},
	} {
		t.Run(name, func(t *testing.T) {
			var addresses []string
			for _, m := range candidates(c.members) {
				addresses = append(addresses, m.address)
			}
			assert.DeepEqual(t, addresses, c.want)
		})
	}
}

// TestWorkerConnectionsStayWithinDescriptors computes the connections to each worker: 540 workers
// with eight each would need more than the 4,100 descriptors of a small VM.
func TestWorkerConnectionsStayWithinDescriptors(t *testing.T) {
	for name, c := range map[string]struct{ descriptors, workers, want int }{
		"unknown descriptors": {workers: 540, want: 8},
		"no worker yet":       {descriptors: 4100, want: 8},
		"small fleet":         {descriptors: 4100, workers: 48, want: 8},
		"large fleet":         {descriptors: 4100, workers: 540, want: 6},
		"huge fleet":          {descriptors: 8192, workers: 2700, want: 2},
		"too few":             {descriptors: 256, workers: 540, want: 2},
	} {
		t.Run(name, func(t *testing.T) {
			got := workerConnections(c.descriptors, c.workers)
			assert.Equal(t, got, c.want)
			enough := c.descriptors-reservedDescriptors >= minWorkerConnections*c.workers
			assert.Assert(t, c.descriptors == 0 || !enough || got*c.workers <= c.descriptors-reservedDescriptors)
		})
	}
}
