package job_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/citronbay/citronbay/internal/decide/job"
)

// dump returns all that planning may change: the indexes, jobs, steps with their tickets, placements
// and workers.
func dump(state *job.State, workers []*job.Worker) string {
	var text strings.Builder
	fmt.Fprintf(&text, "%+v\n", *state)
	for _, j := range state.OpenJobs() {
		for _, step := range j.Steps {
			fmt.Fprintf(&text, "%+v\n", *step)
			for _, task := range step.Tasks {
				if task.Placement != nil {
					fmt.Fprintf(&text, "%+v\n", *task.Placement)
				}
			}
		}
	}
	for _, w := range workers {
		fmt.Fprintf(&text, "%+v\n", *w)
	}
	lines := strings.Split(text.String(), "\n")
	slices.Sort(lines)
	return strings.Join(lines, "\n")
}

func unchanged(_ *job.State, p *job.Planner) *job.Planner {
	return p
}

// TestPreviewIsWhatHappens compares previews in random states with what a pass does when the same job
// is accepted, and checks that a preview changes nothing.
func TestPreviewIsWhatHappens(t *testing.T) {
	for seed := range uint64(150) {
		random := rand.New(rand.NewPCG(seed, 1))
		state, rules, workers := job.NewState(), newRules(3), newWorkers(24)
		advised := rules.Queues["advised"]
		advised.Priority = rules.Queues["plain"].Priority
		rules.Queues["advised"] = advised
		randomStep := func() job.StepSpec {
			return job.StepSpec{
				Count:          1 + random.IntN(20),
				Needs:          cores(4 + random.Int64N(28)),
				EstimateMillis: 500 + random.Int64N(5000),
				Gang:           random.IntN(3) == 0,
				PreferOneRack:  random.IntN(4) == 0,
				MaxPerWorker:   random.IntN(3),
			}
		}
		now := int64(1000)
		for n := range 30 {
			queue := []string{"plain", "advised"}[random.IntN(2)]
			acceptJob(t, state, fmt.Sprintf("%016x", n), fmt.Sprintf("team%d", n%3), queue, now, randomStep())
			now += 100
			p := job.NewPlanner(state, rules, workers, now)
			p.Plan(now)
			answerQueries(p, now, 2)
		}
		workers[random.IntN(len(workers))].Usable = false
		p := job.NewPlanner(state, rules, workers, now)
		p.Plan(now)
		p.PolicyQueries(now, limitCalls(1, 1)) // in flight
		for _, w := range workers {
			for key, placement := range state.Placements(w.Key()) {
				if random.IntN(3) == 0 {
					mustApply(t, state, job.Record{
						Kind:           job.RecordAttemptEnd,
						Job:            key.Job,
						Step:           key.Step,
						Index:          key.Index,
						Attempt:        placement.Attempt,
						AttemptOutcome: job.AttemptCompleted,
					})
				}
			}
		}
		trial := job.Trial{
			Team:       "team1",
			Queue:      "plain",
			Submission: &job.Submission{Steps: []job.StepSpec{randomStep(), randomStep()}},
		}
		before := dump(state, workers)
		previews, err := job.Preview(state, rules, workers, trial, now, unchanged)
		assert.NilError(t, err)
		assert.Equal(t, dump(state, workers), before, "seed %d", seed)
		acceptJob(t, state, "ffffffffffffffff", trial.Team, trial.Queue, now, trial.Submission.Steps...)
		want := map[string]int{}
		for _, r := range job.NewPlanner(state, rules, workers, now).Plan(now) {
			if r.Job == "ffffffffffffffff" {
				want[fmt.Sprint(r.Step, " on ", r.Worker)]++
			}
		}
		got := map[string]int{}
		for n, step := range previews {
			excluded := 0
			for _, count := range step.Excluded {
				excluded += count
			}
			assert.Equal(t, excluded+len(step.Candidates), len(workers))
			assert.Equal(t, step.Cause == "", step.Starts == trial.Submission.Steps[n].Count)
			for _, c := range step.Candidates {
				if c.Starts > 0 {
					got[fmt.Sprint(n, " on ", c.Worker.ID)] = c.Starts
				}
			}
		}
		assert.DeepEqual(t, got, want)
	}
}

