package shard

import (
	"context"
	"log/slog"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/citronbay/citronbay/internal/cluster/caller"
	"github.com/citronbay/citronbay/internal/cluster/store"
	"github.com/citronbay/citronbay/internal/cluster/worker"
	"github.com/citronbay/citronbay/internal/decide/evacuation"
	"github.com/citronbay/citronbay/internal/decide/job"
)

// evacuatedWithin is the platform's bound for an evacuation.
const evacuatedWithin = 5 * time.Second

// heldStore is a memoryStore that holds writes of the journal while held is set.
type heldStore struct {
	*memoryStore
	held atomic.Bool
}

func (h *heldStore) Commit(ctx context.Context, txn store.Txn) (store.TxnResult, error) {
	for h.held.Load() {
		time.Sleep(time.Millisecond)
	}
	return h.memoryStore.Commit(ctx, txn)
}

// evacuatedFleet is an owner with two workers, in the failure domains "a" and "b", that have room for one
// task each.
type evacuatedFleet struct {
	*Shard
	store   *heldStore
	workers map[string]*restartingWorker // by failure domain
	log     *strings.Builder

	mu       sync.Mutex
	domains  []string // that the operators evacuate
	revision int64
	silent   bool // reads get no answer
}

// newEvacuatedFleet returns an owner that was opened while the domains were evacuated.
func newEvacuatedFleet(t *testing.T, domains ...string) (*evacuatedFleet, func()) {
	t.Helper()
	f := &evacuatedFleet{
		store: &heldStore{memoryStore: newMemoryStore()},
		workers: map[string]*restartingWorker{
			"a": newRestartingWorker(),
			"b": newRestartingWorker(),
		},
		log:      &strings.Builder{},
		domains:  domains,
		revision: 7,
	}
	agreement, err := f.read(t.Context())
	assert.NilError(t, err)
	var release func()
	f.Shard, release = runOwner(t, f.store, agreement, func(o *Options) {
		o.EvacuationInForce = evacuatedWithin
		o.ReadAgreement = f.read
		o.WorkerLease, o.MaxWorkerLease = 6500*time.Millisecond, maxTestLease
		o.Log = slog.New(slog.NewTextHandler(f.log, nil))
		o.NewWorkerClient = func(r worker.Registration) (worker.Client, func()) {
			return f.workers[r.Zone], func() {}
		}
	})
	return f, release
}

// read reads the agreement and the requests.
func (f *evacuatedFleet) read(context.Context) (DatedAgreement, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.silent {
		return DatedAgreement{}, store.ErrOutcomeUnknown
	}
	a := testAgreement(1, queueHost, validKey)
	a.Rules.Queues = map[string]job.Queue{
		"queue": {
			Name:    "queue",
			Service: "service",
		},
	}
	var list []evacuation.Request
	for _, domain := range f.domains {
		list = append(list, evacuation.Request{
			Domain:   domain,
			Key:      "evacuate/" + domain,
			Revision: f.revision,
		})
	}
	a.Evacuations = evacuation.New(f.revision, list...)
	a.AsOf = store.Now()
	return a, nil
}

// evacuate replaces the operators' requests, of which the owner learns at once if told is set.
func (f *evacuatedFleet) evacuate(told bool, domains ...string) {
	f.mu.Lock()
	f.domains = domains
	f.revision++
	f.mu.Unlock()
	if told {
		a, _ := f.read(context.Background())
		f.SetAgreement(a)
	}
}

// list lists the workers in the failure domains.
func (f *evacuatedFleet) list(domains ...string) {
	var list []worker.Registration
	for _, domain := range domains {
		w := f.workers[domain]
		w.mu.Lock()
		list = append(list, worker.Registration{
			ID:          "worker " + domain,
			Incarnation: w.incarnation,
			Service:     "service",
			Zone:        domain,
			Capacity:    job.Resources{MilliCores: 1000},
		})
		w.mu.Unlock()
	}
	f.SetWorkers(list)
	time.Sleep(pollsAnswered)
}

