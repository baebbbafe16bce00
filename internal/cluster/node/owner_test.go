package node

import (
	"context"
	"errors"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/citronbay/citronbay/internal/cluster/shard"
	"github.com/citronbay/citronbay/internal/cluster/store"
)

// TestOwnerStopsWhenNewerOwnerIsKnown guards against a node that goes on answering as the
// owner after it has learned of the next one, since its lease is valid by its own clock. An
// announcement of an earlier owner that arrives late must not end its term.
func TestOwnerStopsWhenNewerOwnerIsKnown(t *testing.T) {
	const token = 7
	for name, c := range map[string]struct {
		other       int64 // token of the other owner
		knownBefore bool  // this node serves
		wantOwner   bool
	}{
		"newer owner": {other: token + 1},
		"newer owner, known before this node serves": {other: token + 1, knownBefore: true},
		"earlier owner": {other: token - 1, wantOwner: true},
		"earlier owner, known before this node serves": {other: token - 1, knownBefore: true, wantOwner: true},
	} {
		t.Run(name, func(t *testing.T) {
			n := newTestNode(t, "node", "127.0.0.1:1")
			self := store.Owner{Node: "node"}
			term, release, err := store.Claim(t.Context(), leasingStore{}, "fleet", self, n.log)
			assert.NilError(t, err)
			defer release()
			self.Token = token
			learn := func() {
				n.updateOwner(store.Owner{
					Node:  "other",
					Token: c.other,
				})
			}
			if c.knownBefore {
				learn()
			}
			s := &shard.Shard{}
			assert.Equal(t, n.setShard(s, term, self), c.wantOwner || !c.knownBefore)
			if !c.knownBefore {
				learn()
			}
			assert.Equal(t, n.currentShard() == s, c.wantOwner)
			assert.Equal(t, errors.Is(context.Cause(term.Context()), store.ErrRevoked), !c.wantOwner)
			owner, _ := n.currentOwner()
			assert.Equal(t, owner.Node == "node", c.wantOwner)
		})
	}
}
