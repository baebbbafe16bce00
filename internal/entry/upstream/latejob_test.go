package upstream

import (
	"context"
	"encoding/json"
	"io"
	"log/slog"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"github.com/citronbay/citronbay/internal/api/caller"
	"github.com/citronbay/citronbay/internal/api/platform"
	entryplatform "github.com/citronbay/citronbay/internal/entry/platform"
	"github.com/citronbay/citronbay/internal/entry/settings"
)

// lateStore is a store in which the first list does not find the key and value that later ones find.
type lateStore struct {
	platform.Store
	late  platform.KeyValue
	lists atomic.Int64
}

func (s *lateStore) List(context.Context, string) (platform.Listing, error) {
	if s.lists.Add(1) == 1 {
		return platform.Listing{}, nil
	}
	return platform.Listing{KeyValues: []platform.KeyValue{s.late}}, nil
}

// TestJobSavedLateIsAdopted guards against an accepted job that no owner runs, since the earlier owner, which
// still held leases, saved it after the next one had read the jobs.
func TestJobSavedLateIsAdopted(t *testing.T) {
	record := JobRecord{
		JobID:     "shard.1",
		Team:      "team",
		Spec:      caller.Job{Kind: caller.KindBatch},
		States:    string([]byte{taskWaiting}),
		Fate:      caller.FateInProgress,
		Submitted: time.Now(),
	}
	value, err := json.Marshal(record)
	assert.NilError(t, err)
	store := &lateStore{late: platform.KeyValue{
		Value:    value,
		Revision: 1,
	}}
	s := NewShard(Options{
		Name:     "shard",
		Store:    store,
		Registry: entryplatform.NewRegistry(),
		Timings:  settings.Timings{StoreTimeout: time.Millisecond},
		Log:      slog.New(slog.NewTextHandler(io.Discard, nil)),
	})
	l := &link{}
	s.links["worker-0"] = l
	go s.readJobs(t.Context())
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if !s.JobsRead() {
			return poll.Continue("the jobs are not read")
		}
		return poll.Success()
	})
	_, found := s.JobStatus(record.Team, record.JobID)
	assert.Assert(t, !found)
	s.mu.Lock()
	l.reconciled = true // the earlier owner has lost its last lease
	s.mu.Unlock()
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if _, found := s.JobStatus(record.Team, record.JobID); !found {
			return poll.Continue("the job is not known")
		}
		return poll.Success()
	})
	s.mu.Lock()
	defer s.mu.Unlock()
	assert.Assert(t, s.jobs[record.JobID].admitted)
	assert.Equal(t, s.taskQueue.Tasks(), 1)
}
