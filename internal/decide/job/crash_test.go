package job_test

import (
	"fmt"
	"sort"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/citronbay/citronbay/internal/decide/job"
)

// runTask places the task and marks it as started at the given time, or as ordered but not
// confirmed if confirmed is false.
func runTask(t *testing.T, state *job.State, w *job.Worker, id string, index int, at int64, confirmed bool) {
	t.Helper()
	key := job.TaskKey{
		Job:   id,
		Index: index,
	}
	mustApply(t, state, job.Record{
		Kind:        job.RecordPlace,
		Job:         id,
		Index:       index,
		Attempt:     state.Task(key).Attempt + 1,
		Worker:      w.ID,
		Incarnation: w.Incarnation,
	})
	p := state.Placement(key)
	p.OrderedMillis = at
	if confirmed {
		p.Confirmed, p.StartedMillis = true, at
	}
}

func endTask(t *testing.T, state *job.State, id string, index int, outcome job.AttemptOutcome) {
	t.Helper()
	mustApply(t, state, job.Record{
		Kind:           job.RecordAttemptEnd,
		Job:            id,
		Index:          index,
		Attempt:        state.Job(id).Steps[0].Tasks[index].Attempt,
		AttemptOutcome: outcome,
	})
}

// TestCrashSuspects checks which attempts are suspected of the crash of the first worker at
// 10 000 ms: those that started last, and none in an outage of a place.
func TestCrashSuspects(t *testing.T) {
	type start struct {
		job         string
		index       int
		worker      int
		at          int64
		unconfirmed bool
	}
	beside := []start{{job: "new", at: 9_980}, {job: "old", at: 5_000}}
	for name, c := range map[string]struct {
		starts  []start
		crashes map[int]int64 // when the connection to each worker was lost
		alive   int64         // when the first worker was last known to run, if not at the loss
		unknown bool          // the log holds no disconnection
		want    []string
	}{
		"started last": {
			starts:  beside,
			crashes: map[int]int64{0: 10_000},
			want:    []string{"new.0 hadStarted"},
		},
		"alone": {
			starts:  []start{{job: "new", at: 9_980}, {job: "new", index: 1, at: 8_000}},
			crashes: map[int]int64{0: 10_000},
			want:    []string{"new.0 proven"},
		},
		"not confirmed": {
			starts:  []start{{job: "new", at: 9_000, unconfirmed: true}, {job: "old", at: 9_000}},
			crashes: map[int]int64{0: 10_000},
			want:    []string{"new.0 mayHaveStarted"},
		},
		"silent before": {
			starts:  []start{{job: "new", at: 8_100}, {job: "old", at: 5_000}},
			crashes: map[int]int64{0: 10_000},
			alive:   8_300,
			want:    []string{"new.0 hadStarted"},
		},
		"nothing started": {
			starts:  []start{{job: "old", at: 5_000}},
			crashes: map[int]int64{0: 10_000},
		},
		"answered again": {
			starts: beside,
		},
		"crashed before the term": {
			starts:  []start{{job: "suspect", at: 9_980}, {job: "new", at: 9_980}},
			unknown: true,
			want:    []string{"suspect.0 mayHaveStarted"},
		},
		"outage of a rack": {
			starts:  beside,
			crashes: map[int]int64{0: 10_000, 1: 10_020, 2: 9_900},
		},
		"outage elsewhere at another time": {
			starts:  beside,
			crashes: map[int]int64{0: 10_000, 1: 12_000, 2: 12_000, 3: 12_000},
			want:    []string{"new.0 hadStarted"},
		},
		"members of one job": {
			starts: append([]start{
				{job: "new", index: 1, worker: 1, at: 9_970},
				{job: "new", index: 2, worker: 2, at: 9_990},
			}, beside...),
			crashes: map[int]int64{0: 10_000, 1: 10_001, 2: 10_002, 3: 10_100},
			want:    []string{"new.0 hadStarted"},
		},
		"several jobs": {
			starts: append([]start{
				{job: "a", worker: 1, at: 9_970},
				{job: "b", worker: 2, at: 9_990},
			}, beside...),
			crashes: map[int]int64{0: 10_000, 1: 10_001, 2: 10_002},
			want:    []string{"new.0 hadStarted"},
		},
	} {
		t.Run(name, func(t *testing.T) {
			state := job.NewState()
			workers := newWorkers(4)
			for _, id := range []string{"new", "old", "a", "b"} {
				acceptJob(t, state, id, "team0", "plain", 0, job.StepSpec{Count: 3})
			}
			acceptSuspect(t, state, "suspect", "plain", job.StepSpec{Count: 1})
			for _, s := range c.starts {
				runTask(t, state, workers[s.worker], s.job, s.index, s.at, !s.unconfirmed)
			}
			var log job.CrashLog
			for n, at := range c.crashes {
				alive := at
				if n == 0 && c.alive != 0 {
					alive = c.alive
				}
				log.Disconnect(state, workers[n], alive, at, false)
			}
			if len(c.crashes) == 0 && !c.unknown {
				log.Disconnect(state, workers[0], 10_000, 10_000, false)
				log.Reconnect(workers[0].Key())
			}
			var got []string
			for p, suspicion := range log.Suspects(state, workers[0].Key()) {
				got = append(got, fmt.Sprintf("%s.%d %s", p.Task.Job, p.Task.Index, suspicion))
			}
			sort.Strings(got)
			assert.DeepEqual(t, got, c.want)
		})
	}
}