// TestPreviewNamesCauses checks what rules out workers and what a step would wait for.
func TestPreviewNamesCauses(t *testing.T) {
	plain := job.StepSpec{
		Count: 2,
		Needs: cores(32),
	}
	for name, c := range map[string]struct {
		queue      string // "plain" if empty
		step       func(*job.StepSpec)
		change     func(workers []*job.Worker)
		excluded   map[job.Exclusion]int
		candidates []string // in order
		starts     int
		cause      job.WaitCause
	}{
		"best fit first": {
			excluded:   map[job.Exclusion]int{},
			candidates: []string{"w0001", "w0000", "w0002"},
			starts:     2,
		},
		"all but one ruled out": {
			step: func(s *job.StepSpec) { s.Label = "a" },
			change: func(workers []*job.Worker) {
				workers[0].Usable = false
				workers[1].Labels = []string{"a"}
				workers[2].Service = "another"
			},
			excluded:   map[job.Exclusion]int{job.ExcludedUnusable: 1, job.ExcludedService: 1},
			candidates: []string{"w0001"},
			starts:     1,
			cause:      job.WaitCapacity,
		},
		"label": {
			step:     func(s *job.StepSpec) { s.Label = "a" },
			excluded: map[job.Exclusion]int{job.ExcludedLabel: 3},
			cause:    job.WaitWorkers,
		},
		"too large": {
			step:     func(s *job.StepSpec) { s.Needs = cores(65) },
			excluded: map[job.Exclusion]int{job.ExcludedCapacity: 3},
			cause:    job.WaitFleet,
		},
		"gang": {
			step:       func(s *job.StepSpec) { s.Gang, s.Count = true, 6 },
			excluded:   map[job.Exclusion]int{},
			candidates: []string{"w0000", "w0002", "w0001"},
			cause:      job.WaitGang,
		},
		"data rack": {
			step: func(s *job.StepSpec) { s.DataRack = "far" },
			change: func(workers []*job.Worker) {
				workers[2].Rack = "far"
			},
			excluded:   map[job.Exclusion]int{},
			candidates: []string{"w0002", "w0001", "w0000"},
			starts:     2,
		},
		"policy": {
			queue:      "advised",
			excluded:   map[job.Exclusion]int{},
			candidates: []string{"w0001", "w0000", "w0002"},
			cause:      job.WaitPolicy,
		},
		"unknown queue": {
			queue: "none",
			cause: job.WaitQueue,
		},
	} {
		t.Run(name, func(t *testing.T) {
			state, rules, workers := job.NewState(), newRules(1), newWorkers(3)
			acceptJob(t, state, "0000000000000001", "team0", "plain", 1, job.StepSpec{
				Count: 1,
				Needs: cores(20),
			})
			job.NewPlanner(state, rules, workers[1:2], 1).Plan(1)
			if c.change != nil {
				c.change(workers)
			}
			trial := job.Trial{
				Team:       "team0",
				Queue:      "plain",
				Submission: &job.Submission{Steps: []job.StepSpec{plain}},
			}
			if c.queue != "" {
				trial.Queue = c.queue
			}
			if c.step != nil {
				c.step(&trial.Submission.Steps[0])
			}
			previews, err := job.Preview(state, rules, workers, trial, 2, unchanged)
			assert.NilError(t, err)
			step := previews[0]
			assert.DeepEqual(t, step.Excluded, c.excluded)
			var candidates []string
			for _, candidate := range step.Candidates {
				candidates = append(candidates, candidate.Worker.ID)
			}
			assert.DeepEqual(t, candidates, c.candidates)
			assert.Equal(t, step.Starts, c.starts)
			assert.Equal(t, step.Cause, c.cause)
			assert.Equal(t, step.Reason == "", c.cause == "")
		})
	}
}
