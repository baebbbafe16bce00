package node

import (
	"context"
	"testing"
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