func (f *evacuatedFleet) submit(t *testing.T, step job.StepSpec) {
	t.Helper()
	step.Needs = job.Resources{MilliCores: 1000}
	step.EstimateMillis = time.Hour.Milliseconds() // the workers report no progress
	request := submission(acceptedID, validKey, firstCall)
	request.Submission.Steps = []job.StepSpec{step}
	assert.Equal(t, f.Serve(t.Context(), request).Status, caller.OK)
}

// setSilent sets whether reads get no answer.
func (f *evacuatedFleet) setSilent(silent bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.silent = silent
}

// placed waits until a task is placed in the failure domain, before its record is durable.
func (f *evacuatedFleet) placed(t *testing.T, domain string) {
	t.Helper()
	time.Sleep(2 * maxPassInterval)
	f.Shard.mu.Lock()
	defer f.Shard.mu.Unlock()
	assert.Assert(t, len(f.state.Placements(f.links["worker "+domain].key())) > 0)
}

// freezeAtOrder places a task in the failure domain "a" and stops all answers of the store before its
// record is durable, until the owner's knowledge of the requests is too old.
func (f *evacuatedFleet) freezeAtOrder(t *testing.T, spec job.StepSpec) {
	t.Helper()
	f.submit(t, spec)
	f.store.held.Store(true)
	f.list("a")
	f.placed(t, "a")
	f.setSilent(true)
	time.Sleep(evacuatedWithin)
}

