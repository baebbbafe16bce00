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
	// reservationDelay is how long tasks that must start together wait before
	// capacity is reserved for them.
	reservationDelay = 2 * time.Second
	// reservationDuration is how long capacity is reserved.
	reservationDuration = 30 * time.Second
	// suspectThreshold is the number of consecutive failures that makes an
	// upstream suspect.
	suspectThreshold = 3
	// maxSuspectTime bounds how long a suspect upstream gets no tasks.
	maxSuspectTime = time.Minute
	// retryDelay is the delay between calls that start or stop the same task,
	// and the delay before a task that did not start is placed again.
	retryDelay = 100 * time.Millisecond
)

// reservation reserves capacity for one job whose tasks must start together.
type reservation struct {
	job           string
	priorityClass int
	// since is when the job's tasks first did not fit together.
	since time.Time
}

// reserve records that the job's tasks do not fit together; the reservation takes
// effect after reservationDelay. It changes nothing if the record is already the
// job's, even an expired one, or another job's that has not expired.
func (r *reservation) reserve(id string, priorityClass int, now time.Time) {
	expired := now.Sub(r.since) > reservationDelay+reservationDuration
	if r.job == "" || (r.job != id && expired) {
		*r = reservation{
			job:           id,
			priorityClass: priorityClass,
			since:         now,
		}
	}
}

// clear ends the reservation if it is the job's.
func (r *reservation) clear(id string) {
	if r.job == id {
		*r = reservation{}
	}
}

// blocks reports whether the job must leave the capacity to the job for which
// it is reserved. More urgent jobs, other jobs whose tasks must start together,
// and jobs whose declared run time is less than half of the time left are not
// blocked.
func (r *reservation) blocks(j *job, now time.Time) bool {
	waited := now.Sub(r.since)
	if r.job == "" || r.job == j.record.JobID || waited < reservationDelay || waited > reservationDelay+reservationDuration {
		return false
	}
	spec := j.record.Spec
	if spec.Urgency.PriorityClass() < r.priorityClass {
		return false
	}
	left := reservationDelay + reservationDuration - waited
	endsInTime := spec.RunMillis > 0 && time.Duration(spec.RunMillis)*time.Millisecond < left/2
	return spec.Kind != caller.KindAllAtOnce && !endsInTime
}

// placeWaiting places all waiting work for which there is capacity. The lock
// must be held.
func (s *Shard) placeWaiting() {
	if s.placementStopped {
		return
	}
	runnerCapacity := s.runners.Capacity()
	requestShare := func(team string) float64 { return s.ledger.WeightedShare(team, runnerCapacity) }
	for {
		if _, ok := s.requestQueue.Next(requestShare, s.placeRequest); !ok {
			break
		}
	}
	if s.taskQueue.Len() > 0 {
		workerCapacity := s.workers.Capacity()
		taskShare := func(team string) float64 { return s.ledger.WeightedShare(team, workerCapacity) }
		for {
			item, ok := s.taskQueue.Next(taskShare, s.placeTask)
			if !ok {
				break
			}
			s.updateQueue(item.Value, true)
		}
	}
	s.updateDemand()
}

// placeTask places the first waiting task of a job, or all tasks if they must
// start together. It reports whether the job's item is to be removed from the
// queue.
func (s *Shard) placeTask(item task.Item[*job]) bool {
	j := item.Value
	now := time.Now()
	if !j.dropNotWaiting() {
		return true
	}
	if s.reservation.blocks(j, now) || s.preemption.blocks(j, now) {
		return false
	}
	demand := worker.Demand{
		Size:  j.record.Spec.Size,
		Avoid: j.failedUpstreams,
	}
	if j.record.Spec.Kind == caller.KindAllAtOnce {
		return s.placeAllTasks(j, demand, now)
	}
	if j.record.Spec.Kind == caller.KindService {
		demand.Spread = j.tasksByRack
	}
	if s.ledger.Room(item.Team) <= 0 {
		return false
	}
	name, ok := s.workers.Place(demand)
	if !ok {
		return false
	}
	if s.preemption.job == j.record.JobID {
		s.preemption = preemption{}
	}
	go s.startTask(j, s.assignTask(j, j.popWaiting(), name))
	return true
}

