package shard

import (
	"context"
	"io"
	"log/slog"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/citronbay/citronbay/internal/cluster/operator"
	"github.com/citronbay/citronbay/internal/cluster/store"
	"github.com/citronbay/citronbay/internal/cluster/worker"
	"github.com/citronbay/citronbay/internal/decide/job"
)

// pollsAnswered is enough for several polls. It ends while one is under way, so that
// nothing else happens at the same instant.
const pollsAnswered = 1010 * time.Millisecond

// emptyStore is a grantingStore without stored items.
type emptyStore struct {
	grantingStore
}

func (emptyStore) Range(context.Context, string) ([]store.Item, int64, error) {
	return nil, 1, nil
}

// restartingWorker is a worker that can restart under its ID. Requests reach the present
// incarnation, whichever they were meant for, as on a new connection.
type restartingWorker struct {
	mu          sync.Mutex
	incarnation int64
	token       int64
	running     map[job.TaskKey]int // attempt by task
	ended       []worker.Ended
	lastEnded   int64
	held        []worker.Start // start orders without an answer
	hold        bool           // hold start orders instead of carrying them out
}

func (w *restartingWorker) restart() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.incarnation++
	w.token, w.lastEnded, w.ended = 0, 0, nil
	w.running = map[job.TaskKey]int{}
}

// fence reports whether the token is valid and keeps it. The caller holds w.mu.
func (w *restartingWorker) fence(token int64) bool {
	w.token = max(w.token, token)
	return token == w.token
}

func (w *restartingWorker) start(request worker.Start) worker.Answer {
	if !w.fence(request.Token) {
		return worker.RefusedToken
	}
	w.running[request.Task] = request.Attempt
	return worker.Started
}

func (w *restartingWorker) Start(ctx context.Context, request worker.Start) (worker.Answer, int64, error) {
	w.mu.Lock()
	if w.hold {
		w.held = append(w.held, request)
		w.mu.Unlock()
		<-ctx.Done()
		return 0, 0, ctx.Err()
	}
	defer w.mu.Unlock()
	return w.start(request), 0, nil
}

// end ends an attempt with the outcome. The caller holds w.mu.
func (w *restartingWorker) end(task job.TaskKey, outcome worker.Outcome) {
	w.lastEnded++
	w.ended = append(w.ended, worker.Ended{
		Number:  w.lastEnded,
		Task:    task,
		Attempt: w.running[task],
		Outcome: outcome,
	})
	delete(w.running, task)
}

func (w *restartingWorker) Stop(_ context.Context, task job.TaskKey, attempt int, token int64) error {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.fence(token) && w.running[task] == attempt {
		w.end(task, worker.Stopped)
	}
	return nil
}

