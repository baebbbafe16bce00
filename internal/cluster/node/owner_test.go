package node

import (
	"context"
	"errors"
	"log/slog"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/citronbay/citronbay/internal/api/peer"
	"github.com/citronbay/citronbay/internal/cluster/caller"
	"github.com/citronbay/citronbay/internal/cluster/shard"
	"github.com/citronbay/citronbay/internal/cluster/store"
	"github.com/citronbay/citronbay/internal/decide/owner"
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

// TestReplacedOwnerDoesNotAnswer guards against an owner that goes on answering as such after
// it has learned of the next one: its agreement and its jobs may be out of date, although its
// lease may still be valid by its own clock.
func TestReplacedOwnerDoesNotAnswer(t *testing.T) {
	client := newSharedStore()
	client.putAgreement(t, testAgreement(1, oldKey))
	n := newStoreNode(t, client, "replaced")
	term, release := own(t, n)
	defer release()
	awaitShard(n)
	assert.Equal(t, n.Serve(t.Context(), submission(oldKey)).Status, caller.OK)
	server := peer.NewServer()
	peer.Handle(server, methodServe, func(context.Context, caller.Request) (caller.Response, error) {
		return caller.Response{Status: caller.BadKey}, nil
	})
	next := helloRequest{
		Node: "next",
		Owner: store.Owner{
			Node:    "next",
			Address: servePeer(t, server),
		},
		Token: term.Token() + 1,
	}
	hello, err := n.handleHello(t.Context(), next)
	assert.NilError(t, err)
	for name, r := range map[string]caller.Request{
		"submission":   submission(oldKey),
		"query":        query(oldKey),
		"cancellation": cancellation(oldKey),
	} {
		t.Run(name+" of a peer", func(t *testing.T) {
			response, err := n.serveAsOwner(t.Context(), r)
			assert.NilError(t, err)
			assert.Equal(t, response.Status, caller.NotOwner)
		})
		t.Run(name+" of a caller", func(t *testing.T) {
			assert.Equal(t, n.Serve(t.Context(), r).Status, caller.BadKey, "not the answer of the next owner")
		})
	}
	t.Run("hello", func(t *testing.T) {
		assert.Assert(t, !hello.Serving)
	})
}

// TestOwnerReplacedDuringRecoveryDoesNotServe guards against a node that opens the shard after
// it has learned of the next owner, and then takes itself for the owner.
func TestOwnerReplacedDuringRecoveryDoesNotServe(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		shared := newSharedStore()
		shared.putAgreement(t, testAgreement(1, oldKey))
		n := newStoreNode(t, &remoteStore{
			sharedStore: shared,
			delay: func(operation, _ string) time.Duration {
				if operation == "renew" {
					return noAnswer
				}
				return usualDelay
			},
			leaseTime: time.Hour,
		}, "replaced")
		term, release := own(t, n)
		defer release()
		time.Sleep(usualDelay / 2)
		next := helloRequest{
			Node:  "next",
			Owner: store.Owner{Node: "next"},
			Token: term.Token() + 1,
		}
		_, err := n.handleHello(t.Context(), next)
		assert.NilError(t, err)
		time.Sleep(4 * usualDelay)
		owner, _ := n.currentOwner()
		assert.Equal(t, owner.Node, "next")
		response, err := n.serveAsOwner(t.Context(), submission(oldKey))
		assert.NilError(t, err)
		assert.Equal(t, response.Status, caller.NotOwner)
	})
}

// TestEarlierOwnerDoesNotStandForPresentOne guards against a dead owner that counts as live,
// so that no node replaces it, because an earlier owner still believes that it serves.
func TestEarlierOwnerDoesNotStandForPresentOne(t *testing.T) {
	const earlierToken, token = 7, 9
	for name, c := range map[string]struct {
		answerToken int64
		live        bool
	}{
		"present owner": {answerToken: token, live: true},
		"earlier owner": {answerToken: earlierToken},
	} {
		t.Run(name, func(t *testing.T) {
			server := peer.NewServer()
			peer.Handle(server, methodHello, func(context.Context, helloRequest) (helloResponse, error) {
				return helloResponse{
					Owner:   store.Owner{Node: "answering"},
					Token:   c.answerToken,
					Serving: true,
				}, nil
			})
			n := newTestNode(t, "node", "127.0.0.1:1")
			n.updateOwner(store.Owner{
				Node:  "present",
				Token: token,
			})
			n.sendHello(t.Context(), servePeer(t, server), false)
			assert.Equal(t, n.ownerIsLive(), c.live)
		})
	}
}

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

// TestRestartOfAllIsNoSeriesOfChanges guards against nodes that take the first change after a restart of all
// nodes, whose earlier owner has not served since, for one of a series, and so replace the next silent owner
// late. A second change counts, also if no owner has served.
func TestRestartOfAllIsNoSeriesOfChanges(t *testing.T) {
	for name, c := range map[string]struct {
		served  bool
		changes int
		want    int // changes that count
	}{
		"restart of all":           {changes: 1},
		"owner has served":         {served: true, changes: 1, want: 1},
		"series after the restart": {changes: 3, want: 2},
	} {
		t.Run(name, func(t *testing.T) {
			n := newTestNode(t, "node", "127.0.0.1:1")
			n.updateOwner(store.Owner{Node: "earlier", Token: 1})
			if c.served {
				n.markOwnerServing()
			}
			for token := range int64(c.changes) {
				n.updateOwner(store.Owner{Node: "next", Token: 2 + token})
			}
			var want owner.Changes
			for range c.want {
				want = want.With(time.Now())
			}
			patience, ok := n.changes.Patience(time.Now(), owner.Observation{})
			wantPatience, wantOK := want.Patience(time.Now(), owner.Observation{})
			assert.Equal(t, ok, wantOK)
			assert.Equal(t, patience, wantPatience)
		})
	}
}

// TestRestartedOwnerClaimsAtOnce guards against a wait for other nodes by a node that finds its own earlier
// incarnation as the owner, as after a restart of all nodes.
func TestRestartedOwnerClaimsAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		shared := newSharedStore()
		shared.putAgreement(t, testAgreement(1, oldKey))
		_, releaseEarlier, err := store.Claim(t.Context(), shared, "fleet", store.Owner{Node: "owner", Incarnation: "earlier"}, slog.New(slog.DiscardHandler))
		assert.NilError(t, err)
		defer releaseEarlier()
		n := newStoreNode(t, &remoteStore{
			sharedStore: shared,
			delay:       func(string, string) time.Duration { return usualDelay },
			leaseTime:   time.Hour,
		}, "owner")
		ctx, cancel := context.WithCancel(t.Context())
		start := time.Now()
		done := make(chan struct{})
		go func() {
			defer close(done)
			_ = n.campaign(ctx)
		}()
		awaitShard(n)
		// The owner is read, claimed and opened; a claim without a delay takes no further read.
		assert.Assert(t, time.Since(start) < 6*usualDelay, "%s", time.Since(start))
		cancel()
		n.Leave()
		<-done
	})
}
