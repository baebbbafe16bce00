package shard

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"sync"
	"time"

	"github.com/citronbay/citronbay/internal/cluster/operator"
	"github.com/citronbay/citronbay/internal/cluster/store"
	"github.com/citronbay/citronbay/internal/cluster/worker"
	"github.com/citronbay/citronbay/internal/decide/job"
)

const (
	// minPassPause gathers events of some milliseconds into one pass of the planner.
	minPassPause = 4 * time.Millisecond
	// lowDutyMaxPause is the pause up to which passes take a twenty-sixth of the time at most:
	// waiting so long hardly matters beside the journal's pause.
	lowDutyMaxPause    = 10 * time.Millisecond
	lowDutyPauseFactor = 25
	// maxPassInterval bounds the time between passes, for what only time changes.
	maxPassInterval = 100 * time.Millisecond
	// minPauseFactor bounds the passes' share of the time when a backlog or a large fleet
	// makes them long: a pause lasts this many times the pass before it.
	minPauseFactor = 6
	// gaugeIntervalMillis is between settings of the gauges.
	gaugeIntervalMillis = 500
	// pruneInterval is how often ended jobs are forgotten.
	pruneInterval = 5 * time.Second
	// recoveryTimeout bounds the reading of the journal at a takeover.
	recoveryTimeout = 8 * time.Second
)

// Advice asks the policy service through some entry of the cluster.
type Advice struct {
	// Node names the entry, which takes one call at a time.
	Node string
	Ask  func(ctx context.Context, jobID string, step int, workers []string) ([]worker.Ticket, error)
}

// Options are what a shard needs from its surroundings.
type Options struct {
	Store  store.Client
	Tenure *store.Tenure
	// Agreement returns the agreement in force, once it has been read, or nil.
	Agreement func() *operator.Agreement
	// Dial returns the client of a worker and its clean-up function.
	Dial func(worker.Registration) (worker.Client, func())
	// Advisors returns the entries that can ask the policy service now.
	Advisors func() []Advice
	// StatusTime is how long ended jobs are remembered.
	StatusTime time.Duration
	// HoldTime is how long workers keep tasks running without a word.
	HoldTime time.Duration
	Log      *slog.Logger
}

// Shard is the owner's side of one shard. Create it with Open.
type Shard struct {
	options      Options
	term         *store.Tenure
	journal      *store.Journal[job.Record]
	log          *slog.Logger
	openedAt     time.Time
	openedMillis int64
	planRequests chan struct{}
	buckets      map[string]*tokenBucket
	// gaugesSetMillis is when the gauges were last set.
	gaugesSetMillis int64
	// lastPrune is when ended jobs were last forgotten; only Run uses it.
	lastPrune time.Time
	// lastPassDuration is how long the last pass took; only Run uses it.
	lastPassDuration time.Duration

	mu           sync.Mutex
	state        *job.State
	agreement    *operator.Agreement
	links        map[string]*link
	busyAdvisors map[string]bool
	longCalls    int
}

// Open rebuilds the shard from its journal.
func Open(ctx context.Context, options Options) (*Shard, error) {
	s := &Shard{
		options:      options,
		term:         options.Tenure,
		log:          options.Log,
		openedAt:     time.Now(),
		openedMillis: time.Now().UnixMilli(),
		planRequests: make(chan struct{}, 1),
		buckets:      map[string]*tokenBucket{},
		state:        job.NewState(),
		links:        map[string]*link{},
		busyAdvisors: map[string]bool{},
	}
	ctx, cancel := context.WithTimeout(ctx, recoveryTimeout)
	defer cancel()
	journal, records, err := store.Open(ctx, options.Store, options.Tenure, s.snapshot, options.Log)
	if err != nil {
		return nil, fmt.Errorf("shard: recover: %w", err)
	}
	s.journal = journal
	for _, r := range records {
		if err := s.state.Apply(r); err != nil {
			return nil, fmt.Errorf("shard: recover: %w", err)
		}
	}
	s.state.MarkRecorded()
	if s.agreement = options.Agreement(); s.agreement == nil {
		return nil, errors.New("shard: recover: the tenure ended before the agreement was read")
	}
	s.log.Info("shardRecovered", "token", s.term.Token(), "records", len(records),
		"openJobs", len(s.state.OpenJobs()), "agreement", s.agreement.Version)
	return s, nil
}

// snapshot returns records that stand for the state; the journal calls it under
// the shard's lock.
func (s *Shard) snapshot() []job.Record {
	return s.state.Snapshot(s.now() - s.options.StatusTime.Milliseconds())
}

// now returns the owner's clock: Unix milliseconds that do not jump.
func (s *Shard) now() int64 {
	return s.openedMillis + time.Since(s.openedAt).Milliseconds()
}

