package upstream

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"time"

	"github.com/citronbay/citronbay/internal/api/caller"
	"github.com/citronbay/citronbay/internal/api/upstream"
	"github.com/citronbay/citronbay/internal/decide/task"
	"github.com/citronbay/citronbay/internal/decide/worker"
)

const (
	// reserveAfter is how long tasks that must start at once wait before room
	// is kept for them.
	reserveAfter = 2 * time.Second
	// reserveFor is how long room is kept; other work may fill it meanwhile
	// only if it declares to end by then.
	reserveFor = 30 * time.Second
	// suspectAfter is how many failures in a row make an upstream suspect.
	suspectAfter = 3
	// maxSuspicion bounds how long a suspect upstream gets no task.
	maxSuspicion = time.Minute
	// startRetries bounds the calls that ask whether a start took effect.
	startPause = 100 * time.Millisecond
)

// reservation keeps room for one job whose tasks must start at once.
type reservation struct {
	job   string
	band  int
	since time.Time
}

// wants notes that the job's tasks found no room at once.
func (r *reservation) wants(id string, band int, now time.Time) {
	over := now.Sub(r.since) > reserveAfter+reserveFor
	if r.job == "" || (r.job != id && over) {
		*r = reservation{
			job:   id,
			band:  band,
			since: now,
		}
	}
}

// clear ends the job's reservation.
func (r *reservation) clear(id string) {
	if r.job == id {
		*r = reservation{}
	}
}

// blocks reports whether the job must leave the room to the one reserved for.
func (r *reservation) blocks(j *job, now time.Time) bool {
	waited := now.Sub(r.since)
	if r.job == "" || r.job == j.record.JobID || waited < reserveAfter || waited > reserveAfter+reserveFor {
		return false
	}
	spec := j.record.Spec
	if spec.Urgency.Band() < r.band {
		return false
	}
	left := reserveAfter + reserveFor - waited
	endsInTime := spec.RunMillis > 0 && time.Duration(spec.RunMillis)*time.Millisecond < left/2
	return spec.Kind != caller.KindAllAtOnce && !endsInTime
}

// pump places all waiting work that there is room for. The lock is held.
func (s *Shard) pump() {
	if s.released {
		return
	}
	slots := s.runners.Capacity()
	slotWeight := func(team string) float64 { return s.ledger.Weight(team, slots) }
	for {
		if _, ok := s.requests.Next(slotWeight, s.takeRequest); !ok {
			break
		}
	}
	if s.tasks.Len() > 0 {
		room := s.workers.Capacity()
		weight := func(team string) float64 { return s.ledger.Weight(team, room) }
		for {
			item, ok := s.tasks.Next(weight, s.takeTask)
			if !ok {
				break
			}
			s.queue(item.Value, true)
		}
	}
	s.noteWants()
}

// takeTask places the first waiting task of a job, or all that start at once.
func (s *Shard) takeTask(item task.Item[*job]) bool {
	j := item.Value
	now := time.Now()
	if !j.dropEnded() {
		return true
	}
	if s.reserve.blocks(j, now) || s.clearing.blocks(j, now) {
		return false
	}
	demand := worker.Demand{
		Size:  j.record.Spec.Size,
		Avoid: j.failedOn,
	}
	if j.record.Spec.Kind == caller.KindAllAtOnce {
		return s.takeAll(j, demand, now)
	}
	if j.record.Spec.Kind == caller.KindService {
		demand.Spread = j.racks
	}
	if s.ledger.Room(item.Team) <= 0 {
		return false
	}
	name, ok := s.workers.Place(demand)
	if !ok {
		return false
	}
	if s.clearing.job == j.record.JobID {
		s.clearing = clearing{}
	}
	go s.start(j, s.assign(j, j.pop(), name))
	return true
}

func (s *Shard) takeAll(j *job, demand worker.Demand, now time.Time) bool {
	tasks := len(j.states)
	if s.ledger.Room(j.record.Team) < int64(tasks) {
		return false
	}
	names, ok := s.workers.PlaceAll(demand, tasks)
	if !ok {
		s.reserve.wants(j.record.JobID, j.record.Spec.Urgency.Band(), now)
		return false
	}
	s.reserve.clear(j.record.JobID)
	j.clearWaiting()
	runs := make([]*run, 0, tasks)
	for index, name := range names {
		runs = append(runs, s.assign(j, index, name))
	}
	go s.startAll(j, runs)
	return true
}

// assign counts a placed task as running.
func (s *Shard) assign(j *job, index int, machine string) *run {
	r := &run{
		id:    taskID(j.record.JobID, index),
		team:  j.record.Team,
		job:   j.record.JobID,
		index: index,
		band:  j.record.Spec.Urgency.Band(),
		size:  j.record.Spec.Size,
		link:  s.links[machine],
		gone:  make(chan struct{}),
	}
	s.placed(r)
	j.runs[index] = r
	j.racks[r.link.vm.Rack]++
	if j.record.Spec.AtMostOnce {
		j.set(index, taskDispatched)
	}
	if len(j.placements) < keptPlacements {
		j.placements = append(j.placements, fmt.Sprintf("task %d on %s in rack %s: best fit among open workers", index, machine, r.link.vm.Rack))
	}
	return r
}

