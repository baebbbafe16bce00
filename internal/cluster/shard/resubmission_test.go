package shard

import (
	"context"
	"io"
	"log/slog"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/citronbay/citronbay/internal/cluster/caller"
	"github.com/citronbay/citronbay/internal/cluster/operator"
	"github.com/citronbay/citronbay/internal/cluster/store"
	"github.com/citronbay/citronbay/internal/cluster/worker"
	"github.com/citronbay/citronbay/internal/decide/job"
)

// pausedStore has an empty journal. While it is paused, it answers commits only one by one.
type pausedStore struct {
	emptyStore
	paused  chan struct{} // closed when commits begin to wait
	release chan struct{} // each element lets one commit take effect
}

func (s *pausedStore) Commit(ctx context.Context, txn store.Txn) (store.TxnResult, error) {
	select {
	case <-s.paused:
	default:
		return s.emptyStore.Commit(ctx, txn)
	}
	select {
	case <-s.release:
		return s.emptyStore.Commit(ctx, txn)
	case <-ctx.Done():
		return store.TxnResult{}, store.ErrOutcomeUnknown
	}
}

// resubmission holds the answers about a job that is submitted, withdrawn and submitted again
// while the store does not answer. copied is the answer to a copy of the first submission.
type resubmission struct {
	first, copied, again <-chan caller.Status
}

// resubmit returns the answers once the store has confirmed the record of another job, sent
// before, and while the second submission waits for the store. It must run in a synctest bubble.
func resubmit(t *testing.T, client worker.Client) *resubmission {
	t.Helper()
	log := slog.New(slog.NewTextHandler(io.Discard, nil))
	pausable := &pausedStore{
		paused:  make(chan struct{}),
		release: make(chan struct{}),
	}
	term, release, err := store.Claim(t.Context(), pausable, "fleet", store.Owner{}, log)
	assert.NilError(t, err)
	t.Cleanup(release)
	agreement := teamsAgreement()
	agreement.Routes = append(agreement.Routes, operator.Route{
		Host:       "jobs.example",
		Prefix:     "/idle/",
		Queue:      "idle",
		AuthExempt: true,
	})
	agreement.Rules.Queues = map[string]job.Queue{
		"open": {
			Name:    "open",
			Service: "service",
		},
		"idle": {
			Name:    "idle",
			Service: "service without workers",
		},
	}
	s, err := Open(t.Context(), Options{
		Store:     pausable,
		Term:      term,
		Agreement: func() DatedAgreement { return DatedAgreement{Agreement: agreement} },
		Advisors:  func() []AdvisorNode { return nil },
		NewWorkerClient: func(worker.Registration) (worker.Client, func()) {
			return client, func() {}
		},
		WorkerLease:    6500 * time.Millisecond,
		MaxWorkerLease: maxTestLease,
		Log:            log,
	})
	assert.NilError(t, err)
	go func() { _ = s.Run() }()
	registration := firstRegistration()
	registration.Service = "service"
	registration.Capacity = job.Resources{MilliCores: 1000}
	s.SetWorkers([]worker.Registration{registration})
	time.Sleep(pollsAnswered)
	submit := func(ctx context.Context, path string) <-chan caller.Status {
		status := make(chan caller.Status, 1)
		go func() {
			status <- s.Serve(ctx, caller.Request{
				Verb:       caller.Submit,
				Host:       "jobs.example",
				Path:       path,
				Submission: &job.Submission{Steps: []job.StepSpec{{Count: 1}}},
			}).Status
		}()
		return status
	}
	close(pausable.paused)
	submit(t.Context(), "/idle/"+unknownID)
	time.Sleep(storeStallLimit - 75*time.Millisecond) // later records wait by now
	ctx, cancel := context.WithCancel(t.Context())
	r := &resubmission{
		first:  submit(ctx, "/open/"+acceptedID),
		copied: submit(t.Context(), "/open/"+acceptedID),
	}
	time.Sleep(20 * time.Millisecond)
	cancel()
	time.Sleep(time.Millisecond)
	submit(t.Context(), "/idle/"+unknownID)
	time.Sleep(time.Millisecond)
	r.again = submit(t.Context(), "/open/"+acceptedID)
	time.Sleep(20 * time.Millisecond)
	pausable.release <- struct{}{}
	time.Sleep(time.Millisecond)
	select {
	case status := <-r.again:
		t.Fatalf("the second submission has status %d", status)
	default:
	}
	return r
}

// TestCopyOfWithdrawnSubmissionIsNotConfirmedByNextOne guards against confirming a copy of a
// submission that was withdrawn, on the grounds that a later submission of the same ID is
// waiting for the store: that one may never become durable.
func TestCopyOfWithdrawnSubmissionIsNotConfirmedByNextOne(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := resubmit(t, newRestartingWorker())
		assert.Equal(t, <-r.first, caller.Refused)
		select {
		case status := <-r.copied:
			assert.Equal(t, status, caller.Refused, "the store has not confirmed the job")
		default:
		}
	})
}

// TestStartOfWithdrawnJobIsNotSentForNextOne guards against starting a task of a job that is
// not durable: the record of its placement has the task and the attempt number of one that
// was withdrawn.
func TestStartOfWithdrawnJobIsNotSentForNextOne(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		client := newRestartingWorker()
		r := resubmit(t, client)
		assert.Equal(t, <-r.first, caller.Refused)
		client.mu.Lock()
		defer client.mu.Unlock()
		assert.Equal(t, client.running[job.TaskKey{Job: acceptedID}], 0, "the store has not confirmed the job")
	})
}
