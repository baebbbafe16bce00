package node

import (
	"fmt"
	"io"
	"log/slog"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/citronbay/citronbay/internal/cluster/store"
)

func newTestNode(t *testing.T, name, address string) *Node {
	t.Helper()
	n, err := New(Options{
		Name:    name,
		Shard:   "fleet",
		Address: address,
		Secret:  "a secret of the test cell",
		Log:     slog.New(slog.NewTextHandler(io.Discard, nil)),
	})
	assert.NilError(t, err)
	return n
}

// TestHelloRateHardlyGrowsWithClusterSize computes the hellos per second that an owner
// receives: all nodes of a small cluster send them at the fast interval, and a cluster
// five times larger sends less than twice as many.
func TestHelloRateHardlyGrowsWithClusterSize(t *testing.T) {
	helloRate := func(size int) float64 {
		var addresses []string
		for i := range size {
			addresses = append(addresses, fmt.Sprintf("10.0.%d.2:7420", 10+i))
		}
		total := 0.0
		for _, address := range addresses {
			n := newTestNode(t, address, address)
			for _, other := range addresses {
				n.members[other] = member{
					address: other,
					listed:  time.Now(),
				}
			}
			total += 1 / n.helloInterval().Seconds()
		}
		return total
	}
	assert.Assert(t, helloRate(7) > 34, "%f", helloRate(7))
	assert.Assert(t, helloRate(35) < 2*helloRate(7), "%f", helloRate(35))
}

// TestAnnouncedOwnerWithHighestTokenWins checks that a node adopts an owner from its
// announcement, before any hello to it, and that a delayed announcement of an earlier
// owner is ignored.
func TestAnnouncedOwnerWithHighestTokenWins(t *testing.T) {
	n := newTestNode(t, "a", "10.0.0.1:7420")
	for _, announced := range []store.Owner{
		{
			Node:  "b",
			Token: 5,
		},
		{
			Node:  "c",
			Token: 9,
		},
		{
			Node:  "b",
			Token: 7,
		},
	} {
		_, err := n.handleHello(t.Context(), helloRequest{
			Node:  announced.Node,
			Owner: announced,
			Token: announced.Token,
		})
		assert.NilError(t, err)
	}
	owner, _ := n.currentOwner()
	assert.Equal(t, owner.Node, "c")
}
