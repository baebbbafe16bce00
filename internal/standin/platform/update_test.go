package platform

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"time"

	"github.com/anishathalye/porcupine"
	"gotest.tools/v3/assert"

	"github.com/citronbay/citronbay/internal/api/platform"
)

// lossyStore is a store behind a simulated network that loses requests and
// responses at random.
type lossyStore struct {
	*Store
	mu     sync.Mutex
	random *rand.Rand
}

var errLost = errors.New("lost")

func (s *lossyStore) isLost(percent int) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.random.IntN(100) < percent
}

func (s *lossyStore) Get(_ context.Context, key string) (platform.KeyValue, error) {
	if s.isLost(20) {
		return platform.KeyValue{}, errLost
	}
	return s.Store.Get(key)
}

func (s *lossyStore) List(context.Context, string) (platform.Listing, error) {
	return platform.Listing{}, errLost
}

func (s *lossyStore) Watch(context.Context, string, int64, time.Duration) (platform.Listing, error) {
	return platform.Listing{}, errLost
}

func (s *lossyStore) Write(_ context.Context, request platform.WriteRequest) (int64, error) {
	if s.isLost(20) {
		return 0, errLost
	}
	revision, err := s.Store.Write(request)
	if s.isLost(30) {
		return 0, errLost
	}
	return revision, err
}

// counter is the body of the document under test: the number of updates applied.
type counter struct {
	Sum int `json:"sum"`
}

// updateOutcome is the sum that an update read. An unknown outcome would match any sum;
// no operation of the history has one, as the test only counts such updates.
type updateOutcome struct {
	sumBefore int
	unknown   bool
}

// counterModel is the sequential specification: each update adds one and returns
// the sum before it.
var counterModel = porcupine.Model{
	Init: func() any { return 0 },
	Step: func(state, _, output any) (bool, any) {
		sum := state.(int)
		seen := output.(updateOutcome)
		return seen.unknown || seen.sumBefore == sum, sum + 1
	},
}

// TestUpdatesAreLinearizable guards against lost and repeated updates when the
// network loses requests or responses. Concurrent clients increment one document;
// the sum must count each update with a known outcome once and each one with an
// unknown outcome at most once. If all outcomes are known, the history must be
// linearizable.
func TestUpdatesAreLinearizable(t *testing.T) {
	for seed := range uint64(20) {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			store := &lossyStore{
				Store:  NewStore(),
				random: rand.New(rand.NewPCG(seed, 7)),
			}
			var mu sync.Mutex
			var history []porcupine.Operation
			unknown := 0
			var clients sync.WaitGroup
			for client := range 4 {
				clients.Go(func() {
					for n := range 8 {
						operation, known := addOne(store, client, n)
						mu.Lock()
						if known {
							history = append(history, operation)
						} else {
							unknown++
						}
						mu.Unlock()
					}
				})
			}
			clients.Wait()
			kv, err := store.Store.Get("counter")
			assert.NilError(t, err)
			document, err := platform.Decode[counter](kv)
			assert.NilError(t, err)
			assert.Assert(t, document.Body.Sum >= len(history), "an acknowledged update was lost")
			assert.Assert(t, document.Body.Sum <= len(history)+unknown, "an update was applied twice")
			if unknown == 0 {
				assert.Assert(t, porcupine.CheckOperations(counterModel, history))
			}
		})
	}
}

// addOne increments the counter. The bool is false if the outcome is unknown.
func addOne(store *lossyStore, client, n int) (porcupine.Operation, bool) {
	callTime := time.Now().UnixNano()
	sumBefore := 0
	kv, err := platform.Update(context.Background(), store, "counter", fmt.Sprint(client, "-", n), func(old counter, _ bool) (counter, error) {
		sumBefore = old.Sum
		return counter{Sum: old.Sum + 1}, nil
	})
	if err != nil || kv.Revision == 0 {
		return porcupine.Operation{}, false
	}
	return porcupine.Operation{
		ClientId: client,
		Call:     callTime,
		Output:   updateOutcome{sumBefore: sumBefore},
		Return:   time.Now().UnixNano(),
	}, true
}

func TestEntriesAfterFiltersByPrefixAndRevision(t *testing.T) {
	store := NewStore()
	revision, err := store.Write(platform.WriteRequest{Key: "config/a"})
	assert.NilError(t, err)
	_, err = store.Write(platform.WriteRequest{Key: "config/a"})
	assert.Assert(t, errors.Is(err, platform.ErrConflict))
	_, err = store.Write(platform.WriteRequest{Key: "other/b"})
	assert.NilError(t, err)
	listing, _ := store.KeyValuesAfter("config/", revision)
	assert.Equal(t, len(listing.KeyValues), 0)
	listing, _ = store.KeyValuesAfter("config/", 0)
	assert.Equal(t, len(listing.KeyValues), 1)
}