// TestCrashLimit checks when a task is given up, also after a new owner has rebuilt the
// state, and that a survivor is cleared. A task whose attempts may not have started is not
// given up early: fewer than two workers may have crashed under it.
func TestCrashLimit(t *testing.T) {
	type crash struct {
		index     int
		suspicion job.Suspicion
	}
	may, had, proven := crash{0, job.MayHaveStarted}, crash{0, job.HadStarted}, crash{0, job.Proven}
	other := crash{1, job.Proven}
	for name, c := range map[string]struct {
		gang     bool
		crashes  []crash
		survives bool // before the last crash
		want     bool
	}{
		"first":                   {crashes: []crash{proven}},
		"second, proven":          {crashes: []crash{had, proven}, want: true},
		"second, not proven":      {crashes: []crash{had, had}},
		"third, not proven":       {crashes: []crash{had, had, had}, want: true},
		"one certain":             {crashes: []crash{may, proven}},
		"two certain":             {crashes: []crash{may, proven, proven}, want: true},
		"two certain of three":    {crashes: []crash{had, proven, may}, want: true},
		"four, one certain":       {crashes: []crash{may, may, may, had}},
		"five":                    {crashes: []crash{may, may, may, may, may}, want: true},
		"other task":              {crashes: []crash{other, proven}},
		"gang, twice":             {gang: true, crashes: []crash{other, other}, want: true},
		"gang, members at a time": {gang: true, crashes: []crash{other, proven}},
		"cleared between":         {crashes: []crash{had, proven}, survives: true},
	} {
		t.Run(name, func(t *testing.T) {
			state := job.NewState()
			w := newWorkers(1)[0]
			acceptJob(t, state, "a", "team0", "plain", 0, job.StepSpec{
				Count: 2,
				Gang:  c.gang,
			})
			for n, crash := range c.crashes {
				runTask(t, state, w, "a", crash.index, 1_000, true)
				step := state.Job("a").Steps[0]
				p := step.Tasks[crash.index].Placement
				_, early := step.ClearSurvivor(p, 1_500)
				assert.Assert(t, !early)
				if r, ok := step.ClearSurvivor(p, 1_700); ok && c.survives && n == len(c.crashes)-1 {
					mustApply(t, state, r)
				}
				endTask(t, state, "a", crash.index, crash.suspicion.Outcome())
				rebuilt := job.NewState()
				for _, r := range state.Snapshot(0) {
					mustApply(t, rebuilt, r)
				}
				state = rebuilt
			}
			last := c.crashes[len(c.crashes)-1]
			assert.Equal(t, state.Job("a").Steps[0].CrashLimitReached(0, last.suspicion), c.want)
		})
	}
}

// TestCrashEvidence checks what the log tells about a disconnection.
func TestCrashEvidence(t *testing.T) {
	state := job.NewState()
	workers := newWorkers(3)
	acceptJob(t, state, "a", "team0", "plain", 0, job.StepSpec{Count: 1})
	runTask(t, state, workers[0], "a", 0, 9_100, true)
	var log job.CrashLog
	_, ok := log.Evidence(workers[0].Key())
	assert.Assert(t, !ok)
	log.Disconnect(state, workers[0], 9_000, 10_000, true)
	log.Disconnect(state, workers[1], 10_300, 10_300, false)
	log.Disconnect(state, workers[2], 12_000, 12_000, true)
	e, ok := log.Evidence(workers[0].Key())
	assert.Assert(t, ok)
	assert.DeepEqual(t, e, job.Evidence{
		SilentMillis: 900,
		Recent:       1,
		Together:     2,
	})
}

// TestSilentWorkersAreNotSuspected replays a cut: workers fall silent at one moment, and the
// owner notes it over a second, as the long polls to each of them time out. In a busy fleet
// something has just started on almost all of them. It guards against innocent tasks that are
// suspected of having crashed their workers at the same moment, and checks that the tasks of
// one job, of a few workers, and of one whose connection broke at its end, still are.
func TestSilentWorkersAreNotSuspected(t *testing.T) {
	const (
		cutMillis     = 10_000
		pollMillis    = 1_000 // for which a worker may hold a poll
		timeoutMillis = 1_700 // after which the poll fails
	)
	for name, c := range map[string]struct {
		count    int
		spread   int64 // of the moments at which the workers fall silent
		oneJob   bool
		broken   bool // the connection to worker 0 breaks when it ends
		refused  bool // the workers refuse connections, so their processes have ended
		suspects int  // workers with suspects
	}{
		"cut":                        {count: 12},
		"cut of three workers":       {count: 3},
		"two workers":                {count: 2, suspects: 2},
		"one after the other":        {count: 6, spread: 2 * timeoutMillis, suspects: 6},
		"tasks of one job":           {count: 12, oneJob: true, suspects: 12},
		"a connection breaks beside": {count: 12, broken: true, suspects: 1},
		"refused connections":        {count: 12, refused: true, suspects: 12},
	} {
		t.Run(name, func(t *testing.T) {
			state := job.NewState()
			workers := newWorkers(c.count)
			var log job.CrashLog
			for n, w := range workers {
				silent := cutMillis + int64(n)*c.spread
				id, index := fmt.Sprint("job", n), 0
				if c.oneJob {
					id, index = "job", n
				}
				if state.Job(id) == nil {
					acceptJob(t, state, id, "team0", "plain", 0, job.StepSpec{Count: c.count})
				}
				alive := silent - int64(n)*pollMillis/int64(c.count)
				failed := alive + timeoutMillis
				runTask(t, state, w, id, index, silent-10, n%2 == 0)
				if c.broken && n == 0 {
					alive, failed = silent, silent
				}
				log.Disconnect(state, w, alive, failed, !c.refused && (n > 0 || !c.broken))
			}
			suspects := 0
			for _, w := range workers {
				suspects += min(1, len(log.Suspects(state, w.Key())))
			}
			assert.Equal(t, suspects, c.suspects)
		})
	}
}