func (w *restartingWorker) Poll(ctx context.Context, poll worker.Poll) (worker.Report, error) {
	select {
	case <-ctx.Done():
		return worker.Report{}, ctx.Err()
	case <-time.After(20 * time.Millisecond):
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	if !w.fence(poll.Token) {
		return worker.Report{Refused: worker.RefusedToken}, nil
	}
	report := worker.Report{
		Incarnation: w.incarnation,
		Ended:       w.ended,
	}
	for task, attempt := range w.running {
		report.Running = append(report.Running, worker.Running{
			Task:    task,
			Attempt: attempt,
		})
	}
	return report, nil
}

func newRestartingWorker() *restartingWorker {
	return &restartingWorker{
		incarnation: 1,
		running:     map[job.TaskKey]int{},
	}
}

// newRestartTest returns a shard with one open job whose worker is the client, and a
// function that ends its term.
func newRestartTest(t *testing.T, client worker.Client) (*Shard, func()) {
	return newRestartTestIn(t, emptyStore{}, client)
}

// newRestartTestIn is newRestartTest with another store.
func newRestartTestIn(t *testing.T, granted store.Client, client worker.Client) (*Shard, func()) {
	log := slog.New(slog.NewTextHandler(io.Discard, nil))
	term, release, err := store.Claim(t.Context(), granted, "fleet", store.Owner{}, log)
	assert.NilError(t, err)
	s := newShardWithClient(term, client, log)
	s.options.WorkerLease, s.options.MaxWorkerLease = 6500*time.Millisecond, maxTestLease
	s.agreement = DatedAgreement{Agreement: &operator.Agreement{}}
	s.journal, _, err = store.OpenJournal(t.Context(), granted, term, s.snapshot, log)
	assert.NilError(t, err)
	assert.NilError(t, s.state.Apply(job.Record{
		Kind: job.RecordAccept,
		Job:  acceptedID,
		Submission: &job.Submission{
			Steps: []job.StepSpec{{Count: 1}},
		},
	}))
	go func() {
		_ = s.journal.Run(&s.mu)
	}()
	return s, release
}

// placeOnFirstIncarnation places the job's task on the worker's first incarnation.
func placeOnFirstIncarnation(t *testing.T, s *Shard) job.Record {
	placed := job.Record{
		Kind:        job.RecordPlace,
		Job:         acceptedID,
		Attempt:     1,
		Worker:      "w",
		Incarnation: 1,
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	assert.NilError(t, s.state.Apply(placed))
	return placed
}

// TestTwoRunsAfterWorkerRestart guards against a task that starts again while, or after, a
// worker that restarted under its ID runs it on an order meant for its last incarnation.
func TestTwoRunsAfterWorkerRestart(t *testing.T) {
	task := job.TaskKey{Job: acceptedID}
	for name, c := range map[string]struct {
		// before acts on the worker between its restart and the owner's discovery of it.
		before func(w *restartingWorker)
		// listed is set if the directory, not a report, tells the owner of the restart.
		listed bool
		// held is set if the order is still under way when the owner learns of the restart.
		held          bool
		wantPlacement bool
		wantDone      bool
	}{
		"order carried out": {
			wantPlacement: true,
		},
		"order carried out, restart known from the directory": {
			listed:        true,
			wantPlacement: true,
		},
		"order carried out and completed": {
			before: func(w *restartingWorker) {
				w.end(task, worker.Done)
			},
			wantDone: true,
		},
		"order under way": {
			held: true,
		},
		"order under way, restart known from the directory": {
			held:   true,
			listed: true,
		},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				client := newRestartingWorker()
				client.hold = c.held
				s, release := newRestartTest(t, client)
				defer release()
				registration := worker.Registration{
					ID:          "w",
					Incarnation: 1,
				}
				s.SetWorkers([]worker.Registration{registration})
				time.Sleep(pollsAnswered)
				placed := placeOnFirstIncarnation(t, s)
				client.restart()
				s.sendStarts(s.placementsOf([]job.Record{placed}))
				synctest.Wait()
				client.mu.Lock()
				if c.before != nil {
					c.before(client)
				}
				client.mu.Unlock()
				if c.listed {
					registration.Incarnation = 2
					s.SetWorkers([]worker.Registration{registration})
				}
				time.Sleep(time.Second)

				s.mu.Lock()
				defer s.mu.Unlock()
				client.mu.Lock()
				defer client.mu.Unlock()
				p := s.state.Placement(task)
				assert.Equal(t, p != nil, c.wantPlacement)
				assert.Equal(t, s.state.Task(task).Done, c.wantDone)
				if p != nil {
					assert.Equal(t, client.running[task], 1)
					assert.Assert(t, p.Confirmed)
					assert.Equal(t, p.Worker.Incarnation, int64(2))
				}
				for _, request := range client.held {
					assert.Equal(t, client.start(request), worker.RefusedToken)
				}
				assert.NilError(t, s.term.Context().Err())
			})
		})
	}
}

// TestRunIsStrayAfterRestartAndTakeover guards against an owner that takes an attempt for a
// stray one, because the worker restarted under its ID after the previous owner placed it.
func TestRunIsStrayAfterRestartAndTakeover(t *testing.T) {
	task := job.TaskKey{Job: acceptedID}
	for name, running := range map[string]bool{
		"order carried out after the restart": true,
		"attempt ended by the restart":        false,
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				client := newRestartingWorker()
				s, release := newRestartTest(t, client)
				defer release()
				placeOnFirstIncarnation(t, s)
				s.inheritPlacements()
				client.restart()
				if running {
					client.running[task] = 1
				}
				s.SetWorkers([]worker.Registration{{
					ID:          "w",
					Incarnation: 2,
				}})
				time.Sleep(time.Second)
				s.mu.Lock()
				defer s.mu.Unlock()
				client.mu.Lock()
				defer client.mu.Unlock()
				assert.Equal(t, s.state.Placement(task) != nil, running)
				assert.Equal(t, client.running[task] == 1, running)
			})
		})
	}
}

// TestTaskWaitsForRestartedWorker guards against a task that waits for the first report of a
// restarted worker although its attempt had certainly been carried out before the restart.
func TestTaskWaitsForRestartedWorker(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		client := newRestartingWorker()
		s, release := newRestartTest(t, client)
		defer release()
		registration := worker.Registration{
			ID:          "w",
			Incarnation: 1,
		}
		s.SetWorkers([]worker.Registration{registration})
		time.Sleep(pollsAnswered)
		s.sendStarts(s.placementsOf([]job.Record{placeOnFirstIncarnation(t, s)}))
		time.Sleep(time.Second)
		registration.Incarnation = 2
		s.SetWorkers([]worker.Registration{registration})
		s.mu.Lock()
		defer s.mu.Unlock()
		assert.Assert(t, s.state.Placement(job.TaskKey{Job: acceptedID}) == nil)
	})
}
