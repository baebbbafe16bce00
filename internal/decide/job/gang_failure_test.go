package job_test

import (
	"testing"

	"gotest.tools/v3/assert"

	"github.com/citronbay/citronbay/internal/decide/job"
)

// gangEvent is what happens to one member of a gang, or to the state.
type gangEvent struct {
	index   int
	outcome job.AttemptOutcome
	// takeover is set if the next owner rebuilds the state from a snapshot instead.
	takeover bool
	// nextRun is set if all members that have ended are placed again instead.
	nextRun bool
}

var (
	takeover = gangEvent{takeover: true}
	nextRun  = gangEvent{nextRun: true}
)

func failed(index int) gangEvent {
	return gangEvent{
		index:   index,
		outcome: job.AttemptFailed,
	}
}

func ended(index int, outcome job.AttemptOutcome) gangEvent {
	return gangEvent{
		index:   index,
		outcome: outcome,
	}
}

// TestGangRunCountsAsOneFailure guards against a job that is shown as failed although its gang has
// attempts left: a run of a gang counts once, whichever of its members end failed and whenever that is
// known.
func TestGangRunCountsAsOneFailure(t *testing.T) {
	for name, c := range map[string]struct {
		events []gangEvent
		want   int
	}{
		"no failure": {},
		"one member": {
			events: []gangEvent{failed(1)},
			want:   1,
		},
		"all members": {
			events: []gangEvent{failed(0), failed(1), failed(2)},
			want:   1,
		},
		"a takeover between two members": {
			events: []gangEvent{failed(2), takeover, failed(0), takeover, failed(1)},
			want:   1,
		},
		"two runs": {
			events: []gangEvent{failed(0), failed(1), failed(2), nextRun, failed(1), failed(0)},
			want:   2,
		},
		"two runs, takeovers": {
			events: []gangEvent{failed(0), takeover, failed(1), failed(2), nextRun, takeover, failed(1), takeover, failed(0)},
			want:   2,
		},
		"two runs with one failed member each": {
			events: []gangEvent{failed(0), ended(1, job.AttemptLost), ended(2, job.AttemptLost), nextRun, failed(2)},
			want:   2,
		},
		"a run without a failed member between": {
			events: []gangEvent{
				failed(0), failed(1), failed(2), nextRun,
				ended(0, job.AttemptLost), ended(1, job.AttemptCrashed), ended(2, job.AttemptMayHaveCrashed), nextRun,
				failed(0), failed(1),
			},
			want: 2,
		},
		"lost, stopped and crashed members": {
			events: []gangEvent{ended(0, job.AttemptLost), ended(1, job.AttemptCrashed), ended(2, job.AttemptMayHaveCrashed), takeover},
		},
		"failed after others were lost": {
			events: []gangEvent{ended(0, job.AttemptLost), ended(1, job.AttemptCrashed), failed(2)},
			want:   1,
		},
	} {
		t.Run(name, func(t *testing.T) {
			const members = 3
			state := job.NewState()
			acceptJob(t, state, "a", "team", "plain", 1, job.StepSpec{
				Count: members,
				Gang:  true,
			})
			placeRun := func(attempt int) {
				for n := range members {
					mustApply(t, state, job.Record{
						Kind:    job.RecordPlace,
						Job:     "a",
						Index:   n,
						Attempt: attempt,
						Worker:  "w",
					})
				}
			}
			attempt := 1
			placeRun(attempt)
			for _, e := range c.events {
				switch {
				case e.takeover:
					next := job.NewState()
					for _, r := range state.Snapshot(0) {
						mustApply(t, next, r)
					}
					state = next
				case e.nextRun:
					attempt++
					placeRun(attempt)
				default:
					mustApply(t, state, job.Record{
						Kind:           job.RecordAttemptEnd,
						Job:            "a",
						Index:          e.index,
						Attempt:        attempt,
						AttemptOutcome: e.outcome,
					})
				}
			}
			for n := range members {
				assert.Equal(t, state.Job("a").Steps[0].Failures(n), c.want)
			}
		})
	}
}

// TestTaskFailuresCountByTask checks the step that is no gang: each task counts its own failures.
func TestTaskFailuresCountByTask(t *testing.T) {
	state := job.NewState()
	acceptJob(t, state, "a", "team", "plain", 1, job.StepSpec{Count: 2})
	for attempt := 1; attempt <= 3; attempt++ {
		for n := range 2 {
			mustApply(t, state, job.Record{
				Kind:    job.RecordPlace,
				Job:     "a",
				Index:   n,
				Attempt: attempt,
				Worker:  "w",
			})
			outcome := job.AttemptFailed
			if n == 1 && attempt > 1 {
				outcome = job.AttemptLost
			}
			mustApply(t, state, job.Record{
				Kind:           job.RecordAttemptEnd,
				Job:            "a",
				Index:          n,
				Attempt:        attempt,
				AttemptOutcome: outcome,
			})
		}
	}
	assert.Equal(t, state.Job("a").Steps[0].Failures(0), 3)
	assert.Equal(t, state.Job("a").Steps[0].Failures(1), 1)
}

// TestFailuresOfEarlierVersion checks counts in snapshots of an earlier version of this program, which
// counted each failed member of a run. There are no more failed runs than runs, and no failure is
// forgotten.
func TestFailuresOfEarlierVersion(t *testing.T) {
	for name, c := range map[string]struct {
		counts  []int // of the members
		attempt int   // the latest one
		failed  []int // members that fail in that run, in its order
		want    int
	}{
		"two members of the first run": {
			counts:  []int{1, 1, 0},
			attempt: 1,
			want:    1,
		},
		"two members of the first run, the third one fails": {
			counts:  []int{1, 1, 0},
			attempt: 1,
			failed:  []int{2},
			want:    1,
		},
		"one member in each of two runs": {
			counts:  []int{1, 0, 1},
			attempt: 2,
			want:    2,
		},
		"the third run fails": {
			counts:  []int{1, 0, 1},
			attempt: 3,
			failed:  []int{0, 1},
			want:    3,
		},
		"lost runs between": {
			counts:  []int{0, 1, 0},
			attempt: 5,
			failed:  []int{1, 2},
			want:    2,
		},
	} {
		t.Run(name, func(t *testing.T) {
			state := job.NewState()
			acceptJob(t, state, "a", "team", "plain", 1, job.StepSpec{
				Count: len(c.counts),
				Gang:  true,
			})
			for n, failures := range c.counts {
				mustApply(t, state, job.Record{
					Kind:     job.RecordTaskState,
					Job:      "a",
					Index:    n,
					Attempt:  c.attempt,
					Failures: failures,
				})
			}
			for _, n := range c.failed {
				mustApply(t, state, job.Record{
					Kind:    job.RecordPlace,
					Job:     "a",
					Index:   n,
					Attempt: c.attempt,
					Worker:  "w",
				})
				mustApply(t, state, job.Record{
					Kind:           job.RecordAttemptEnd,
					Job:            "a",
					Index:          n,
					Attempt:        c.attempt,
					AttemptOutcome: job.AttemptFailed,
				})
			}
			assert.Equal(t, state.Job("a").Steps[0].Failures(0), c.want)
		})
	}
}
