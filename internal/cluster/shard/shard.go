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
	// planPause gathers events of some milliseconds into one pass of the planner.
	planPause = 4 * time.Millisecond
	// easyPause is the pause up to which passes take a twenty-sixth of the time at most:
	// waiting so long hardly matters beside the journal's pause.
	easyPause = 10 * time.Millisecond
	easyShare = 25
	// planInterval bounds the time between passes, for what only time changes.
	planInterval = 100 * time.Millisecond
	// planShare bounds the passes' share of the time when a backlog or a large fleet
	// makes them long: a pause lasts this many times the pass before it.
	planShare = 6
	// gaugeMillis is between settings of the gauges.
	gaugeMillis = 500
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
	options Options
	tenure  *store.Tenure
	journal *store.Journal[job.Record]
	log     *slog.Logger
	origin  time.Time
	epoch   int64
	kick    chan struct{}
	buckets map[string]*bucket
	// gaugesSet is when the gauges were last set.
	gaugesSet int64
	// pruned is when ended jobs were last forgotten; only Run uses it.
	pruned time.Time
	// lastPlan is how long the last pass took; only Run uses it.
	lastPlan time.Duration

	mu        sync.Mutex
	state     *job.State
	agreement *operator.Agreement
	links     map[string]*link
	asking    map[string]bool
	askedLong int
}

// Open rebuilds the shard from its journal.
func Open(ctx context.Context, options Options) (*Shard, error) {
	s := &Shard{
		options: options,
		tenure:  options.Tenure,
		log:     options.Log,
		origin:  time.Now(),
		epoch:   time.Now().UnixMilli(),
		kick:    make(chan struct{}, 1),
		buckets: map[string]*bucket{},
		state:   job.NewState(),
		links:   map[string]*link{},
		asking:  map[string]bool{},
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
	s.log.Info("shardRecovered", "token", s.tenure.Token(), "records", len(records),
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
	return s.epoch + time.Since(s.origin).Milliseconds()
}

// Run places work until the tenure ends, and returns why it ended.
func (s *Shard) Run() error {
	ctx := s.tenure.Context()
	done := make(chan error, 1)
	go func() {
		done <- s.journal.Run(&s.mu)
	}()
	s.adoptOrphans()
	for {
		select {
		case err := <-done:
			return err
		case <-s.kick:
			select {
			case <-time.After(passPause(s.lastPlan)):
			case <-ctx.Done():
			}
		case <-time.After(planInterval):
		}
		if ctx.Err() == nil {
			begun := time.Now()
			s.plan()
			s.lastPlan = time.Since(begun)
		}
	}
}

// passPause returns how long to wait after a pass of the planner that took so long. It
// answers a fleet so large that passes cost as much as the orders, and a backlog in
// which they take as long as the work that they place.
func passPause(last time.Duration) time.Duration {
	return max(planPause, min(easyPause, easyShare*last), planShare*last)
}

// wake asks for a pass of the planner soon.
func (s *Shard) wake() {
	select {
	case s.kick <- struct{}{}:
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
	s.wake()
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

// record hands the records to the journal, and calls done, if any, once they are
// durable. Jobs are marked when their acceptance and their end are, so that later
// questions about them need not wait; the caller holds the lock.
func (s *Shard) record(records []job.Record, done func()) {
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

// plan runs one pass: it lets holds lapse, starts what fits and asks the policy
// service.
func (s *Shard) plan() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expireLinks()
	now := s.now()
	if time.Since(s.pruned) > pruneInterval {
		s.pruned = time.Now()
		s.state.Prune(now - s.options.StatusTime.Milliseconds())
	}
	workers := s.workers()
	if now-s.gaugesSet > gaugeMillis {
		s.gaugesSet = now
		s.setGauges(workers)
	}
	planner := job.NewPlanner(s.state, s.agreement.Rules, workers, now).WithCommitMillis(s.journal.Usual().Milliseconds())
	// What is placed while the store is away would hold room until its tickets have
	// expired.
	if s.tenure.Remaining() > 0 && s.journal.Stalled() < stallLimit {
		if records := planner.Plan(now); len(records) > 0 {
			s.logPlaced(records, now)
			s.record(records, func() {
				s.startAll(records)
			})
		}
	}
	s.askPolicy(planner, now)
}

// workers returns the planner's view of the links.
func (s *Shard) workers() []*job.Worker {
	now := time.Now()
	list := make([]*job.Worker, 0, len(s.links))
	for _, l := range s.links {
		list = append(list, l.view(now))
	}
	return list
}

// logPlaced writes one line for each step of which tasks were placed.
func (s *Shard) logPlaced(records []job.Record, now int64) {
	for n := 0; n < len(records); {
		r := records[n]
		same := n
		for same < len(records) && records[same].Job == r.Job && records[same].Step == r.Step {
			same++
		}
		j := s.state.Job(r.Job)
		if r.Step == 0 && r.Attempt == 1 {
			countFirstStart(s.agreement.Rules.Queues[j.Queue].Priority, time.Duration(now-j.SubmittedMillis)*time.Millisecond)
		}
		s.log.Info("tasksPlaced", "job", r.Job, "step", r.Step, "tasks", same-n, "attempt", r.Attempt,
			"worker", r.Worker, "ageMillis", now-j.SubmittedMillis, "agreement", s.agreement.Version)
		n = same
	}
}
