package shard

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/time/rate"

	"github.com/citronbay/citronbay/internal/api/traffic"
	"github.com/citronbay/citronbay/internal/cluster/store"
	"github.com/citronbay/citronbay/internal/cluster/worker"
	"github.com/citronbay/citronbay/internal/decide/job"
)

const (
	// minPassPause batches the events of a few milliseconds into one planning pass.
	minPassPause = 4 * time.Millisecond
	// The pause after a short pass is shortPassPauseFactor times as long as the pass,
	// which limits passes to 1/26 of the time, but no longer than shortPassMaxPause. A
	// pause of at most that length adds little to the journal's pause between writes.
	shortPassMaxPause    = 10 * time.Millisecond
	shortPassPauseFactor = 25
	// maxPassInterval bounds the time without a pass, since some decisions depend
	// on the time alone.
	maxPassInterval = 100 * time.Millisecond
	// minPauseFactor is the least ratio of a pause to the pass before it, as long as the
	// pause is within maxPassPause. It bounds passes to 1/7 of the time when a backlog or a
	// large fleet makes them long.
	minPauseFactor = 6
	// maxPassPause bounds the pause. A pass can take long only because the process got no
	// processor time or waited for the journal's snapshot.
	maxPassPause = 200 * time.Millisecond
	// gaugeIntervalMillis is the minimum time between updates of the gauges.
	gaugeIntervalMillis = 500
	// pruneInterval is the minimum time between removals of ended jobs from the state.
	pruneInterval = 5 * time.Second
	// recoveryTimeout bounds reading the journal at a takeover.
	recoveryTimeout = 8 * time.Second
)

// AdvisorNode is a node through which the shard can ask the policy service.
type AdvisorNode struct {
	// Node is the name of the node, which handles one call at a time.
	Node string
	// Ask asks which of the workers may run the step, and returns their tickets.
	Ask func(ctx context.Context, jobID string, step int, workers []string) ([]worker.Ticket, error)
}

// Options holds the dependencies and settings of a shard.
type Options struct {
	Store store.Client
	// Term is the term of ownership in which the shard runs.
	Term *store.Term
	// Agreement waits until the agreement in force has been read and returns it,
	// or the zero value if the term of ownership ends first.
	Agreement func() DatedAgreement
	// ReadAgreement reads the agreement in force from the store.
	ReadAgreement func(ctx context.Context) (DatedAgreement, error)
	// ChangeInForce is the time after its acknowledgement within which a change of the
	// agreement has to be in force; zero means no limit.
	ChangeInForce time.Duration
	// EvacuationInForce is the time after its acknowledgement from which no task may start in an
	// evacuated failure domain; zero means that there are no evacuations.
	EvacuationInForce time.Duration
	// NewWorkerClient returns a client of the worker and the function that closes it.
	NewWorkerClient func(worker.Registration) (worker.Client, func())
	// Link is the link of this VM.
	Link traffic.Link
	// Advisors returns the nodes that can ask the policy service now.
	Advisors func() []AdvisorNode
	// JobStateRetention is how long the state of an ended job is kept.
	JobStateRetention time.Duration
	// WorkerLease is how long a worker keeps its tasks running without hearing from the owner,
	// counted from when the next poll is due.
	WorkerLease time.Duration
	// MaxWorkerLease is the longest worker lease that workers grant.
	MaxWorkerLease time.Duration
	// Interference enables keeping tasks apart that slow each other down.
	Interference bool
	Log          *slog.Logger
}

// Shard manages one shard during a term of ownership. Create it with Open.
type Shard struct {
	options      Options
	term         *store.Term
	journal      *store.Journal[job.Record]
	log          *slog.Logger
	openedAt     time.Time
	openedMillis int64 // openedAt as a Unix millisecond
	passRequests chan struct{}
	previews     chan struct{}          // holds a value during a preview and the pause after it
	starts       *rate.Limiter          // of the bytes of start orders
	credit       startCredit            // guarded by mu
	buckets      map[string]tokenBucket // by team; guarded by mu
	gate         gate                   // guarded by mu
	// gaugesSetMillis is the owner's clock at the last update of the gauges; only Run
	// uses it.
	gaugesSetMillis int64
	// lastPrune is when ended jobs were last removed; only Run uses it.
	lastPrune time.Time
	// lastPassDuration is how long the last pass took; only Run uses it.
	lastPassDuration time.Duration

	// agreementVersion is that of agreement.
	agreementVersion atomic.Int64

	// passLoad sums up the planning passes for the log; only Run uses it.
	passLoad passLoad

	// mu guards the fields below. It is also the lock given to the journal's Run.
	mu        sync.Mutex
	state     *job.State
	agreement DatedAgreement
	// evacuations are the requests known, and unknownDomains the revisions of those that were
	// logged since no worker is in their failure domain, by that.
	evacuations    Evacuations
	unknownDomains map[string]int64
	// nextCheck is the check of ownership that begins after the one in progress, or nil, and
	// checking is set while there is either.
	nextCheck *ownershipCheck
	checking  bool
	// agreementRead is the read for which requests wait, or nil.
	agreementRead *agreementRead
	// agreementReadFailedAt is when such a read last failed.
	agreementReadFailedAt store.Instant
	links                 map[string]*link // by the ID of the worker
	linkCount             int64            // links created in this term
	nextFirstPoll         time.Time        // of the next link that is created
	// earlier holds the incarnations that had placements before the term, until a link of
	// their worker takes these over, by the ID of the worker.
	earlier      map[string][]job.WorkerKey
	crashes      job.CrashLog
	busyAdvisors map[string]bool // by the name of the node
	slowCalls    int             // slow calls to the policy service in flight
	// interference is nil unless it is enabled.
	interference *interferenceState
}

