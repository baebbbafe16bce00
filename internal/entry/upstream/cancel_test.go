package upstream

import (
	"encoding/json"
	"net/http"
	"testing"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"github.com/citronbay/citronbay/internal/api/caller"
	"github.com/citronbay/citronbay/internal/api/platform"
	"github.com/citronbay/citronbay/internal/api/upstream"
)

// TestCancellationOutlivesOwner guards against a cancellation that its caller was told of and
// that the next owner does not carry out: tasks go on running, or start again.
func TestCancellationOutlivesOwner(t *testing.T) {
	const id, runID = "shard.1", "shard.1/0/run"
	for name, c := range map[string]struct {
		running bool
		// known is set if the next owner restores the job before the earlier owner cancels
		// it, and saves it afterwards.
		known bool
	}{
		"task that runs":                     {running: true},
		"task that waits":                    {},
		"task that runs, known to the next":  {running: true, known: true},
		"task that waits, known to the next": {known: true},
	} {
		t.Run(name, func(t *testing.T) {
			store := newMemoryStore()
			refuse := func(w http.ResponseWriter, _ *http.Request) {
				_ = json.NewEncoder(w).Encode(upstream.TaskResponse{
					Incarnation: "a",
					Task:        runID,
					State:       upstream.StateRefused,
				})
			}
			keep := func(w http.ResponseWriter, _ *http.Request) {
				_ = json.NewEncoder(w).Encode(upstream.TaskResponse{
					Incarnation: "a",
					Task:        runID,
					State:       upstream.StateRunning,
				})
			}
			earlier, earlierLink := newTestLink(t, keep)
			s, l := newTestLink(t, refuse)
			for _, owner := range []*Shard{earlier, s} {
				owner.Store, owner.jobsRead = store, true
			}
			earlierLink.reconciled, l.reconciled = true, true
			record, err := json.Marshal(JobRecord{
				JobID:  id,
				Team:   "team",
				Spec:   caller.Job{Kind: caller.KindBatch},
				States: string(taskWaiting),
				Ran:    true,
			})
			assert.NilError(t, err)
			_, err = store.Write(t.Context(), platform.WriteRequest{
				Key:   s.recordKey(id),
				Value: record,
			})
			assert.NilError(t, err)
			restore := func(owner *Shard, l *link) {
				owner.mu.Lock()
				defer owner.mu.Unlock()
				if c.running {
					owner.adoptRun(l, upstream.Running{
						Task: runID,
						Job:  id,
						Team: "team",
					})
				}
				owner.restore(store.keyValues[owner.recordKey(id)])
				owner.adoptJobs()
			}
			restore(earlier, earlierLink)
			if c.known {
				restore(s, l)
			}
			_, ok := earlier.Cancel("team", id)
			assert.Assert(t, ok)
			earlier.flush(t.Context())
			if c.known {
				s.mu.Lock()
				s.jobs[id].markChanged()
				s.mu.Unlock()
				s.flush(t.Context())
			} else {
				restore(s, l)
			}
			poll.WaitOn(t, func(poll.LogT) poll.Result {
				s.mu.Lock()
				defer s.mu.Unlock()
				status := s.jobs[id].status()
				if status.Fate != caller.FateFailed || s.taskQueue.Tasks() > 0 {
					return poll.Continue("the job has fate %q, %d running and %d waiting tasks", status.Fate, status.Running, s.taskQueue.Tasks())
				}
				return poll.Success()
			})
		})
	}
}
