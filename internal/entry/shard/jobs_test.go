package shard

import (
	"context"
	"io"
	"log/slog"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	apiplatform "github.com/citronbay/citronbay/internal/api/platform"
	"github.com/citronbay/citronbay/internal/entry/platform"
	"github.com/citronbay/citronbay/internal/entry/upstream"
)

// heldStore is a store without keys that answers no list until it is released.
type heldStore struct {
	apiplatform.Store
	release chan struct{}
}

func (s heldStore) List(ctx context.Context, _ string) (apiplatform.Listing, error) {
	select {
	case <-s.release:
		return apiplatform.Listing{}, nil
	case <-ctx.Done():
		return apiplatform.Listing{}, ctx.Err()
	}
}

func (s heldStore) Get(context.Context, string) (apiplatform.KeyValue, error) {
	return apiplatform.KeyValue{}, apiplatform.ErrNotFound
}

func (s heldStore) Write(context.Context, apiplatform.WriteRequest) (int64, error) {
	return 0, apiplatform.ErrConflict
}

type noPeers struct{}

func (noPeers) UnitDemand() map[string]map[string]int64 { return nil }

func (noPeers) AllDomainPeersDown() bool { return false }

// TestNewOwnerDoesNotDenyJobs guards against a new owner that answers that a job does not
// exist before it has read the jobs of earlier owners.
func TestNewOwnerDoesNotDenyJobs(t *testing.T) {
	log := slog.New(slog.NewTextHandler(io.Discard, nil))
	store := heldStore{release: make(chan struct{})}
	owned := upstream.NewShard(upstream.Options{
		Name:     "shard",
		Holder:   "entry-0#1",
		Store:    store,
		Sync:     platform.NewSync(store, nil, platform.NewRegistry(), time.Second, log),
		Registry: platform.NewRegistry(),
		Peers:    noPeers{},
		Log:      log,
	})
	ctx, cancel := context.WithCancel(t.Context())
	stopped := make(chan struct{})
	go func() {
		defer close(stopped)
		owned.Run(ctx)
	}()
	defer func() {
		cancel()
		<-stopped
	}()
	request := JobRequest{
		Team:  "team",
		JobID: "shard.1",
	}
	calls := map[string]func() (found bool, err error){
		"status": func() (bool, error) {
			reply, err := jobStatus(owned, request)
			return reply.Found, err
		},
		"cancel": func() (bool, error) {
			reply, err := cancelJob(owned, request)
			return reply.Found, err
		},
		"explanation": func() (bool, error) {
			reply, err := explainJob(owned, request)
			return reply.Found, err
		},
	}
	for name, call := range calls {
		_, err := call()
		assert.ErrorIs(t, err, errJobsNotRead, name)
	}
	close(store.release)
	for name, call := range calls {
		poll.WaitOn(t, func(poll.LogT) poll.Result {
			found, err := call()
			assert.Assert(t, !found)
			if err != nil {
				return poll.Continue("%s: %v", name, err)
			}
			return poll.Success()
		})
	}
}