// Open recovers the shard from its journal. It fails if the journal cannot be read or
// holds a record of an unknown kind, or if the term of ownership ends before the agreement in
// force has been read.
func Open(ctx context.Context, options Options) (*Shard, error) {
	s := &Shard{
		options:      options,
		term:         options.Term,
		log:          options.Log,
		openedAt:     time.Now(),
		openedMillis: time.Now().UnixMilli(),
		passRequests: make(chan struct{}, 1),
		previews:     make(chan struct{}, 1),
		starts:       newStartLimiter(options.Link),
		buckets:      map[string]tokenBucket{},
		state:        job.NewState(),
		links:        map[string]*link{},
		earlier:      map[string][]job.WorkerKey{},
		busyAdvisors: map[string]bool{},
		interference: newInterferenceState(options.Interference),
	}
	ctx, cancel := context.WithTimeout(ctx, recoveryTimeout)
	defer cancel()
	stepStart := time.Now()
	stepTime := func() time.Duration {
		took := time.Since(stepStart)
		stepStart = time.Now()
		return took
	}
	journal, records, err := store.OpenJournal(ctx, options.Store, options.Term, s.snapshot, options.Log)
	if err != nil {
		return nil, fmt.Errorf("shard: recover: %w", err)
	}
	s.journal = journal
	s.journal.SetLink(options.Link)
	readTime := stepTime()
	mismatches, err := s.replay(records)
	if err != nil {
		return nil, fmt.Errorf("shard: recover: %w", err)
	}
	s.state.MarkRecorded()
	s.inheritPlacements()
	applyTime := stepTime()
	if s.agreement = options.Agreement(); s.agreement.Agreement == nil {
		return nil, errors.New("shard: recover: the term of ownership ended before the agreement was read")
	}
	s.agreementVersion.Store(s.agreement.Version)
	s.SetEvacuations(s.agreement.evacuations())
	s.log.Info("shardRecovered", "token", s.term.Token(), "records", len(records),
		"mismatches", mismatches, "openJobs", len(s.state.OpenJobs()), "agreement", s.agreement.Version,
		"read", readTime, "apply", applyTime, "agreementWait", stepTime())
	return s, nil
}

// replay rebuilds the state from the journal's records. It returns how many of them did not match the
// state, which it logs, or an error if a record cannot be interpreted.
func (s *Shard) replay(records []job.Record) (mismatches int, err error) {
	for _, r := range records {
		err := s.state.Replay(r)
		if errors.Is(err, job.ErrUnknownKind) {
			return mismatches, err
		}
		if err != nil {
			mismatches++
			countJournalMismatch()
			s.log.Error("recordMismatch", "kind", r.Kind, "job", r.Job, "step", r.Step, "index", r.Index,
				"attempt", r.Attempt, "error", err)
		}
	}
	return mismatches, nil
}

// inheritPlacements prepares the placements of earlier terms for the links of their workers.
func (s *Shard) inheritPlacements() {
	for _, key := range s.state.WorkersWithPlacements() {
		s.earlier[key.ID] = append(s.earlier[key.ID], key)
	}
}

// snapshot returns records that rebuild the state, without jobs that ended more than
// JobStateRetention ago and have no placements. The journal calls it with s.mu held.
func (s *Shard) snapshot() []job.Record {
	return s.state.Snapshot(s.now() - s.options.JobStateRetention.Milliseconds())
}

// now returns the owner's clock in Unix milliseconds. It is monotonic: changes of the
// system clock do not affect it.
func (s *Shard) now() int64 {
	return s.millisAt(time.Now())
}

