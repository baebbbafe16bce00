package job_test

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/citronbay/citronbay/internal/decide/job"
)

// replayedTask is what the records say of a task: whether it is done, and the attempt that is placed
// on a worker, if any.
type replayedTask struct {
	done    bool
	placed  bool
	attempt int
	worker  job.WorkerKey
}

// replayModel is a plain version of Replay for the records of jobs that are accepted once. Each
// record that names a task of a known job is taken at its word, but an attempt ends only if it is
// the one that is placed.
type replayModel struct {
	specs map[string][]job.StepSpec
	tasks map[job.TaskKey]replayedTask
}

func (m *replayModel) replay(r job.Record) {
	if r.Kind == job.RecordAccept {
		m.specs[r.Job] = r.Submission.Steps
		return
	}
	specs := m.specs[r.Job]
	if specs == nil {
		return
	}
	key := job.TaskKey{
		Job:   r.Job,
		Step:  r.Step,
		Index: r.Index,
	}
	t := m.tasks[key]
	switch r.Kind {
	case job.RecordPlace:
		t.placed, t.attempt = true, r.Attempt
		t.worker = job.WorkerKey{
			ID:          r.Worker,
			Incarnation: r.Incarnation,
		}
	case job.RecordAttemptEnd:
		t.placed = t.placed && t.attempt != r.Attempt
	}
	m.tasks[key] = t
	if r.Kind != job.RecordAttemptEnd || r.AttemptOutcome != job.AttemptCompleted {
		return
	}
	for n := range specs[r.Step].Count {
		if n == r.Index || specs[r.Step].Gang {
			key.Index = n
			t := m.tasks[key]
			t.done = true
			m.tasks[key] = t
		}
	}
}

// TestReplayWithoutSomeRecords guards against a journal from which no owner can recover because
// records in it do not match: it leaves out random records. Tasks that run or are done according to
// those that are left do not wait to be placed, and the state's sums are right.
func TestReplayWithoutSomeRecords(t *testing.T) {
	for seed := range uint64(60) {
		t.Run(fmt.Sprintf("seed%d", seed), func(t *testing.T) {
			rng := rand.New(rand.NewPCG(seed, 11))
			writer, next := job.NewState(), job.NewState()
			model := &replayModel{
				specs: map[string][]job.StepSpec{},
				tasks: map[job.TaskKey]replayedTask{},
			}
			var ids []string
			mismatches := 0
			for n := range 600 {
				var r job.Record
				ok := true
				if len(ids) == 0 || rng.IntN(10) == 0 {
					ids = append(ids, fmt.Sprintf("%016x", n))
					r = acceptRandomJob(t, writer, rng, ids[len(ids)-1], int64(n))
				} else {
					r, ok = applyRandomRecord(t, writer, rng, ids[rng.IntN(len(ids))], int64(n))
				}
				if !ok || rng.IntN(8) == 0 {
					continue
				}
				if next.Replay(r) != nil {
					mismatches++
				}
				model.replay(r)
			}
			assert.Assert(t, mismatches > 0)
			var known []string
			for _, id := range ids {
				if next.Job(id) != nil {
					known = append(known, id)
				}
			}
			assert.Equal(t, len(known), len(model.specs))
			for _, id := range known {
				for _, step := range next.Job(id).Steps {
					for n, task := range step.Tasks {
						key := job.TaskKey{
							Job:   id,
							Step:  step.Number,
							Index: n,
						}
						want := model.tasks[key]
						assert.Equal(t, task.Done, want.done, "%v", key)
						assert.Equal(t, task.Placement != nil, want.placed, "%v", key)
						if want.placed {
							assert.Equal(t, task.Placement.Worker, want.worker, "%v", key)
							assert.Equal(t, task.Placement.Attempt, want.attempt, "%v", key)
						}
					}
				}
			}
			workers, teams := recomputeUsage(next, known)
			assert.Equal(t, len(next.WorkersWithPlacements()), len(workers))
			for key, sum := range workers {
				assert.Equal(t, next.Used(key), sum)
			}
			for name, sum := range teams {
				assert.Equal(t, next.TeamUsed(name), sum)
			}
			checkUnplaced(t, next, known)
		})
	}
}

// TestReplayTellsUnknownKinds checks that a record that a later version of the program may have
// written is told from one that does not match.
func TestReplayTellsUnknownKinds(t *testing.T) {
	for name, c := range map[string]struct {
		record  job.Record
		unknown bool
	}{
		"unknown kind": {
			record: job.Record{
				Kind: job.RecordTaskState + 1,
				Job:  "a",
			},
			unknown: true,
		},
		"no kind": {
			record:  job.Record{Job: "a"},
			unknown: true,
		},
		"unknown job": {
			record: job.Record{
				Kind: job.RecordJobEnd,
				Job:  "b",
			},
		},
		"accepted twice": {
			record: job.Record{
				Kind: job.RecordAccept,
				Job:  "a",
			},
		},
	} {
		t.Run(name, func(t *testing.T) {
			state := job.NewState()
			acceptJob(t, state, "a", "team", "plain", 1, job.StepSpec{Count: 1})
			err := state.Replay(c.record)
			assert.Assert(t, err != nil)
			assert.Equal(t, errors.Is(err, job.ErrUnknownKind), c.unknown)
			assert.Equal(t, len(state.Job("a").Steps), 1)
		})
	}
}
