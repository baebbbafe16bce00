package job_test

import (
	"fmt"
	"math/rand/v2"
	"sort"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/citronbay/citronbay/internal/decide/job"
)

// recomputeUsage sums the placements' demands per worker and per team from the tasks, as
// a reference for the sums that the state keeps.
func recomputeUsage(state *job.State, ids []string) (map[job.WorkerKey]job.Resources, map[string]job.Resources) {
	byWorker := map[job.WorkerKey]job.Resources{}
	byTeam := map[string]job.Resources{}
	for _, id := range ids {
		j := state.Job(id)
		if j == nil {
			continue
		}
		for _, step := range j.Steps {
			for _, t := range step.Tasks {
				if t.Placement == nil {
					continue
				}
				byWorker[t.Placement.Worker] = byWorker[t.Placement.Worker].Plus(step.Spec.Needs)
				byTeam[j.Team] = byTeam[j.Team].Plus(step.Spec.Needs)
			}
		}
	}
	return byWorker, byTeam
}

// describeState formats the state of the jobs in a fixed order, for comparison. Of ended
// jobs it includes only what every snapshot keeps.
func describeState(state *job.State, ids []string) []string {
	var lines []string
	for _, id := range ids {
		j := state.Job(id)
		if j == nil {
			continue
		}
		lines = append(lines, fmt.Sprintf("%s %s %s %d %v %v %d %d", id, j.Team, j.Queue, j.Outcome, j.OverRate, j.Started || j.Outcome != job.Open, j.AcceptedBy, j.CancelledBy))
		if j.Outcome != job.Open {
			continue
		}
		for _, step := range j.Steps {
			lines = append(lines, fmt.Sprintf("%s.%d done=%v waiting=%d placed=%d", id, step.Number, step.Done(), step.Waiting(), step.Placed()))
			for n, t := range step.Tasks {
				placement := "nowhere"
				if t.Placement != nil {
					placement = fmt.Sprint(t.Placement.Worker, t.Placement.Attempt)
				}
				lines = append(lines, fmt.Sprintf("%s.%d.%d %v %d %d %d %d %d %q %s", id, step.Number, n, t.Done, t.Attempt, t.Failures, t.FailedAttempt, t.Crashes, t.CertainCrashes, t.Checkpoint, placement))
			}
		}
	}
	sort.Strings(lines)
	return lines
}

// TestStateMatchesRecomputedUsage applies random records and checks the state's sums per
// worker, per team and per group, its index of unplaced jobs, and that a snapshot rebuilds it.
func TestStateMatchesRecomputedUsage(t *testing.T) {
	for seed := range uint64(40) {
		t.Run(fmt.Sprintf("seed%d", seed), func(t *testing.T) {
			rng := rand.New(rand.NewPCG(seed, 7))
			state := job.NewState()
			var ids []string
			for n := range 400 {
				switch {
				case len(ids) == 0 || rng.IntN(8) == 0:
					ids = append(ids, fmt.Sprintf("%016x", n))
					acceptRandomJob(t, state, rng, ids[len(ids)-1], int64(n))
				default:
					applyRandomRecord(t, state, rng, ids[rng.IntN(len(ids))], int64(n))
				}
				if n%50 != 0 {
					continue
				}
				workers, teams := recomputeUsage(state, ids)
				for _, key := range state.WorkersWithPlacements() {
					assert.Equal(t, state.Used(key), workers[key])
					delete(workers, key)
				}
				assert.Equal(t, len(workers), 0)
				for name, sum := range teams {
					assert.Equal(t, state.TeamUsed(name), sum)
				}
				checkUnplaced(t, state, ids)
				checkGroups(t, state, ids)
				rebuilt := job.NewState()
				for _, r := range state.Snapshot(0) {
					mustApply(t, rebuilt, r)
				}
				assert.DeepEqual(t, describeState(rebuilt, ids), describeState(state, ids))
			}
		})
	}
}

// checkUnplaced compares the state's index of unplaced jobs to a count over all tasks.
func checkUnplaced(t *testing.T, state *job.State, ids []string) {
	t.Helper()
	for _, id := range ids {
		unplaced := 0
		j := state.Job(id)
		for _, step := range j.Steps {
			for _, task := range step.Tasks {
				if !task.Done && task.Placement == nil && j.Outcome == job.Open {
					unplaced++
				}
			}
		}
		assert.Equal(t, state.UnplacedJobs()[id] != nil, unplaced > 0, "%s has %d unplaced tasks", id, unplaced)
	}
}