// placeAllTasks places the tasks of a job that must start together, and reports
// whether it did. If the workers have no capacity for all of them, it requests a
// reservation.
func (s *Shard) placeAllTasks(j *job, demand worker.Demand, now time.Time) bool {
	tasks := len(j.states)
	if s.ledger.Room(j.record.Team) < int64(tasks) {
		return false
	}
	names, ok := s.workers.PlaceAll(demand, tasks)
	if !ok {
		s.reservation.reserve(j.record.JobID, j.record.Spec.Urgency.PriorityClass(), now)
		return false
	}
	s.reservation.clear(j.record.JobID)
	j.clearWaiting()
	runs := make([]*run, 0, tasks)
	for index, name := range names {
		runs = append(runs, s.assignTask(j, index, name))
	}
	go s.startAllTasks(j, runs)
	return true
}

// assignTask counts a new run of a task that was placed on the named upstream,
// attaches it to the job, and returns it.
func (s *Shard) assignTask(j *job, index int, machine string) *run {
	r := &run{
		id:            newRunID(j.record.JobID, index),
		team:          j.record.Team,
		job:           j.record.JobID,
		index:         index,
		priorityClass: j.record.Spec.Urgency.PriorityClass(),
		size:          j.record.Spec.Size,
		link:          s.links[machine],
		lost:          make(chan struct{}),
	}
	s.addPlacedRun(r)
	j.runs[index] = r
	j.tasksByRack[r.link.vm.Rack]++
	if j.record.Spec.AtMostOnce {
		j.setState(index, taskDispatched)
	}
	if len(j.placements) < maxPlacements {
		j.placements = append(j.placements, fmt.Sprintf("task %d on %s in rack %s: best fit among open workers", index, machine, r.link.vm.Rack))
	}
	return r
}

// startTask sends the start of one task and repeats the call until the upstream
// has answered or the run is no longer counted. It returns false only if the task
// provably did not start.
func (s *Shard) startTask(j *job, r *run) bool {
	if j.record.Spec.AtMostOnce && !s.commitDispatch(j, r) {
		s.handleNotStarted(j, r, true)
		return false
	}
	request, ok := s.prepareTaskStart(j, r)
	if !ok {
		s.handleNotStarted(j, r, true)
		return false
	}
	uncertain := false
	for {
		ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
		_, err := r.link.client.Start(ctx, request)
		cancel()
		fenced := errors.Is(err, upstream.ErrFenced)
		switch {
		case err == nil:
			s.mu.Lock()
			j.markRan()
			s.mu.Unlock()
			return true
		case errors.Is(err, upstream.ErrRefused) && !fenced,
			!uncertain && (fenced || errors.Is(err, upstream.ErrNotSent)):
			s.handleNotStarted(j, r, true)
			return false
		case fenced:
			// The outcome is learned when the lease is claimed again or the task
			// lease expires.
			return true
		}
		uncertain = uncertain || !errors.Is(err, upstream.ErrNotSent)
		if s.isRemoved(r) {
			return true
		}
		time.Sleep(retryDelay)
	}
}

func (s *Shard) isRemoved(r *run) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return !r.isCounted()
}

// isCounted reports whether the run may exist on the present incarnation of its upstream. The
// lock must be held.
func (r *run) isCounted() bool {
	return r.link.runs[r.id] == r
}

// prepareTaskStart returns the call that starts the task, and records in the run
// until when that call can take effect. It returns false if the lease may have
// ended, the upstream is leaving, the run was lost or the job was cancelled.
func (s *Shard) prepareTaskStart(j *job, r *run) (upstream.StartRequest, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	if !r.isCounted() || !r.link.leaseValid(now) || r.link.isLeaving() || j.record.Cancelled {
		return upstream.StartRequest{}, false
	}
	spec := j.record.Spec
	runMillis := spec.RunMillis
	if spec.Kind == caller.KindService {
		// A negative run time means that the task runs until it is stopped.
		runMillis = -1
	}
	r.notAfter = r.link.clock.lowerBound(now) + startWindow.Milliseconds()
	return upstream.StartRequest{
		Epoch:         r.link.epoch,
		NotAfter:      r.notAfter,
		Task:          r.id,
		Job:           r.job,
		Team:          r.team,
		PriorityClass: r.priorityClass,
		Size:          r.size,
		Command:       spec.Command,
		RunMillis:     runMillis,
		Payload:       []byte(spec.Payload),
		Resume:        j.checkpoints[r.index],
	}, true
}

