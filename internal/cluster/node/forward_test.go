package node

import (
	"context"
	"net"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/citronbay/citronbay/internal/api/peer"
	"github.com/citronbay/citronbay/internal/cluster/caller"
	"github.com/citronbay/citronbay/internal/cluster/operator"
	"github.com/citronbay/citronbay/internal/cluster/shard"
	"github.com/citronbay/citronbay/internal/cluster/store"
)

// TestRequestWaitsOnlyForOwnerThatMayCome guards against holding requests in an outage of
// the store, in which no node can become the owner. While one may be elected, a request
// waits for it.
func TestRequestWaitsOnlyForOwnerThatMayCome(t *testing.T) {
	for name, c := range map[string]struct {
		storeLost    bool
		ownerServing time.Duration // how long ago
		wait         bool
	}{
		"outage of the store": {
			storeLost:    true,
			ownerServing: time.Minute,
		},
		"outage of the store, owner just lost": {
			storeLost:    true,
			ownerServing: maxOwnerWait / 10,
			wait:         true,
		},
		"election": {
			ownerServing: time.Minute,
			wait:         true,
		},
	} {
		t.Run(name, func(t *testing.T) {
			n := newTestNode(t, "node", "127.0.0.1:1")
			n.storeLost.Store(c.storeLost)
			n.ownerLastServing = time.Now().Add(-c.ownerServing)
			start := time.Now()
			response := n.Serve(t.Context(), caller.Request{Verb: caller.Submit})
			assert.Equal(t, response.Status, caller.Refused)
			assert.Assert(t, response.RetryMillis > 0)
			assert.Equal(t, time.Since(start) > maxOwnerWait/2, c.wait)
		})
	}
}

// TestUnansweredReadIsRefused guards against telling callers that the outcome of a read
// is unknown, after which they do not repeat it. A submission may have taken effect.
func TestUnansweredReadIsRefused(t *testing.T) {
	server := peer.NewServer()
	peer.Handle(server, methodServe, func(ctx context.Context, _ caller.Request) (caller.Response, error) {
		<-ctx.Done()
		return caller.Response{}, ctx.Err()
	})
	address := servePeer(t, server)
	for name, c := range map[string]struct {
		verb caller.Verb
		want caller.Status
	}{
		"read":         {verb: caller.Read, want: caller.Refused},
		"submission":   {verb: caller.Submit, want: caller.Unknown},
		"cancellation": {verb: caller.Cancel, want: caller.Unknown},
	} {
		t.Run(name, func(t *testing.T) {
			n := newTestNode(t, "node", "127.0.0.1:1")
			n.updateOwner(store.Owner{
				Node:    "owner",
				Address: address,
				Token:   1,
			})
			ctx, cancel := context.WithTimeout(t.Context(), 2*attemptTimeout)
			defer cancel()
			assert.Equal(t, n.Serve(ctx, caller.Request{Verb: c.verb}).Status, c.want)
		})
	}
}

// TestAttemptsCarryTheIdentityOfTheirCall guards against an owner that cannot tell a retry
// from another call: all attempts at one call have its identity, and no other call has it.
func TestAttemptsCarryTheIdentityOfTheirCall(t *testing.T) {
	var mu sync.Mutex
	var calls []uint64
	server := peer.NewServer()
	peer.Handle(server, methodServe, func(_ context.Context, r caller.Request) (caller.Response, error) {
		mu.Lock()
		defer mu.Unlock()
		calls = append(calls, r.Call)
		if len(calls)%2 == 1 {
			return caller.Response{Status: caller.Unknown}, nil
		}
		return caller.Response{Status: caller.OK}, nil
	})
	n := newTestNode(t, "node", "127.0.0.1:1")
	n.updateOwner(store.Owner{
		Node:    "owner",
		Address: servePeer(t, server),
		Token:   1,
	})
	for range 2 {
		assert.Equal(t, n.Serve(t.Context(), caller.Request{Verb: caller.Submit}).Status, caller.OK)
	}
	mu.Lock()
	defer mu.Unlock()
	assert.Equal(t, len(calls), 4)
	assert.Equal(t, calls[0], calls[1])
	assert.Equal(t, calls[2], calls[3])
	assert.Assert(t, calls[0] != calls[2] && calls[0] != 0 && calls[2] != 0)
}

// TestEntryTellsOwnersTheNewestAgreement checks that an entry sends with each call the newest
// version of the agreement by which an owner has answered it.
func TestEntryTellsOwnersTheNewestAgreement(t *testing.T) {
	answers := []int64{3, 5, 4, 0}
	var mu sync.Mutex
	var told []int64
	server := peer.NewServer()
	peer.Handle(server, methodServe, func(_ context.Context, r caller.Request) (caller.Response, error) {
		mu.Lock()
		defer mu.Unlock()
		told = append(told, r.Agreement)
		return caller.Response{
			Status:    caller.OK,
			Agreement: answers[len(told)-1],
		}, nil
	})
	n := newTestNode(t, "node", "127.0.0.1:1")
	n.updateOwner(store.Owner{
		Node:    "owner",
		Address: servePeer(t, server),
		Token:   1,
	})
	for range answers {
		assert.Equal(t, n.Serve(t.Context(), caller.Request{Verb: caller.Read}).Status, caller.OK)
	}
	mu.Lock()
	defer mu.Unlock()
	assert.DeepEqual(t, told, []int64{0, 3, 5, 5})
}

