package upstream

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"sync"
	"time"

	"github.com/citronbay/citronbay/internal/api/caller"
	"github.com/citronbay/citronbay/internal/api/platform"
)

const (
	// jobsPrefix is the prefix of the keys of the jobs' records in the store;
	// the name of the shard and the job's id follow.
	jobsPrefix = "jobs/"
	// endedJobRetention is how long the store keeps the record of an ended
	// job.
	endedJobRetention = time.Hour
	// flushInterval is the interval at which changed jobs are saved.
	flushInterval = 500 * time.Millisecond
	// maxParallelSaves bounds the number of jobs that are saved at the same time.
	maxParallelSaves = 8
	// lateSaveCalls is how many calls of the store, one after the other, an earlier owner may make after
	// it has lost its leases until a job is saved that it had accepted before: a write and a read of its
	// outcome, when the job is submitted and again when the owner stops.
	lateSaveCalls = 4
	// commitTimeout bounds the save before the start of a task that must not
	// be repeated.
	commitTimeout = 2 * time.Second
)

func (s *Shard) recordKey(id string) string {
	return jobsPrefix + s.Name + "/" + id
}

// readJobs reads the jobs that earlier owners have left, twice: an earlier owner goes on accepting jobs
// until it has lost its leases, and saves them for a while after that.
func (s *Shard) readJobs(ctx context.Context) {
	s.readJobsOnce(ctx)
	for !s.reconciled() && ctx.Err() == nil {
		sleep(ctx, superviseInterval)
	}
	sleep(ctx, lateSaveCalls*s.timings.StoreTimeout)
	s.readJobsOnce(ctx)
}

// reconciled reports whether all links are reconciled, so that no earlier owner holds a lease.
func (s *Shard) reconciled() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.allReconciled()
}

// readJobsOnce reads the jobs from the store and adds those that are not known yet. It repeats a read that
// fails until the context ends.
func (s *Shard) readJobsOnce(ctx context.Context) {
	for ctx.Err() == nil {
		listing, err := s.Store.List(ctx, jobsPrefix+s.Name+"/")
		if err != nil {
			s.Log.Warn("jobs cannot be read", "shard", s.Name, "error", err)
			sleep(ctx, flushInterval)
			continue
		}
		s.mu.Lock()
		for _, kv := range listing.KeyValues {
			s.restore(kv)
		}
		s.jobsRead = true
		s.adoptJobs()
		s.placeWaiting()
		s.mu.Unlock()
		return
	}
}

// restore adds a job from its record in the store and attaches its adopted
// runs.
func (s *Shard) restore(kv platform.KeyValue) {
	var record JobRecord
	if err := json.Unmarshal(kv.Value, &record); err != nil {
		s.Log.Warn("job record cannot be read", "key", kv.Key, "error", err)
		return
	}
	if s.jobs[record.JobID] != nil {
		return
	}
	j := newJob(record)
	j.revision = kv.Revision
	j.durable = true
	j.admitted = record.Fate != caller.FateInProgress
	s.jobs[record.JobID] = j
	for _, l := range s.links {
		for _, r := range l.runs {
			if r.job == record.JobID {
				s.attachRun(r)
			}
		}
	}
}

func (s *Shard) flushLoop(ctx context.Context) {
	ticker := time.NewTicker(flushInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		case <-s.flushSignal:
		}
		s.flush(ctx)
	}
}

