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

// flaky is the store seen over a network that loses requests and answers.
type flaky struct {
	*Store
	mu     sync.Mutex
	random *rand.Rand
}

var errLost = errors.New("lost")

func (f *flaky) chance(percent int) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.random.IntN(100) < percent
}

func (f *flaky) Get(_ context.Context, key string) (platform.Entry, error) {
	if f.chance(20) {
		return platform.Entry{}, errLost
	}
	return f.Store.Get(key)
}

func (f *flaky) List(context.Context, string) (platform.Listing, error) {
	return platform.Listing{}, errLost
}

func (f *flaky) Watch(context.Context, string, int64, time.Duration) (platform.Listing, error) {
	return platform.Listing{}, errLost
}

func (f *flaky) Write(_ context.Context, request platform.WriteRequest) (int64, error) {
	if f.chance(20) {
		return 0, errLost
	}
	revision, err := f.Store.Write(request)
	if f.chance(30) {
		return 0, errLost
	}
	return revision, err
}

// counter is what one update has added to, and the sum that it saw.
type counter struct {
	Sum int `json:"sum"`
}

// added is an update's outcome; an unknown one may or may not have happened.
type added struct {
	before  int
	unknown bool
}

// counterModel adds one with each update and returns the sum before it.
var counterModel = porcupine.Model{
	Init: func() any { return 0 },
	Step: func(state, _, output any) (bool, any) {
		sum := state.(int)
		seen := output.(added)
		return seen.unknown || seen.before == sum, sum + 1
	},
}

// TestUpdatesAreLinearizable lets clients add to one document over a network
// that loses requests and answers, and judges the history of those whose
// outcome is known.
func TestUpdatesAreLinearizable(t *testing.T) {
	for seed := range uint64(20) {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			store := &flaky{
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
			entry, err := store.Store.Get("counter")
			assert.NilError(t, err)
			document, err := platform.Decode[counter](entry)
			assert.NilError(t, err)
			assert.Assert(t, document.Body.Sum >= len(history), "an accepted update was lost")
			assert.Assert(t, document.Body.Sum <= len(history)+unknown, "an update was applied twice")
			if unknown == 0 {
				assert.Assert(t, porcupine.CheckOperations(counterModel, history))
			}
		})
	}
}

func addOne(store *flaky, client, n int) (porcupine.Operation, bool) {
	begun := time.Now().UnixNano()
	before := 0
	entry, err := platform.Update(context.Background(), store, "counter", fmt.Sprint(client, "-", n), func(old counter, _ bool) (counter, error) {
		before = old.Sum
		return counter{Sum: old.Sum + 1}, nil
	})
	if err != nil || entry.Revision == 0 {
		return porcupine.Operation{}, false
	}
	return porcupine.Operation{
		ClientId: client,
		Call:     begun,
		Output:   added{before: before},
		Return:   time.Now().UnixNano(),
	}, true
}

func TestWatchReturnsWhatWasWrittenAfter(t *testing.T) {
	store := NewStore()
	revision, err := store.Write(platform.WriteRequest{Key: "config/a"})
	assert.NilError(t, err)
	_, err = store.Write(platform.WriteRequest{Key: "config/a"})
	assert.Assert(t, errors.Is(err, platform.ErrConflict))
	_, err = store.Write(platform.WriteRequest{Key: "other/b"})
	assert.NilError(t, err)
	listing, _ := store.After("config/", revision)
	assert.Equal(t, len(listing.Entries), 0)
	listing, _ = store.After("config/", 0)
	assert.Equal(t, len(listing.Entries), 1)
}
