package shard

import (
	"context"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/citronbay/citronbay/internal/cluster/caller"
	"github.com/citronbay/citronbay/internal/cluster/store"
)

// ownerStore is a memoryStore whose reads take a while, and fail while silent is set.
type ownerStore struct {
	*memoryStore
	silent atomic.Bool
	reads  atomic.Int32
}

func (o *ownerStore) Get(ctx context.Context, key string) (store.Item, error) {
	o.reads.Add(1)
	if o.silent.Load() {
		<-ctx.Done()
		return store.Item{}, store.ErrOutcomeUnknown
	}
	time.Sleep(4 * time.Millisecond)
	return o.memoryStore.Get(ctx, key)
}

// TestReplacedOwnerDeniesNoJob guards against the answer that a job does not exist from an
// owner whose lease was ended before its time was over: the next owner may have accepted the
// job. An owner that is still in place must give that answer, at a bounded cost to the store.
func TestReplacedOwnerDeniesNoJob(t *testing.T) {
	for name, c := range map[string]struct {
		replaced, silent bool
		want             caller.Status
	}{
		"owner":          {want: caller.NoJob},
		"replaced owner": {replaced: true, want: caller.NotOwner},
		"silent store":   {silent: true, want: caller.Refused},
	} {
		for verbName, verb := range map[string]caller.Verb{
			"read":   caller.Read,
			"cancel": caller.Cancel,
		} {
			t.Run(name+" "+verbName, func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					client := &ownerStore{memoryStore: newMemoryStore()}
					owner, release := runOwner(t, client, testAgreement(1, queueHost, validKey))
					defer release()
					if c.replaced {
						client.mu.Lock()
						clear(client.items)
						client.mu.Unlock()
						_, releaseNext := runOwner(t, client, testAgreement(1, queueHost, validKey))
						defer releaseNext()
					}
					assert.Assert(t, owner.LeaseValid())
					client.silent.Store(c.silent)
					var requests sync.WaitGroup
					for range 100 {
						requests.Go(func() {
							request := submission(unknownID, validKey, firstCall)
							request.Verb = verb
							response := owner.Serve(t.Context(), request)
							assert.Check(t, response.Status == c.want, "%s", response.Status)
						})
					}
					requests.Wait()
					assert.Assert(t, client.reads.Load() <= 2, "%d reads", client.reads.Load())
				})
			})
		}
	}
}