// handleNotStarted puts a task that provably did not start back into its job's
// waiting tasks, or fails it if the job was cancelled. Tasks that must start
// together are not put back one by one, but once none of them runs.
func (s *Shard) handleNotStarted(j *job, r *run, requeue bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.removeRun(r) {
		return
	}
	if _, _, current := s.detachRun(r.job, r.id); !current {
		return
	}
	if j.states[r.index] == taskDispatched {
		j.setState(r.index, taskWaiting)
	}
	if j.record.Cancelled {
		s.setTaskState(j, r.index, taskFailed, "cancelled")
		return
	}
	if requeue && j.states[r.index] == taskWaiting && j.record.Spec.Kind != caller.KindAllAtOnce {
		s.requeue(j, r.index)
		time.AfterFunc(retryDelay, s.lockAndPlaceWaiting)
	}
}

func (s *Shard) lockAndPlaceWaiting() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.placeWaiting()
}

// startAllTasks starts the tasks together. If any of them does not start, the
// others are stopped and all wait again.
func (s *Shard) startAllTasks(j *job, runs []*run) {
	var starts sync.WaitGroup
	var mu sync.Mutex
	failed := 0
	for _, r := range runs {
		starts.Go(func() {
			if !s.startTask(j, r) {
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
		time.AfterFunc(retryDelay, s.lockAndPlaceWaiting)
		return
	}
	s.stopAllTasks(j)
}

// stopAllTasks begins to stop the job's running tasks. The lock must be held.
func (s *Shard) stopAllTasks(j *job) {
	for _, r := range j.runs {
		if !r.stopping {
			go s.stopRun(r, false)
		}
	}
}

// stopRun asks the upstream to stop a run, and to return a checkpoint of it if
// requested, and repeats the call until the run is no longer counted. The upstream
// reports the end of the run in the response to a renewal, like any other. A run
// that had not begun is marked as lost.
func (s *Shard) stopRun(r *run, checkpoint bool) {
	s.mu.Lock()
	r.stopping = true
	s.mu.Unlock()
	for !s.isRemoved(r) {
		s.mu.Lock()
		epoch := r.link.epoch
		s.mu.Unlock()
		ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
		response, err := r.link.client.Stop(ctx, upstream.StopRequest{
			Epoch:      epoch,
			Task:       r.id,
			Checkpoint: checkpoint,
		})
		cancel()
		if err == nil && response.State == upstream.StateRefused {
			s.mu.Lock()
			s.markLost(r, upstream.ReasonStopped)
			s.mu.Unlock()
			return
		}
		time.Sleep(retryDelay)
	}
}

// updateHealth counts consecutive failures on the upstream. From
// suspectThreshold failures on, the upstream is suspect for a time that starts at
// one second and doubles with each further failure, up to maxSuspectTime. A task
// that was stopped, by the owner or at the end of the task lease, counts neither
// as a failure nor as a success.
func (s *Shard) updateHealth(l *link, failureReason string) {
	if failureReason == "" {
		l.failures = 0
		l.suspectUntil = time.Time{}
		s.updateOpen(l, time.Now())
		return
	}
	if failureReason == upstream.ReasonStopped || failureReason == upstream.ReasonLapsed {
		return
	}
	l.failures++
	if l.failures < suspectThreshold {
		return
	}
	suspectTime := min(maxSuspectTime, time.Second<<min(6, l.failures-suspectThreshold))
	l.suspectUntil = time.Now().Add(suspectTime)
	s.updateOpen(l, time.Now())
	s.Log.Warn("upstream suspected", "upstream", l.vm.Name, "failures", l.failures, "wait", suspectTime)
}
