package shard

import (
	"context"
	"errors"
	"io"
	"log/slog"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/citronbay/citronbay/internal/api/caller"
	apipeer "github.com/citronbay/citronbay/internal/api/peer"
	apiplatform "github.com/citronbay/citronbay/internal/api/platform"
	"github.com/citronbay/citronbay/internal/entry/peer"
	"github.com/citronbay/citronbay/internal/entry/platform"
	"github.com/citronbay/citronbay/internal/entry/settings"
	"github.com/citronbay/citronbay/internal/entry/upstream"
)

// listen starts a server on a loopback address and returns the address.
func listen(t *testing.T, secret string, server *apipeer.Server) string {
	t.Helper()
	tlsConfig, err := apipeer.TLSConfig(secret)
	assert.NilError(t, err)
	l, closeListener, err := apipeer.Listen("127.0.0.1:0", tlsConfig)
	assert.NilError(t, err)
	t.Cleanup(closeListener)
	go func() { _ = server.Serve(context.Background(), l) }()
	return l.Address()
}

// TestRetryWithoutOwnerTakesNoRetry guards against requests that use up the retry budget while their
// shard has no owner, so that they and others are not sent to the next one.
func TestRetryWithoutOwnerTakesNoRetry(t *testing.T) {
	const (
		secret, domain, owner = "a secret of the tests", "shard", "entry-1"
		peerTimeout, waitTime = 200 * time.Millisecond, 2 * time.Second
	)
	log := slog.New(slog.NewTextHandler(io.Discard, nil))
	tlsConfig, err := apipeer.TLSConfig(secret)
	assert.NilError(t, err)
	registry := platform.NewRegistry()
	self := peer.Member{
		Name:   "entry-0",
		Domain: "other",
	}
	membership, closeMembership := peer.New(self, tlsConfig, settings.Timings{
		Heartbeat:   time.Hour,
		PeerTimeout: peerTimeout,
	}, registry, func() peer.Heartbeat { return peer.Heartbeat{} }, log)
	t.Cleanup(closeMembership)
	entries := apipeer.NewServer()
	membership.Register(entries)
	address := listen(t, secret, entries)

	// The owner fails each call, and sends no heartbeat after the first one.
	var calls atomic.Int64
	failing := apipeer.NewServer()
	apipeer.Handle(failing, methodServe, func(context.Context, upstream.ServeRequest) (caller.Answer, error) {
		calls.Add(1)
		return caller.Answer{}, errors.New("failed")
	})
	configured := []settings.Peer{{
		Name:    owner,
		Address: listen(t, secret, failing),
		Domain:  domain,
	}}
	go membership.Run(t.Context(), configured, func() []platform.Machine { return nil })
	client, closeClient := apipeer.NewClient(address, tlsConfig, nil)
	t.Cleanup(closeClient)
	heartbeats := make(chan error, 1)
	go func() {
		var err error
		for calls.Load() == 0 && err == nil {
			_, err = apipeer.Call[peer.HeartbeatResponse](t.Context(), client, peer.MethodHeartbeat, peer.Heartbeat{
				Name:       owner,
				HeldLeases: 1,
			})
			time.Sleep(peerTimeout / 10)
		}
		heartbeats <- err
	}()

	vms := platform.NewSync(nil, nil, registry, time.Second, log)
	vms.SetVMs([]apiplatform.VM{{
		Name:    "runner-0",
		Role:    apiplatform.RoleRunner,
		Service: "lookup",
		Domain:  domain,
	}}, time.Now())
	router := NewRouter(self, NewOwnership(upstream.Options{Log: log}, membership), membership, vms, registry)
	ctx, cancel := context.WithTimeout(t.Context(), waitTime)
	defer cancel()
	answer := router.Serve(ctx, upstream.ServeRequest{Request: caller.Request{Service: "lookup"}})
	assert.Equal(t, answer.Fate, caller.FateUnknown, answer.Reason)
	assert.NilError(t, <-heartbeats)
	assert.Assert(t, router.retryBudget.tokens >= float64(maxSavedRetries-calls.Load()), "%g retries are left after %d calls", router.retryBudget.tokens, calls.Load())
}
