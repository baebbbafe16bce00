package node

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/citronbay/citronbay/internal/api/peer"
	"github.com/citronbay/citronbay/internal/cluster/store"
)

var errReset = errors.New("connection reset")

// readableStore answers reads as the function says; other calls are not supported.
type readableStore struct {
	store.Client
	read func(ctx context.Context) error
}

func (s readableStore) Get(ctx context.Context, _ string) (store.Item, error) {
	return store.Item{}, s.read(ctx)
}

// startPeer serves the peer protocol of a node with the store on a loopback address, and
// returns the address.
func startPeer(t *testing.T, client store.Client) string {
	t.Helper()
	n := newTestNode(t, "peer", "127.0.0.1:0")
	n.options.Store = client
	listener, closeListener, err := peer.Listen("127.0.0.1:0", n.tlsConfig)
	assert.NilError(t, err)
	t.Cleanup(closeListener)
	go func() { _ = n.peerServer().Serve(t.Context(), listener) }()
	return listener.Address()
}

// TestReturnOfTheStoreIsNoReasonToHandOver guards against a handover on outdated
// evidence: the store comes back after this node's read has failed and before another
// node's succeeds. A node that the store still rejects afterwards hands over.
func TestReturnOfTheStoreIsNoReasonToHandOver(t *testing.T) {
	for name, c := range map[string]struct {
		stillRejected bool
		stillSilent   bool
	}{
		"store is back":           {},
		"store rejects this node": {stillRejected: true},
		"store ignores this node": {stillSilent: true},
	} {
		t.Run(name, func(t *testing.T) {
			const maxEarlyReadWait = 200 * time.Millisecond
			storeIsBack := make(chan struct{})
			ownReadFailed := make(chan struct{})
			var failOnce sync.Once
			address := startPeer(t, readableStore{read: func(context.Context) error {
				select {
				case <-ownReadFailed:
				case <-time.After(maxEarlyReadWait):
				}
				close(storeIsBack)
				return store.ErrNotFound
			}})
			n := newTestNode(t, "owner", "127.0.0.1:1")
			n.seeds = []string{address}
			n.options.Store = readableStore{read: func(ctx context.Context) error {
				select {
				case <-storeIsBack:
				default:
					failOnce.Do(func() { close(ownReadFailed) })
					return errReset
				}
				switch {
				case c.stillSilent:
					<-ctx.Done()
					return ctx.Err()
				case c.stillRejected:
					return errReset
				}
				return store.ErrNotFound
			}}
			want := ""
			if c.stillRejected || c.stillSilent {
				want = address
			}
			assert.Equal(t, n.findNodeReachingStore(t.Context()), want)
		})
	}
}

// TestProbesReachCandidates guards against handing ownership to a weak node because no candidate is
// among the few nodes that are asked whether they reach the store.
func TestProbesReachCandidates(t *testing.T) {
	for name, c := range map[string]struct{ candidates, others, wantCandidates, want int }{
		"large cluster":   {candidates: 9, others: 87, wantCandidates: maxCandidateProbes, want: maxProbes},
		"few candidates":  {candidates: 2, others: 87, wantCandidates: 2, want: maxProbes},
		"none":            {others: 87, want: maxProbes},
		"candidates only": {candidates: 9, wantCandidates: maxProbes, want: maxProbes},
		"small cluster":   {candidates: 3, others: 3, wantCandidates: 3, want: 6},
		"few others":      {candidates: 20, others: 1, wantCandidates: maxProbes - 1, want: maxProbes},
	} {
		t.Run(name, func(t *testing.T) {
			isCandidate := map[string]bool{}
			var addresses []string
			for n := range c.others {
				addresses = append(addresses, fmt.Sprintf("other%d", n))
			}
			for n := range c.candidates {
				address := fmt.Sprintf("candidate%d", n)
				addresses = append(addresses, address)
				isCandidate[address] = true
			}
			sample := sampleWithCandidates(addresses, isCandidate)
			found := 0
			for _, address := range sample {
				if isCandidate[address] {
					found++
				}
			}
			assert.Equal(t, len(sample), c.want)
			assert.Equal(t, found, c.wantCandidates)
		})
	}
}