// start starts one task and reports whether it did.
func (s *Shard) start(j *job, r *run) bool {
	if j.record.Spec.AtMostOnce && !s.commit(j, r) {
		s.notStarted(j, r, true)
		return false
	}
	request, ok := s.startOfTask(j, r)
	if !ok {
		s.notStarted(j, r, true)
		return false
	}
	uncertain := false
	for {
		ctx, cancel := context.WithTimeout(context.Background(), askTimeout)
		_, err := r.link.client.Start(ctx, request)
		cancel()
		fenced := errors.Is(err, upstream.ErrFenced)
		switch {
		case err == nil:
			s.mu.Lock()
			j.noteRan()
			s.mu.Unlock()
			return true
		case errors.Is(err, upstream.ErrRefused) && !fenced,
			!uncertain && (fenced || errors.Is(err, upstream.ErrNotSent)):
			s.notStarted(j, r, true)
			return false
		case fenced:
			// What became of it is found when the lease is claimed again or lapses.
			return true
		}
		uncertain = uncertain || !errors.Is(err, upstream.ErrNotSent)
		if s.hasEnded(r) {
			return true
		}
		time.Sleep(startPause)
	}
}

func (s *Shard) hasEnded(r *run) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return r.link.runs[r.id] != r
}

func (s *Shard) startOfTask(j *job, r *run) (upstream.StartRequest, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	if !r.link.holds(now) || j.record.Cancelled {
		return upstream.StartRequest{}, false
	}
	spec := j.record.Spec
	runMillis := spec.RunMillis
	if spec.Kind == caller.KindService {
		runMillis = -1
	}
	r.notAfter = r.link.clock.atLeast(now) + startWindow.Milliseconds()
	return upstream.StartRequest{
		Epoch:     r.link.epoch,
		NotAfter:  r.notAfter,
		Task:      r.id,
		Job:       r.job,
		Team:      r.team,
		Band:      r.band,
		Size:      r.size,
		Command:   spec.Command,
		RunMillis: runMillis,
		Payload:   []byte(spec.Payload),
		Resume:    j.resume[r.index],
	}, true
}

// notStarted lets a task that provably did not begin wait again.
func (s *Shard) notStarted(j *job, r *run, again bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.vacate(r) {
		return
	}
	if _, _, current := s.detach(r.job, r.id); !current {
		return
	}
	if j.states[r.index] == taskDispatched {
		j.set(r.index, taskWaiting)
	}
	if j.record.Cancelled {
		s.setState(j, r.index, taskFailed, "cancelled")
		return
	}
	if again && j.states[r.index] == taskWaiting && j.record.Spec.Kind != caller.KindAllAtOnce {
		s.requeue(j, r.index)
		time.AfterFunc(startPause, s.pumpLater)
	}
}

func (s *Shard) pumpLater() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.pump()
}

// startAll starts the tasks together; when one does not begin, the others are
// stopped and all wait again.
func (s *Shard) startAll(j *job, runs []*run) {
	var starts sync.WaitGroup
	var mu sync.Mutex
	failed := 0
	for _, r := range runs {
		starts.Go(func() {
			if !s.start(j, r) {
				mu.Lock()
				defer mu.Unlock()
				failed++
			}
		})
	}
	starts.Wait()
	if failed == 0 {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(j.runs) == 0 {
		s.enqueueJob(j)
		time.AfterFunc(startPause, s.pumpLater)
		return
	}
	s.stopAll(j)
}

// stopAll stops the job's running tasks. The lock is held.
func (s *Shard) stopAll(j *job) {
	for _, r := range j.runs {
		if !r.stopping {
			go s.stopWith(r, false)
		}
	}
}

// stopWith asks the upstream to stop a run, and to keep a checkpoint of it if
// asked, until it answers or the run is gone; its end then arrives like any
// other.
func (s *Shard) stopWith(r *run, checkpoint bool) {
	s.mu.Lock()
	r.stopping = true
	s.mu.Unlock()
	for !s.hasEnded(r) {
		s.mu.Lock()
		epoch := r.link.epoch
		s.mu.Unlock()
		ctx, cancel := context.WithTimeout(context.Background(), askTimeout)
		response, err := r.link.client.Stop(ctx, upstream.StopRequest{
			Epoch:      epoch,
			Task:       r.id,
			Checkpoint: checkpoint,
		})
		cancel()
		if err == nil && response.State == upstream.StateRefused {
			s.mu.Lock()
			s.lose(r, upstream.ReasonStopped)
			s.mu.Unlock()
			return
		}
		time.Sleep(startPause)
	}
}

// noteHealth suspects an upstream on which task after task fails, for a time
// that grows.
func (s *Shard) noteHealth(l *link, failed string) {
	if failed == "" {
		l.failures = 0
		l.suspectUntil = time.Time{}
		s.reopen(l, time.Now())
		return
	}
	if failed == upstream.ReasonStopped || failed == upstream.ReasonLapsed {
		return
	}
	l.failures++
	if l.failures < suspectAfter {
		return
	}
	wait := min(maxSuspicion, time.Second<<min(6, l.failures-suspectAfter))
	l.suspectUntil = time.Now().Add(wait)
	s.reopen(l, time.Now())
	s.Log.Warn("upstream suspected", "upstream", l.vm.Name, "failures", l.failures, "wait", wait)
}