// flush saves the jobs that have changed. If all are saved, the next renewals let
// the upstreams forget the ended tasks that the records cover.
func (s *Shard) flush(ctx context.Context) {
	s.mu.Lock()
	type progress struct {
		incarnation string
		sequence    int64
	}
	seen := make(map[*link]progress, len(s.links))
	for _, l := range s.links {
		seen[l] = progress{
			incarnation: l.incarnation,
			sequence:    l.seenSequence,
		}
	}
	var dirty []*job
	for _, j := range s.jobs {
		if j.dirty {
			dirty = append(dirty, j)
		}
	}
	s.mu.Unlock()
	if !s.saveAll(ctx, dirty) {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for l, p := range seen {
		if l.incarnation == p.incarnation {
			l.ackedSequence = max(l.ackedSequence, p.sequence)
		}
	}
}

// saveAll saves the jobs and reports whether all saves succeeded.
func (s *Shard) saveAll(ctx context.Context, jobs []*job) bool {
	var saves sync.WaitGroup
	var mu sync.Mutex
	all := true
	semaphore := make(chan struct{}, maxParallelSaves)
	for _, j := range jobs {
		semaphore <- struct{}{}
		saves.Go(func() {
			defer func() { <-semaphore }()
			if err := s.save(ctx, j); err != nil {
				mu.Lock()
				defer mu.Unlock()
				all = false
			}
		})
	}
	saves.Wait()
	return all
}

// commitDispatch saves that a task that must run at most once is about to be
// dispatched, and reports whether this owner may dispatch it and no other will.
func (s *Shard) commitDispatch(j *job, r *run) bool {
	ctx, cancel := context.WithTimeout(context.Background(), commitTimeout)
	defer cancel()
	err := s.save(ctx, j)
	s.mu.Lock()
	defer s.mu.Unlock()
	// No other owner knows a job that was never saved.
	exclusive := err == nil || !j.durable
	return exclusive && j.states[r.index] == taskDispatched && j.runs[r.index] == r
}

// save writes the job's current record, unless a concurrent call has done so in the
// meantime. If another owner has written the record, save first merges that one.
func (s *Shard) save(ctx context.Context, j *job) error {
	s.mu.Lock()
	needed := j.version
	s.mu.Unlock()
	j.saveMutex.Lock()
	defer j.saveMutex.Unlock()
	if j.savedVersion >= needed && j.durable {
		return nil
	}
	for range 3 {
		record := s.recordSnapshot(j)
		err := s.writeRecord(ctx, j, record)
		if err == nil {
			s.markSaved(j, record.Version)
			return nil
		}
		if !errors.Is(err, platform.ErrConflict) {
			return s.readBack(ctx, j, record, err)
		}
		if err := s.merge(ctx, j, record); err != nil {
			return err
		}
	}
	return fmt.Errorf("save job %s: %w", j.record.JobID, platform.ErrConflict)
}

func (s *Shard) recordSnapshot(j *job) JobRecord {
	s.mu.Lock()
	defer s.mu.Unlock()
	record := j.record
	record.States = string(j.states)
	record.Writer = s.ownership
	record.Version = j.version
	return record
}

func (s *Shard) markSaved(j *job, version int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	j.savedVersion = version
	j.durable = true
	if j.version == version {
		j.dirty = false
	}
}

func (s *Shard) writeRecord(ctx context.Context, j *job, record JobRecord) error {
	value, err := json.Marshal(record)
	if err != nil {
		return err
	}
	request := platform.WriteRequest{
		Key:        s.recordKey(record.JobID),
		Value:      value,
		IfRevision: j.revision,
	}
	if record.Fate != caller.FateInProgress {
		request.TTLMillis = endedJobRetention.Milliseconds()
	}
	revision, err := s.Store.Write(ctx, request)
	if err == nil {
		j.revision = revision
	}
	return err
}

// readBack returns nil if a write that failed with the cause has taken effect in
// spite of it, because only its answer was lost.
func (s *Shard) readBack(ctx context.Context, j *job, record JobRecord, cause error) error {
	kv, stored, err := s.readRecord(ctx, record.JobID)
	if err != nil {
		return errors.Join(cause, err)
	}
	if stored.Writer != record.Writer || stored.Version != record.Version {
		return cause
	}
	j.revision = kv.Revision
	s.markSaved(j, record.Version)
	return nil
}

func (s *Shard) readRecord(ctx context.Context, id string) (platform.KeyValue, JobRecord, error) {
	var stored JobRecord
	kv, err := s.Store.Get(ctx, s.recordKey(id))
	if err != nil {
		return kv, stored, err
	}
	return kv, stored, json.Unmarshal(kv.Value, &stored)
}

// merge takes over what another owner has written to the stored record: the states
// of tasks that have ended, and the cancellation, which it carries out. A task that the
// other owner has dispatched and that this owner has placed too gets the state taskUnknown.
func (s *Shard) merge(ctx context.Context, j *job, record JobRecord) error {
	kv, stored, err := s.readRecord(ctx, record.JobID)
	if errors.Is(err, platform.ErrNotFound) {
		j.revision = 0
		return nil
	}
	if err != nil {
		return err
	}
	j.revision = kv.Revision
	if stored.Writer == record.Writer {
		return nil
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for index := range j.states {
		theirs := stored.States[index]
		ours := j.states[index]
		if isTerminal(ours) {
			continue
		}
		if isTerminal(theirs) {
			s.setTaskState(j, index, theirs, "")
		} else if theirs == taskDispatched && j.runs[index] != nil && !j.runs[index].adopted {
			s.setTaskState(j, index, taskUnknown, "another owner also dispatched the task")
		}
	}
	if stored.Cancelled && !j.record.Cancelled {
		s.cancelJob(j, "cancelled")
	}
	j.markChanged()
	return nil
}