// TestNothingStartsInEvacuatedDomain guards against starts in a failure domain after the operators have
// requested its evacuation: of tasks that were placed before, by orders that wait or are repeated, on
// workers that restart, by an owner that has just taken over, or does not know the requests.
func TestNothingStartsInEvacuatedDomain(t *testing.T) {
	one := job.StepSpec{Count: 1}
	for name, c := range map[string]struct {
		// from are the evacuated domains at the takeover.
		from []string
		play func(t *testing.T, f *evacuatedFleet)
		// want has the attempts that run in the end, by domain; no other has run.
		want map[string]int
		// wantHeld is the number of orders without an answer in "a".
		wantHeld int
	}{
		"no request": {
			play: func(t *testing.T, f *evacuatedFleet) {
				f.list("a")
				f.submit(t, one)
			},
			want: map[string]int{"a": 1},
		},
		"takeover": {
			from: []string{"a"},
			play: func(t *testing.T, f *evacuatedFleet) {
				f.list("a", "b")
				f.submit(t, job.StepSpec{Count: 2})
			},
			want: map[string]int{"b": 1},
		},
		"taken back": {
			from: []string{"a", "b"},
			play: func(t *testing.T, f *evacuatedFleet) {
				f.list("a", "b")
				f.submit(t, one)
				f.evacuate(true, "b")
			},
			want: map[string]int{"a": 1},
		},
		"taken back and asked again": {
			from: []string{"a"},
			play: func(t *testing.T, f *evacuatedFleet) {
				f.list("a")
				f.evacuate(true)
				f.evacuate(true, "a")
				f.submit(t, one)
			},
		},
		"task runs": {
			play: func(t *testing.T, f *evacuatedFleet) {
				f.list("a")
				f.submit(t, one)
				time.Sleep(pollsAnswered)
				f.evacuate(true, "a")
				f.list("a", "b")
			},
			want: map[string]int{"a": 1},
		},
		"order waits for its record": {
			play: func(t *testing.T, f *evacuatedFleet) {
				f.submit(t, one)
				f.store.held.Store(true)
				f.list("a")
				f.placed(t, "a")
				f.evacuate(true, "a")
				f.store.held.Store(false)
				f.list("a", "b")
			},
			want: map[string]int{"b": 2},
		},
		"gang waits for its record": {
			play: func(t *testing.T, f *evacuatedFleet) {
				f.submit(t, job.StepSpec{Count: 2, Gang: true})
				f.store.held.Store(true)
				f.list("a", "b")
				f.placed(t, "b")
				f.evacuate(true, "a")
				f.store.held.Store(false)
			},
		},
		"order waits for its answer": {
			play: func(t *testing.T, f *evacuatedFleet) {
				f.workers["a"].hold = true
				f.list("a")
				f.submit(t, one)
				time.Sleep(orderTimeout / 2)
				f.evacuate(true, "a")
				time.Sleep(orderTimeout)
				f.workers["a"].mu.Lock()
				f.workers["a"].hold = false
				f.workers["a"].mu.Unlock()
				f.list("a", "b")
			},
			want:     map[string]int{"b": 2},
			wantHeld: 1,
		},
		"worker restarts": {
			play: func(t *testing.T, f *evacuatedFleet) {
				f.list("a")
				f.submit(t, one)
				time.Sleep(pollsAnswered)
				f.evacuate(true, "a")
				f.workers["a"].restart()
				f.list("a")
			},
		},
		"requests not known": {
			play: func(t *testing.T, f *evacuatedFleet) {
				f.setSilent(true)
				time.Sleep(evacuatedWithin)
				f.evacuate(false, "a")
				f.list("a")
				f.submit(t, one)
			},
		},
		"requests read again": {
			play: func(t *testing.T, f *evacuatedFleet) {
				f.setSilent(true)
				time.Sleep(evacuatedWithin)
				f.evacuate(false, "a")
				f.list("a", "b")
				f.submit(t, one)
				f.setSilent(false)
			},
			want: map[string]int{"b": 1},
		},
		"frozen before the order": {
			play: func(t *testing.T, f *evacuatedFleet) {
				f.freezeAtOrder(t, one)
				f.evacuate(false, "a")
				f.store.held.Store(false)
				time.Sleep(time.Second)
				f.setSilent(false)
				f.list("a", "b")
			},
			want: map[string]int{"b": 2},
		},
		"frozen, no request": {
			play: func(t *testing.T, f *evacuatedFleet) {
				f.freezeAtOrder(t, one)
				f.store.held.Store(false)
				time.Sleep(time.Second)
				f.setSilent(false)
			},
			want: map[string]int{"a": 1},
		},
		"unknown domain": {
			play: func(t *testing.T, f *evacuatedFleet) {
				f.evacuate(true, "elsewhere")
				f.list("a")
				f.submit(t, one)
			},
			want: map[string]int{"a": 1},
		},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f, release := newEvacuatedFleet(t, c.from...)
				defer release()
				c.play(t, f)
				time.Sleep(2 * pollsAnswered)
				running, ended := map[string]int{}, int64(0)
				for domain, w := range f.workers {
					w.mu.Lock()
					for _, attempt := range w.running {
						running[domain] = attempt
					}
					ended += w.lastEnded
					w.mu.Unlock()
				}
				assert.Equal(t, ended, int64(0))
				if c.want == nil {
					c.want = map[string]int{}
				}
				assert.DeepEqual(t, running, c.want)
				assert.Equal(t, len(f.workers["a"].held), c.wantHeld)
			})
		})
	}
}

// TestEvacuationIsShown checks what an operator sees of evacuations: why a job waits, and a request
// for a failure domain without workers.
func TestEvacuationIsShown(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f, release := newEvacuatedFleet(t, "a", "elsewhere")
		f.list("a")
		f.submit(t, job.StepSpec{Count: 1})
		time.Sleep(3 * time.Second)
		explanation := strings.Join(f.Explain(acceptedID), "\n")
		assert.Assert(t, strings.Contains(explanation, "failure domain a is evacuated: nothing starts on its 1 workers"), explanation)
		assert.Assert(t, strings.Contains(explanation, "step 0 waits: its failure domains are evacuated"), explanation)
		release()
		synctest.Wait()
		log := f.log.String()
		assert.Equal(t, strings.Count(log, "msg=evacuationOfUnknownDomain domain=elsewhere key=evacuate/elsewhere"), 1, log)
		assert.Equal(t, strings.Count(log, "msg=evacuationRequested"), 2, log)
	})
}