// TestCancellationIsAnsweredByItsOwnEffect checks a cancellation that an entry repeats at the
// next owner, when the operators have withdrawn its key or its route. If its first try has
// taken effect, the caller must not be told that it was rejected. If not, the key decides,
// also if another call has cancelled the job before.
func TestCancellationIsAnsweredByItsOwnEffect(t *testing.T) {
	withoutRoute := testAgreement(2, oldKey)
	withoutRoute.Routes = nil
	for name, c := range map[string]struct {
		agreement *operator.Agreement // of the second owner
		// lost is set if the first try does not take effect.
		lost bool
		want caller.Status
	}{
		"withdrawn key": {
			agreement: testAgreement(2, newKey),
			want:      caller.OK,
		},
		"withdrawn route": {
			agreement: withoutRoute,
			want:      caller.OK,
		},
		"withdrawn key and cancelled by another call": {
			agreement: testAgreement(2, newKey),
			lost:      true,
			want:      caller.BadKey,
		},
		"withdrawn route and cancelled by another call": {
			agreement: withoutRoute,
			lost:      true,
			want:      caller.NoQueue,
		},
	} {
		t.Run(name, func(t *testing.T) {
			client := newSharedStore()
			client.putAgreement(t, testAgreement(1, oldKey))
			tried := make(chan struct{})
			first, release := startOwner(t, client, "first", func(ctx context.Context, s *shard.Shard, r caller.Request) (caller.Response, error) {
				if !c.lost {
					s.Serve(ctx, r)
				}
				close(tried)
				<-ctx.Done()
				return caller.Response{}, ctx.Err()
			})
			assert.Equal(t, first.shard.Serve(t.Context(), submission(oldKey)).Status, caller.OK)
			if c.lost {
				assert.Equal(t, first.shard.Serve(t.Context(), cancellation(oldKey)).Status, caller.OK)
			}
			n := newTestNode(t, "entry", "127.0.0.1:1")
			n.updateOwner(first.owner)
			status := make(chan caller.Status)
			go func() { status <- n.Serve(t.Context(), cancellation(oldKey)).Status }()
			<-tried
			release()
			client.putAgreement(t, c.agreement)
			second, release := startOwner(t, client, "second", func(ctx context.Context, s *shard.Shard, r caller.Request) (caller.Response, error) {
				return s.Serve(ctx, r), nil
			})
			defer release()
			n.updateOwner(second.owner)
			assert.Equal(t, <-status, c.want)
			again := n.Serve(t.Context(), cancellation(oldKey))
			assert.Assert(t, again.Status != caller.OK, "a new call is confirmed")
		})
	}
}

// relayUntil relays packets between one client and the address until the returned function is called,
// and returns its own address.
func relayUntil(t *testing.T, address string) (string, func()) {
	t.Helper()
	front, err := net.ListenPacket("udp", "127.0.0.1:0")
	assert.NilError(t, err)
	back, err := net.Dial("udp", address)
	assert.NilError(t, err)
	t.Cleanup(func() { _, _ = front.Close(), back.Close() })
	var cut atomic.Bool
	var client atomic.Value
	relay := func(read func([]byte) (int, error), write func([]byte)) {
		for packet := make([]byte, 2000); ; {
			n, err := read(packet)
			if err != nil {
				return
			}
			if !cut.Load() {
				write(packet[:n])
			}
		}
	}
	go relay(func(packet []byte) (int, error) {
		n, from, err := front.ReadFrom(packet)
		if err == nil {
			client.Store(from)
		}
		return n, err
	}, func(packet []byte) { _, _ = back.Write(packet) })
	go relay(back.Read, func(packet []byte) { _, _ = front.WriteTo(packet, client.Load().(net.Addr)) })
	return front.LocalAddr().String(), func() { cut.Store(true) }
}

// TestSubmissionIsNotSentToDeadOwner guards against the answer that the outcome is unknown, after which
// callers may not try again, to submissions that reach the entry when its owner has ended: what it has
// sent before gets no answer. The submissions before remain unknown.
func TestSubmissionIsNotSentToDeadOwner(t *testing.T) {
	server := peer.NewServer()
	peer.Handle(server, methodServe, func(context.Context, caller.Request) (caller.Response, error) {
		return caller.Response{Status: caller.OK}, nil
	})
	address, kill := relayUntil(t, servePeer(t, server))
	n := newTestNode(t, "node", "127.0.0.1:1")
	n.updateOwner(store.Owner{
		Node:    "owner",
		Address: address,
		Token:   1,
	})
	serve := func() caller.Status {
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		return n.Serve(ctx, caller.Request{Verb: caller.Submit}).Status
	}
	assert.Equal(t, serve(), caller.OK)
	kill()
	var before sync.WaitGroup
	before.Go(func() { assert.Check(t, serve() == caller.Unknown) })
	time.Sleep(400 * time.Millisecond)
	assert.Equal(t, serve(), caller.Refused)
	before.Wait()
	n.updateOwner(store.Owner{
		Node:    "next",
		Address: servePeer(t, server),
		Token:   2,
	})
	assert.Equal(t, serve(), caller.OK)
}
