package shard

import (
	"context"
	"errors"
	"time"

	"github.com/citronbay/citronbay/internal/cluster/worker"
	"github.com/citronbay/citronbay/internal/decide/job"
)

// notePollFailure records that a poll of the worker failed, which may have crashed.
func (l *link) notePollFailure(err error) {
	s := l.shard
	s.mu.Lock()
	defer s.mu.Unlock()
	if !l.answered || l.ctx.Err() != nil {
		return
	}
	alive := l.lastAnswer
	silent := errors.Is(err, context.DeadlineExceeded)
	if !errors.Is(err, worker.ErrNotSent) && !silent {
		alive = time.Now() // the connection broke while the worker held the poll
	}
	s.noteDisconnection(l, alive, silent)
}

// noteDisconnection records the loss of the connection to the worker, which was last known
// to run at the given time, unless it is recorded already. The worker is silent if the
// connection did not break. The caller holds s.mu.
func (s *Shard) noteDisconnection(l *link, alive time.Time, silent bool) {
	r := l.registration
	s.crashes.Disconnect(s.state, &job.Worker{
		ID:          r.ID,
		Incarnation: r.Incarnation,
		Service:     r.Service,
		Zone:        r.Zone,
		Rack:        r.Rack,
	}, s.millisAt(alive), s.now(), silent)
}

// endSuspects ends those attempts that may have crashed the worker, which has certainly
// crashed, and match, or all if match is nil. It marks the others, whose start orders the
// worker's next incarnation may have carried out. The caller holds s.mu.
func (s *Shard) endSuspects(l *link, match func(*job.Placement) bool) {
	if l.answered {
		s.noteDisconnection(l, l.lastAnswer, true)
	}
	var records []job.Record
	suspects := s.crashes.Suspects(s.state, l.key())
	s.logCrash(l, len(suspects))
	for p, suspicion := range suspects {
		p.Suspicion = suspicion
		if match == nil || match(p) {
			records = s.endSuspect(records, p)
		}
	}
	if len(records) > 0 {
		s.appendToJournal(records, nil)
		s.requestPass()
	}
}

// logCrash logs a crash of the worker and why so many attempts are suspected of causing it.
// The caller holds s.mu.
func (s *Shard) logCrash(l *link, suspects int) {
	attributes := []any{"worker", l.registration.ID, "placements", len(s.state.Placements(l.key())), "suspects", suspects}
	if e, ok := s.crashes.Evidence(l.key()); ok {
		attributes = append(attributes, "silentMillis", e.SilentMillis, "recent", e.Recent, "together", e.Together, "outage", e.Outage)
	}
	s.log.Info("workerCrashed", attributes...)
}

// endSuspect ends an attempt that may have crashed its worker, and its job if the task has
// crashed too many workers. It returns records followed by those of the changes. The caller
// holds s.mu.
func (s *Shard) endSuspect(records []job.Record, p *job.Placement) []job.Record {
	j := s.state.Job(p.Task.Job)
	step := j.Steps[p.Task.Step]
	records = s.endAttempt(records, p, p.Suspicion.Outcome(), "")
	crashes := step.Crashes(p.Task.Index)
	countLostAttempt("crashed")
	s.log.Warn("attemptCrashedWorker", "job", j.ID, "step", p.Task.Step, "index", p.Task.Index, "attempt", p.Attempt,
		"worker", p.Worker.ID, "crashes", crashes, "suspicion", p.Suspicion)
	if j.Outcome != job.Open || !step.CrashLimitReached(p.Task.Index, p.Suspicion) {
		return records
	}
	countGivenUpJob(j.Queue)
	s.log.Warn("jobGivenUp", "job", j.ID, "team", j.Team, "queue", j.Queue, "step", p.Task.Step, "index", p.Task.Index,
		"crashes", crashes, "worker", p.Worker.ID, "suspicion", p.Suspicion)
	return s.finishJob(records, j, job.Failed, 0)
}

// clearSurvivor clears the task of the attempt, which ran at the Unix millisecond now, if
// it has run for long enough after crashes of which the task was suspected. It returns
// records followed by that of the change. The caller holds s.mu.
func (s *Shard) clearSurvivor(records []job.Record, p *job.Placement, now int64) []job.Record {
	r, ok := s.state.Job(p.Task.Job).Steps[p.Task.Step].ClearSurvivor(p, now)
	if !ok {
		return records
	}
	s.log.Info("suspectCleared", "job", p.Task.Job, "step", p.Task.Step, "index", p.Task.Index,
		"attempt", p.Attempt, "worker", p.Worker.ID)
	return s.apply(records, r)
}