// millisAt returns the owner's clock at the given time, like now.
func (s *Shard) millisAt(t time.Time) int64 {
	return s.openedMillis + t.Sub(s.openedAt).Milliseconds()
}

// Run places work until the term of ownership ends, and returns why it ended.
func (s *Shard) Run() error {
	ctx := s.term.Context()
	defer s.closeLinks()
	done := make(chan error, 1)
	go func() {
		done <- s.journal.Run(&s.mu)
	}()
	s.expireUnlistedWorkers()
	for {
		select {
		case err := <-done:
			return err
		case <-s.passRequests:
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
			if s.passLoad.add(passStart, s.lastPassDuration) {
				s.logLoad()
			}
		}
	}
}

// pauseAfterPass returns the pause after a planning pass of the given duration. It limits
// the share of time spent on passes: in a large fleet they can cost as much as sending
// the orders, and with a long backlog they can take as long as the work that they place.
func pauseAfterPass(passDuration time.Duration) time.Duration {
	pause := max(minPassPause, min(shortPassMaxPause, shortPassPauseFactor*passDuration), minPauseFactor*passDuration)
	return min(pause, maxPassPause)
}

// requestPass requests a planning pass after the next pause.
func (s *Shard) requestPass() {
	select {
	case s.passRequests <- struct{}{}:
	default:
	}
}

// apply applies the record to the state and appends it to records. A record that the
// state rejects is logged and left out. The caller holds s.mu.
func (s *Shard) apply(records []job.Record, r job.Record) []job.Record {
	if err := s.state.Apply(r); err != nil {
		s.log.Error("recordRefused", "kind", r.Kind, "job", r.Job, "error", err)
		return records
	}
	return append(records, r)
}

// appendToJournal appends the records to the journal and calls done, unless it is nil,
// once they are durable. It marks the jobs whose acceptance or end has become durable,
// so that later requests about them need not wait. The caller holds s.mu.
func (s *Shard) appendToJournal(records []job.Record, done func()) {
	var accepted, ended []*job.Job
	for _, r := range records {
		switch r.Kind {
		case job.RecordAccept:
			accepted = append(accepted, s.state.Job(r.Job))
		case job.RecordJobEnd:
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

// runPass runs one planning pass: it ends placements whose worker lease has expired, stops
// attempts on workers that are about to leave, starts the tasks that fit and asks the policy
// service.
func (s *Shard) runPass() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expireLinks()
	s.evacuateLeavingWorkers()
	now := s.now()
	if time.Since(s.lastPrune) > pruneInterval {
		s.lastPrune = time.Now()
		s.state.Prune(now - s.options.JobStateRetention.Milliseconds())
	}
	workers := s.plannerWorkers()
	if now-s.gaugesSetMillis > gaugeIntervalMillis {
		s.gaugesSetMillis = now
		s.setGauges(workers)
		s.reviewEvacuations(workers)
	}
	s.refreshLoads(now)
	planner := job.NewPlanner(s.state, s.agreement.Rules, workers, now).WithCommitMillis(s.journal.CommitLatency().Milliseconds())
	planner = s.preferApart(planner, now)
	if s.mayPlace() {
		if records := s.plan(planner, now); len(records) > 0 {
			s.logPlacements(records, now)
			s.countApart(records)
			placements := s.placementsOf(records)
			s.appendToJournal(records, func() {
				s.sendStarts(placements)
			})
		}
	}
	s.askPolicy(planner, now)
}

// mayPlace reports whether tasks may be placed now. A placement made while the store is
// unavailable would hold resources without being started, and its tickets could expire. By an
// outdated agreement it could exceed a cap that was lowered, and by outdated requests it could be in
// an evacuated failure domain; mayPlace starts a read of newer ones. The caller holds s.mu.
func (s *Shard) mayPlace() bool {
	if s.term.Remaining() <= 0 || s.journal.StalledFor() >= storeStallLimit {
		return false
	}
	now := store.Now()
	s.startAgreementRead(now, 0)
	return s.mayDecide(now) && s.knowsEvacuations(now)
}

// plannerWorkers returns the workers as the planner sees them; the caller holds s.mu.
func (s *Shard) plannerWorkers() []*job.Worker {
	now := time.Now()
	list := make([]*job.Worker, 0, len(s.links))
	for _, l := range s.links {
		list = append(list, l.plannerWorker(now))
	}
	return list
}

// logPlacements writes one log line for each step whose tasks were placed, with the
// attempt and the worker of the first of them. If that is a first attempt in step 0, it
// updates the metric of the time to the first start. The caller holds s.mu.
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
