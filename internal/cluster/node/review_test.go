package node

import (
	"context"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/citronbay/citronbay/internal/api/peer"
	"github.com/citronbay/citronbay/internal/cluster/caller"
	"github.com/citronbay/citronbay/internal/cluster/shard"
	"github.com/citronbay/citronbay/internal/cluster/store"
)

// slowStore grants leases that are never renewed, and answers a read after a delay.
type slowStore struct {
	leasingStore
	delay   time.Duration
	reading chan struct{} // closed when a read has begun
}

func (s slowStore) Get(ctx context.Context, _ string) (store.Item, error) {
	close(s.reading)
	select {
	case <-time.After(s.delay):
		return store.Item{}, store.ErrNotFound
	case <-ctx.Done():
		return store.Item{}, ctx.Err()
	}
}

// TestReplacedOwnerDoesNotReleaseNextTerm guards against an owner that learns of the next one
// while it checks whether it reaches the store: it must not announce that the next owner's
// term was released, after which a named successor ends that owner's lease.
func TestReplacedOwnerDoesNotReleaseNextTerm(t *testing.T) {
	released := make(chan int64, 10)
	server := peer.NewServer()
	peer.Handle(server, methodProbe, func(context.Context, probe) (probe, error) {
		return probe{Reached: true}, nil
	})
	peer.Handle(server, methodHello, func(_ context.Context, r helloRequest) (helloResponse, error) {
		released <- r.ReleasedToken
		return helloResponse{}, nil
	})
	client := slowStore{
		delay:   50 * time.Millisecond,
		reading: make(chan struct{}),
	}
	n := newTestNode(t, "owner", "127.0.0.1:1")
	n.seeds = []string{servePeer(t, server)}
	n.options.Store = client
	self := store.Owner{Node: "owner"}
	term, release, err := store.Claim(t.Context(), client, "fleet", self, n.log)
	assert.NilError(t, err)
	defer release()
	self.Token = term.Token()
	assert.Assert(t, n.setShard(&shard.Shard{}, term, self))
	time.Sleep(maxRenewalAge)
	checked := make(chan struct{})
	go func() {
		defer close(checked)
		n.handOverWhenStoreUnreachable(term, &lagMeter{})
	}()
	<-client.reading
	n.updateOwner(store.Owner{
		Node:  "next",
		Token: term.Token() + 1,
	})
	<-checked
	select {
	case token := <-released:
		t.Errorf("the term with token %d is announced as released, its own is %d", token, term.Token())
	case <-time.After(helloTimeout):
	}
}

// TestOwnerWithoutLeaseAsksForNewerOwner guards against an owner that has lost its lease and
// missed the one announcement of the next owner, as on a node that gets too little processor
// time: it goes on serving its own callers by the agreement that it read last.
func TestOwnerWithoutLeaseAsksForNewerOwner(t *testing.T) {
	next := store.Owner{
		Node:    "next",
		Address: "127.0.0.1:2",
	}
	server := peer.NewServer()
	peer.Handle(server, methodHello, func(context.Context, helloRequest) (helloResponse, error) {
		return helloResponse{
			Owner: next,
			Token: 2,
		}, nil
	})
	n := newTestNode(t, "owner", "127.0.0.1:1")
	n.seeds = []string{servePeer(t, server)}
	self := store.Owner{Node: "owner"}
	term, release, err := store.Claim(t.Context(), leasingStore{}, "fleet", self, n.log)
	assert.NilError(t, err)
	defer release()
	self.Token = term.Token()
	assert.Assert(t, n.setShard(&shard.Shard{}, term, self))
	go n.sendHellos(t.Context())
	time.Sleep(store.OwnershipLeaseTime + time.Second)
	assert.Assert(t, term.Remaining() < 0)
	owner, _ := n.currentOwner()
	assert.Equal(t, owner.Node, next.Node)
	assert.Assert(t, n.currentShard() == nil)
}

// TestNextOwnerDoesNotGoBack guards against a new owner that serves by the agreement that it
// read when it claimed ownership, after the owner before it has answered callers by a newer
// one while the journal was read.
func TestNextOwnerDoesNotGoBack(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		shared := newSharedStore()
		shared.putAgreement(t, testAgreement(1, oldKey))
		silentRenewals := &remoteStore{
			sharedStore: shared,
			delay: func(operation, _ string) time.Duration {
				if operation == "renew" {
					return noAnswer
				}
				return usualDelay
			},
			leaseTime: time.Hour,
		}
		earlier, _, release := openShard(t, silentRenewals, "earlier")
		defer release()
		shared.mu.Lock()
		lease := shared.items[store.OwnerKey("fleet")].Lease
		shared.mu.Unlock()
		assert.NilError(t, shared.EndLease(t.Context(), lease))
		n := newStoreNode(t, &remoteStore{
			sharedStore: shared,
			delay: func(operation, key string) time.Duration {
				if strings.HasPrefix(key, "citronbay/") && operation == "range" {
					return time.Second // the journal
				}
				return usualDelay
			},
			leaseTime: time.Hour,
		}, "next")
		_, releaseNext := own(t, n)
		defer releaseNext()
		time.Sleep(4 * usualDelay)
		shared.putAgreement(t, testAgreement(2, newKey))
		earlier.SetAgreement(shard.DatedAgreement{
			Agreement: testAgreement(2, newKey),
			AsOf:      store.Now(),
		})
		assert.Equal(t, earlier.Serve(t.Context(), submission(oldKey)).Status, caller.BadKey)
		awaitShard(n)
		assert.Equal(t, n.Serve(t.Context(), submission(oldKey)).Status, caller.BadKey)
	})
}
