package node

import (
	"fmt"
	"io"
	"log/slog"
	"testing"

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

// TestReportsDoNotGrowWithTheCluster counts the reports that an owner gets a
// second: those of a small cell stay quick, and a five times larger one costs it
// less than twice as much.
func TestReportsDoNotGrowWithTheCluster(t *testing.T) {
	reports := func(size int) float64 {
		var addresses []string
		for k := range size {
			addresses = append(addresses, fmt.Sprintf("10.0.%d.2:7420", 10+k))
		}
		total := 0.0
		for _, address := range addresses {
			n := newTestNode(t, address, address)
			for _, other := range addresses {
				n.members[other] = member{address: other}
			}
			total += 1 / n.helloInterval().Seconds()
		}
		return total
	}
	assert.Assert(t, reports(7) > 34, "%f", reports(7))
	assert.Assert(t, reports(35) < 2*reports(7), "%f", reports(35))
}

// TestNewOwnerIsLearnedFromItsWord has an owner announce itself: a node that has
// not reported to it yet follows, and does not go back to an older one.
func TestNewOwnerIsLearnedFromItsWord(t *testing.T) {
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