// Run places work until the tenure ends, and returns why it ended.
func (s *Shard) Run() error {
	ctx := s.term.Context()
	done := make(chan error, 1)
	go func() {
		done <- s.journal.Run(&s.mu)
	}()
	s.expireUnlistedWorkers()
	for {
		select {
		case err := <-done:
			return err
		case <-s.planRequests:
			select {
			case <-time.After(pauseAfterPass(s.lastPassDuration)):
			case <-ctx.Done():
			}
		case <-time.After(maxPassInterval):
		}
		if ctx.Err() == nil {
			passStart := time.Now()
			s.runPass()
			s.lastPassDuration = time.Since(passStart)
		}
	}
}

// pauseAfterPass returns how long to wait after a pass of the planner that took so long. It
// answers a fleet so large that passes cost as much as the orders, and a backlog in
// which they take as long as the work that they place.
func pauseAfterPass(last time.Duration) time.Duration {
	return max(minPassPause, min(lowDutyMaxPause, lowDutyPauseFactor*last), minPauseFactor*last)
}

// requestPass asks for a pass of the planner soon.
func (s *Shard) requestPass() {
	select {
	case s.planRequests <- struct{}{}:
	default:
	}
}

// SetAgreement puts a newer agreement in force; older ones are ignored.
func (s *Shard) SetAgreement(a *operator.Agreement) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if a.Version <= s.agreement.Version {
		return
	}
	s.log.Info("agreementInForce", "version", a.Version, "before", s.agreement.Version)
	s.agreement = a
	s.requestPass()
}

// apply changes the state by the record and hands it to the journal; the caller
// holds the lock.
func (s *Shard) apply(records []job.Record, r job.Record) []job.Record {
	if err := s.state.Apply(r); err != nil {
		s.log.Error("recordRefused", "kind", r.Kind, "job", r.Job, "error", err)
		return records
	}
	return append(records, r)
}

// appendToJournal hands the records to the journal, and calls done, if any, once they are
// durable. Jobs are marked when their acceptance and their end are, so that later
// questions about them need not wait; the caller holds the lock.
func (s *Shard) appendToJournal(records []job.Record, done func()) {
	var accepted, ended []*job.Job
	for _, r := range records {
		switch r.Kind {
		case job.RecordAccept:
			accepted = append(accepted, s.state.Job(r.Job))
		case job.RecordFinish:
			ended = append(ended, s.state.Job(r.Job))
		}
	}
	s.journal.Append(records, func() {
		if len(accepted)+len(ended) > 0 {
			s.mu.Lock()
			for _, j := range accepted {
				j.Recorded = true
			}
			for _, j := range ended {
				j.EndRecorded = true
			}
			s.mu.Unlock()
		}
		if done != nil {
			done()
		}
	})
}

// runPass runs one pass: it lets holds lapse, starts what fits and asks the policy
// service.
func (s *Shard) runPass() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expireLinks()
	now := s.now()
	if time.Since(s.lastPrune) > pruneInterval {
		s.lastPrune = time.Now()
		s.state.Prune(now - s.options.StatusTime.Milliseconds())
	}
	workers := s.plannerWorkers()
	if now-s.gaugesSetMillis > gaugeIntervalMillis {
		s.gaugesSetMillis = now
		s.setGauges(workers)
	}
	planner := job.NewPlanner(s.state, s.agreement.Rules, workers, now).WithCommitMillis(s.journal.Usual().Milliseconds())
	// What is placed while the store is away would hold room until its tickets have
	// expired.
	if s.term.Remaining() > 0 && s.journal.Stalled() < storeStallLimit {
		if records := planner.Plan(now); len(records) > 0 {
			s.logPlacements(records, now)
			s.appendToJournal(records, func() {
				s.sendStarts(records)
			})
		}
	}
	s.askPolicy(planner, now)
}

// plannerWorkers returns the planner's view of the links.
func (s *Shard) plannerWorkers() []*job.Worker {
	now := time.Now()
	list := make([]*job.Worker, 0, len(s.links))
	for _, l := range s.links {
		list = append(list, l.plannerWorker(now))
	}
	return list
}

// logPlacements writes one line for each step of which tasks were placed.
func (s *Shard) logPlacements(records []job.Record, now int64) {
	for n := 0; n < len(records); {
		r := records[n]
		end := n
		for end < len(records) && records[end].Job == r.Job && records[end].Step == r.Step {
			end++
		}
		j := s.state.Job(r.Job)
		if r.Step == 0 && r.Attempt == 1 {
			countFirstStart(s.agreement.Rules.Queues[j.Queue].Priority, time.Duration(now-j.SubmittedMillis)*time.Millisecond)
		}
		s.log.Info("tasksPlaced", "job", r.Job, "step", r.Step, "tasks", end-n, "attempt", r.Attempt,
			"worker", r.Worker, "ageMillis", now-j.SubmittedMillis, "agreement", s.agreement.Version)
		n = end
	}
}
