package node

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/citronbay/citronbay/internal/api/peer"
	"github.com/citronbay/citronbay/internal/cluster/caller"
	"github.com/citronbay/citronbay/internal/cluster/store"
)

// servePeer serves the methods on a loopback address, and returns the address.
func servePeer(t *testing.T, server *peer.Server) string {
	t.Helper()
	listener, closeListener, err := peer.Listen("127.0.0.1:0", newTestNode(t, "peer", "127.0.0.1:0").tlsConfig)
	assert.NilError(t, err)
	t.Cleanup(closeListener)
	go func() { _ = server.Serve(t.Context(), listener) }()
	return listener.Address()
}

// TestBusyOwnerIsNotReplaced guards against taking overload for failure: the owner answers
// hellos only after their timeout, and requests in time. A node that replaced it, or closed
// the connection, would add a takeover or repeated requests to the load. An owner that
// answers nothing is replaced.
func TestBusyOwnerIsNotReplaced(t *testing.T) {
	for name, c := range map[string]struct {
		servesRequests bool
		wantReplaced   bool
	}{
		"slow hellos":     {servesRequests: true},
		"answers nothing": {wantReplaced: true},
	} {
		t.Run(name, func(t *testing.T) {
			const requestTime, runTime = 30 * time.Millisecond, 2500 * time.Millisecond
			owner := store.Owner{
				Node:        "owner",
				Incarnation: "1",
				Token:       7,
			}
			ownerServer := peer.NewServer()
			peer.Handle(ownerServer, methodHello, func(ctx context.Context, _ helloRequest) (helloResponse, error) {
				<-ctx.Done()
				return helloResponse{}, ctx.Err()
			})
			peer.Handle(ownerServer, methodServe, func(ctx context.Context, _ caller.Request) (caller.Response, error) {
				if !c.servesRequests {
					<-ctx.Done()
					return caller.Response{}, ctx.Err()
				}
				time.Sleep(requestTime)
				return caller.Response{Status: caller.OK}, nil
			})
			owner.Address = servePeer(t, ownerServer)
			witnessServer := peer.NewServer()
			peer.Handle(witnessServer, methodHello, func(context.Context, helloRequest) (helloResponse, error) {
				return helloResponse{
					Owner:              owner,
					Token:              owner.Token,
					OwnerSilenceMillis: time.Minute.Milliseconds(),
				}, nil
			})
			n := newTestNode(t, "node", "127.0.0.1:1")
			n.seeds = []string{servePeer(t, witnessServer)}
			n.updateOwner(owner)
			ctx, cancel := context.WithTimeout(t.Context(), runTime)
			defer cancel()
			go n.sendHellos(ctx)
			for ctx.Err() == nil {
				response := n.Serve(ctx, caller.Request{Verb: caller.Submit})
				if c.servesRequests && ctx.Err() == nil {
					assert.Equal(t, response.Status, caller.OK)
				}
			}
			assert.Equal(t, n.lastReleasedToken() == owner.Token, c.wantReplaced)
		})
	}
}

// leasingStore grants leases, commits each transaction, and neither renews a lease nor
// answers reads.
type leasingStore struct {
	store.Client
}

func (leasingStore) GrantLease(_ context.Context, ttl time.Duration) (int64, time.Duration, error) {
	return 1, ttl, nil
}

func (leasingStore) Commit(context.Context, store.Txn) (store.TxnResult, error) {
	return store.TxnResult{
		Applied:  true,
		Revision: 1,
	}, nil
}

func (leasingStore) RenewLease(ctx context.Context, _ int64) error {
	<-ctx.Done()
	return ctx.Err()
}

func (leasingStore) Get(ctx context.Context, _ string) (store.Item, error) {
	<-ctx.Done()
	return store.Item{}, ctx.Err()
}

func (leasingStore) EndLease(context.Context, int64) error {
	return nil
}

// TestBusyOwnerKeepsOwnership guards against a handover by an owner whose calls to the
// store take long because it gets too little processor time. An owner that is not busy
// hands over when the store answers only others.
func TestBusyOwnerKeepsOwnership(t *testing.T) {
	for name, c := range map[string]struct {
		lag       time.Duration
		handsOver bool
	}{
		"busy":     {lag: 200 * time.Millisecond},
		"not busy": {lag: 2 * time.Millisecond, handsOver: true},
	} {
		t.Run(name, func(t *testing.T) {
			n := newTestNode(t, "owner", "127.0.0.1:1")
			n.options.Store = leasingStore{}
			n.seeds = []string{startPeer(t, readableStore{read: func(context.Context) error {
				return store.ErrNotFound
			}})}
			term, release, err := store.Claim(t.Context(), leasingStore{}, "fleet", store.Owner{}, n.log)
			assert.NilError(t, err)
			defer release()
			lag := &lagMeter{}
			lag.observe(c.lag)
			go n.handOverWhenStoreUnreachable(term, lag)
			select {
			case <-term.Context().Done():
				assert.Assert(t, c.handsOver)
			case <-time.After(store.OwnershipLeaseTime):
				assert.Assert(t, !c.handsOver)
			}
		})
	}
}

// TestLagMeterShowsLateTimers checks that a meter remembers the longest delay, and that an
// idle process has hardly any.
func TestLagMeterShowsLateTimers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		m, stop := startLagMeter()
		defer stop()
		time.Sleep(lagMemory / 2)
		assert.Equal(t, m.longest(), time.Duration(0))
		m.observe(time.Second)
		time.Sleep(lagMemory / 2)
		assert.Equal(t, m.longest(), time.Second)
		time.Sleep(2 * lagMemory)
		assert.Equal(t, m.longest(), time.Duration(0))
	})
}
