package shard

import (
	"context"
	"io"
	"log/slog"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/citronbay/citronbay/internal/cluster/store"
	"github.com/citronbay/citronbay/internal/cluster/worker"
	"github.com/citronbay/citronbay/internal/decide/job"
)

// TestSuccessorWaitsForLastWorkerLease checks that a successor does not give up the tasks
// of an unresponsive worker while they may still run. In the worst case the previous
// owner does not know that its lease was ended early, extends worker leases for the full
// lease and its grace, and the worker's clock is 2 % slow.
func TestSuccessorWaitsForLastWorkerLease(t *testing.T) {
	const workerLease = 6500 * time.Millisecond
	term := &store.Term{}
	s := &Shard{
		options: Options{
			WorkerLease: workerLease,
			NewWorkerClient: func(worker.Registration) (worker.Client, func()) {
				return nil, func() {}
			},
		},
		state: job.NewState(),
		links: map[string]*link{},
		term:  term,
	}
	claimed := time.Now()
	l := s.newLink(t.Context(), worker.Registration{ID: "w"}, true)
	lastRun := claimed.Add(store.OwnershipLeaseTime + workerLeaseGrace + workerLease*102/100)
	assert.Assert(t, !l.lastExtension.Add(s.maxWorkerLease()).Before(lastRun))
}

// failingPolls is a worker whose polls return the errors in turn, and an empty report for
// nil. Later polls get no answer.
type failingPolls struct {
	worker.Client
	errs  []error
	acked []int64
	sent  []time.Time
}

func (w *failingPolls) Poll(ctx context.Context, poll worker.Poll) (worker.Report, error) {
	w.acked, w.sent = append(w.acked, poll.AckedNumber), append(w.sent, time.Now())
	if n := len(w.acked); n <= len(w.errs) {
		return worker.Report{}, w.errs[n-1]
	}
	<-ctx.Done()
	return worker.Report{}, ctx.Err()
}

// TestAcknowledgementAfterFailedPoll checks that the owner acknowledges no ended attempts
// from a failed poll until the next report, which may be that of the worker's next
// incarnation, and that it polls again at once if only the acknowledgement was not sent.
func TestAcknowledgementAfterFailedPoll(t *testing.T) {
	const (
		newest = 7
		pause  = pollTimeoutSlack / 2
	)
	for name, c := range map[string]struct {
		errs       []error // of the polls after the first, which gets a report
		wantAcked  []int64
		wantPauses []time.Duration // after these polls
	}{
		"reports": {
			errs:       []error{nil, nil},
			wantAcked:  []int64{newest, newest, newest},
			wantPauses: []time.Duration{0, 0},
		},
		"not sent": {
			errs:       []error{worker.ErrNotSent, nil},
			wantAcked:  []int64{newest, 0, newest},
			wantPauses: []time.Duration{0, 0},
		},
		"no answer": {
			errs:       []error{context.DeadlineExceeded, nil},
			wantAcked:  []int64{newest, 0, newest},
			wantPauses: []time.Duration{pause, 0},
		},
		"unreachable": {
			errs:       []error{worker.ErrNotSent, worker.ErrNotSent, worker.ErrNotSent, nil},
			wantAcked:  []int64{newest, 0, 0, 0, newest},
			wantPauses: []time.Duration{0, pause, pause, 0},
		},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				log := slog.New(slog.NewTextHandler(io.Discard, nil))
				term, release, err := store.Claim(t.Context(), grantingStore{}, "fleet", store.Owner{}, log)
				assert.NilError(t, err)
				defer release()
				client := &failingPolls{errs: append([]error{nil}, c.errs...)}
				s := newShardWithClient(term, client, log)
				l := s.newLink(t.Context(), worker.Registration{ID: "w"}, true)
				l.newestEnded, l.newestDurableEnded = newest, newest
				go l.run()
				time.Sleep(time.Duration(len(c.errs)) * pause)
				l.cancel()
				synctest.Wait()
				assert.DeepEqual(t, client.acked[1:], c.wantAcked)
				var pauses []time.Duration
				for n := range c.errs {
					pauses = append(pauses, client.sent[n+2].Sub(client.sent[n+1]))
				}
				assert.DeepEqual(t, pauses, c.wantPauses)
			})
		})
	}
}