// checkGroups compares the state's groups of open jobs to sums over all jobs.
func checkGroups(t *testing.T, state *job.State, ids []string) {
	t.Helper()
	want := map[*job.Group]*job.Group{}
	for _, id := range ids {
		j := state.Job(id)
		if j == nil || j.Outcome != job.Open {
			assert.Assert(t, j == nil || j.Group() == nil)
			continue
		}
		sum := want[j.Group()]
		if sum == nil {
			sum = &job.Group{
				Team:     j.Team,
				Queue:    j.Queue,
				OverRate: j.OverRate,
			}
			want[j.Group()] = sum
		}
		sum.Jobs++
		sum.PayloadBytes += len(j.Payload)
		for _, step := range j.Steps {
			sum.Steps++
			sum.Tasks += len(step.Tasks)
		}
	}
	assert.Equal(t, len(state.Groups()), len(want))
	for n, g := range state.Groups() {
		assert.Equal(t, g.Number(), n)
		assert.Equal(t, fmt.Sprint(g.Team, g.Queue, g.OverRate), fmt.Sprint(want[g].Team, want[g].Queue, want[g].OverRate))
		assert.Equal(t, fmt.Sprint(g.Jobs, g.Steps, g.Tasks, g.PayloadBytes), fmt.Sprint(want[g].Jobs, want[g].Steps, want[g].Tasks, want[g].PayloadBytes))
	}
}

// acceptRandomJob applies the acceptance of a random job and returns it.
func acceptRandomJob(t *testing.T, state *job.State, rng *rand.Rand, id string, millis int64) job.Record {
	submission := &job.Submission{Payload: "text"}
	for n := range 1 + rng.IntN(3) {
		spec := job.StepSpec{
			Count: 1 + rng.IntN(5),
			Needs: job.Resources{
				MilliCores: rng.Int64N(4000),
				MemoryMB:   rng.Int64N(4000),
			},
			Gang: rng.IntN(3) == 0,
		}
		if n > 0 {
			spec.After = []int{n - 1}
		}
		submission.Steps = append(submission.Steps, spec)
	}
	r := job.Record{
		Kind:       job.RecordAccept,
		Job:        id,
		Team:       fmt.Sprintf("team%d", rng.IntN(3)),
		Queue:      "plain",
		TimeMillis: millis,
		Submission: submission,
		Call:       rng.Uint64(),
		OverRate:   rng.IntN(4) == 0,
	}
	mustApply(t, state, r)
	return r
}

// applyRandomRecord applies a record that places a task, ends an attempt or cancels the
// job, and returns it, or false if the task's state allows none.
func applyRandomRecord(t *testing.T, state *job.State, rng *rand.Rand, id string, millis int64) (job.Record, bool) {
	j := state.Job(id)
	step := j.Steps[rng.IntN(len(j.Steps))]
	index := rng.IntN(len(step.Tasks))
	task := step.Tasks[index]
	r := job.Record{
		Job:   id,
		Step:  step.Number,
		Index: index,
	}
	switch {
	case task.Placement != nil:
		r.Kind = job.RecordAttemptEnd
		r.Attempt = task.Placement.Attempt
		r.AttemptOutcome = job.AttemptOutcome(rng.IntN(5))
		r.Checkpoint = fmt.Sprint(rng.IntN(3))
	case j.Outcome != job.Open:
		return r, false
	case rng.IntN(30) == 0:
		r.Kind = job.RecordJobEnd
		r.Outcome = job.Cancelled
		r.TimeMillis = millis
		r.Call = rng.Uint64()
	case !task.Done:
		r.Kind = job.RecordPlace
		r.Attempt = task.Attempt + 1
		r.Worker = fmt.Sprintf("w%d", rng.IntN(4))
		r.Incarnation = rng.Int64N(2)
	default:
		return r, false
	}
	mustApply(t, state, r)
	return r, true
}

func TestGangDoneWhenOneMemberCompletes(t *testing.T) {
	state := job.NewState()
	acceptJob(t, state, "a", "team", "plain", 1, job.StepSpec{
		Count: 2,
		Gang:  true,
	})
	for n := range 2 {
		mustApply(t, state, job.Record{
			Kind:    job.RecordPlace,
			Job:     "a",
			Index:   n,
			Attempt: 1,
			Worker:  "w",
		})
	}
	mustApply(t, state, job.Record{
		Kind:           job.RecordAttemptEnd,
		Job:            "a",
		Attempt:        1,
		AttemptOutcome: job.AttemptCompleted,
	})
	step := state.Job("a").Steps[0]
	assert.Assert(t, step.Done())
	assert.Equal(t, step.Placed(), 1, "the other member holds its capacity until its own attempt ends")
}

