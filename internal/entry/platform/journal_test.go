package platform

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/citronbay/citronbay/internal/api/caller"
	"github.com/citronbay/citronbay/internal/api/platform"
)

var errLost = errors.New("lost")

// memoryStore is an in-memory store that may lose requests and responses.
type memoryStore struct {
	keyValues map[string]platform.KeyValue
	revision  int64
	// nextFault returns the fault of the next call: noFault, requestLost or
	// responseLost.
	nextFault func() int
}

const (
	noFault = iota
	requestLost
	responseLost
)

func (m *memoryStore) Get(_ context.Context, key string) (platform.KeyValue, error) {
	kv, ok := m.keyValues[key]
	switch {
	case m.nextFault() != noFault:
		return platform.KeyValue{}, errLost
	case !ok:
		return platform.KeyValue{}, platform.ErrNotFound
	}
	return kv, nil
}

func (m *memoryStore) List(context.Context, string) (platform.Listing, error) {
	return platform.Listing{}, errLost
}

func (m *memoryStore) Watch(context.Context, string, int64, time.Duration) (platform.Listing, error) {
	return platform.Listing{}, errLost
}

func (m *memoryStore) Write(_ context.Context, request platform.WriteRequest) (int64, error) {
	fault := m.nextFault()
	if fault == requestLost {
		return 0, errLost
	}
	if m.keyValues[request.Key].Revision != request.IfRevision {
		return 0, platform.ErrConflict
	}
	m.revision++
	m.keyValues[request.Key] = platform.KeyValue{
		Key:      request.Key,
		Value:    request.Value,
		Revision: m.revision,
	}
	if fault == responseLost {
		return 0, errLost
	}
	return m.revision, nil
}

// TestJournalPreventsRepeatedDispatch begins and ends the same request in random
// order on a store that loses requests and responses. It guards against a second
// dispatch of a request that may have run.
func TestJournalPreventsRepeatedDispatch(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		store := &memoryStore{
			keyValues: map[string]platform.KeyValue{},
			nextFault: func() int { return rapid.IntRange(noFault, responseLost).Draw(r, "fault") },
		}
		journal := NewJournal(store)
		ctx := context.Background()
		var open *DispatchHandle
		mayHaveRun := false
		for n := range rapid.IntRange(1, 30).Draw(r, "operations") {
			if open != nil && rapid.Bool().Draw(r, "end") {
				fate := rapid.SampledFrom([]caller.Fate{caller.FateCompleted, caller.FateNotRun}).Draw(r, "fate")
				// The fate holds whether or not the journal could record it.
				_ = journal.End(ctx, open, caller.Answer{Fate: fate})
				mayHaveRun = fate != caller.FateNotRun
				open = nil
				continue
			}
			handle, earlier, err := journal.Begin(ctx, "kiln", "request", Intent{Task: fmt.Sprint(n)})
			if err != nil {
				continue
			}
			if earlier != nil {
				assert.Assert(r, earlier.Task != "")
				continue
			}
			assert.Assert(r, !mayHaveRun, "a request that may have run was dispatched again")
			assert.Assert(r, open == nil, "two dispatches are open")
			open = handle
		}
	})
}

func TestJournalOmitsOversizedAnswers(t *testing.T) {
	store := &memoryStore{
		keyValues: map[string]platform.KeyValue{},
		nextFault: func() int { return noFault },
	}
	journal := NewJournal(store)
	random := rand.New(rand.NewPCG(1, 1))
	for name, size := range map[string]int{
		"small": 100,
		"large": maxJournalAnswerBytes + 1,
	} {
		t.Run(name, func(t *testing.T) {
			handle, earlier, err := journal.Begin(context.Background(), "kiln", name, Intent{})
			assert.NilError(t, err)
			assert.Assert(t, earlier == nil)
			answer := make([]byte, size)
			for i := range answer {
				answer[i] = byte(random.IntN(256))
			}
			assert.NilError(t, journal.End(context.Background(), handle, caller.Answer{
				Fate:   caller.FateCompleted,
				Answer: answer,
			}))
			_, earlier, err = journal.Begin(context.Background(), "kiln", name, Intent{})
			assert.NilError(t, err)
			assert.Equal(t, earlier.Answer.Fate, caller.FateCompleted)
			assert.Equal(t, len(earlier.Answer.Answer) == size, size <= maxJournalAnswerBytes)
		})
	}
}