func TestApplyRejectsMismatchedRecords(t *testing.T) {
	state := job.NewState()
	acceptJob(t, state, "a", "team", "plain", 1, job.StepSpec{Count: 1})
	place := job.Record{
		Kind:    job.RecordPlace,
		Job:     "a",
		Attempt: 1,
		Worker:  "w",
	}
	mustApply(t, state, place)
	for name, r := range map[string]job.Record{
		"placed twice":  place,
		"other attempt": {Kind: job.RecordAttemptEnd, Job: "a", Attempt: 2},
		"unknown job":   {Kind: job.RecordAttemptEnd, Job: "b", Attempt: 1},
		"unknown step":  {Kind: job.RecordAttemptEnd, Job: "a", Step: 3, Attempt: 1},
		"unknown index": {Kind: job.RecordAttemptEnd, Job: "a", Index: -1, Attempt: 1},
		"unknown kind":  {Kind: 99, Job: "a"},
		"accepted twice": {
			Kind: job.RecordAccept,
			Job:  "a",
		},
	} {
		t.Run(name, func(t *testing.T) {
			assert.Assert(t, state.Apply(r) != nil)
		})
	}
}

// TestAcceptReplacesJobThatMayBePruned checks that a job takes the ID of one that its owner may have
// pruned, with nothing of that one, and that no other job is replaced.
func TestAcceptReplacesJobThatMayBePruned(t *testing.T) {
	spec := job.StepSpec{
		Count: 1,
		Needs: job.Resources{MilliCores: 1000},
	}
	place := job.Record{
		Kind:    job.RecordPlace,
		Job:     "a",
		Attempt: 1,
		Worker:  "w",
	}
	fail := job.Record{
		Kind:           job.RecordAttemptEnd,
		Job:            "a",
		Attempt:        1,
		AttemptOutcome: job.AttemptFailed,
		Checkpoint:     "c",
	}
	cancel := job.Record{
		Kind:    job.RecordJobEnd,
		Job:     "a",
		Outcome: job.Cancelled,
	}
	for name, c := range map[string]struct {
		records  []job.Record
		replaced bool
	}{
		"open": {},
		"open, failed once": {
			records: []job.Record{place, fail},
		},
		"ended, an attempt may run": {
			records: []job.Record{place, cancel},
		},
		"ended": {
			records:  []job.Record{cancel},
			replaced: true,
		},
		"ended after an attempt": {
			records:  []job.Record{place, fail, cancel},
			replaced: true,
		},
		"ended before its attempt": {
			records:  []job.Record{place, cancel, fail},
			replaced: true,
		},
	} {
		t.Run(name, func(t *testing.T) {
			state := job.NewState()
			acceptJob(t, state, "a", "team", "plain", 1, spec)
			for _, r := range c.records {
				mustApply(t, state, r)
			}
			before := describeState(state, []string{"a"})
			err := state.Apply(job.Record{
				Kind:       job.RecordAccept,
				Job:        "a",
				Team:       "other",
				Queue:      "plain",
				Submission: &job.Submission{Steps: []job.StepSpec{spec, spec}},
			})
			assert.Equal(t, err == nil, c.replaced)
			if !c.replaced {
				assert.DeepEqual(t, describeState(state, []string{"a"}), before)
				return
			}
			fresh := job.NewState()
			acceptJob(t, fresh, "a", "other", "plain", 1, spec, spec)
			assert.DeepEqual(t, describeState(state, []string{"a"}), describeState(fresh, []string{"a"}))
			assert.Equal(t, len(state.OpenJobs()), 1)
			checkUnplaced(t, state, []string{"a"})
		})
	}
}

// TestJobStartsWhenAnAttemptRan checks that a job does not count as started when an attempt
// is placed, which may never run, but once its end shows that it ran, and that a snapshot
// preserves this.
func TestJobStartsWhenAnAttemptRan(t *testing.T) {
	for name, c := range map[string]struct {
		ended      bool
		outcome    job.AttemptOutcome
		checkpoint string
		want       bool
	}{
		"placed": {},
		"lost": {
			ended:   true,
			outcome: job.AttemptLost,
		},
		"lost after a checkpoint": {
			ended:      true,
			outcome:    job.AttemptLost,
			checkpoint: "c",
			want:       true,
		},
		"failed": {
			ended:   true,
			outcome: job.AttemptFailed,
			want:    true,
		},
		"completed": {
			ended:   true,
			outcome: job.AttemptCompleted,
			want:    true,
		},
	} {
		t.Run(name, func(t *testing.T) {
			state := job.NewState()
			acceptJob(t, state, "a", "team", "plain", 1, job.StepSpec{Count: 2})
			mustApply(t, state, job.Record{
				Kind:    job.RecordPlace,
				Job:     "a",
				Attempt: 1,
				Worker:  "w",
			})
			if c.ended {
				mustApply(t, state, job.Record{
					Kind:           job.RecordAttemptEnd,
					Job:            "a",
					Attempt:        1,
					AttemptOutcome: c.outcome,
					Checkpoint:     c.checkpoint,
				})
			}
			assert.Equal(t, state.Job("a").Started, c.want)
			rebuilt := job.NewState()
			for _, r := range state.Snapshot(0) {
				mustApply(t, rebuilt, r)
			}
			assert.Equal(t, rebuilt.Job("a").Started, c.want)
		})
	}
}
