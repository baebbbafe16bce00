package interference

import (
	"fmt"
	"math"

	"github.com/citronbay/citronbay/internal/decide/job"
)

const (
	// maxKinds bounds the kinds, and with them the pairs and the memory: a kind's regression has
	// maxKinds² numbers.
	maxKinds = 24
	// maxWorkers and maxAttempts bound the workers that are observed and the attempts on one. A worker
	// is observed with all its attempts or not at all: each may be what slows down the others.
	maxWorkers  = 512
	maxAttempts = 32
	// decayMillis is the time after which an observation has 1/e of its weight. Neighbours' effects
	// change within seconds.
	decayMillis = 8000
	// An interval of observation lasts minIntervalMillis and minIntervalPercent, since progress is
	// reported in whole percent, but no longer than maxIntervalMillis. The tail of a task that
	// serves covers half a second.
	minIntervalMillis  = 200
	maxIntervalMillis  = 2000
	minIntervalPercent = 4
	tailMillis         = 500
	// commonMillis is how long the speed of an attempt tells of its worker.
	commonMillis = 1000
	// silenceMillis is the time without a report after which a worker's attempts are forgotten.
	silenceMillis = 5000
)

// Kind is a set of tasks that are expected to behave alike: those of one image, or else those of
// one step of the jobs in a queue.
type Kind struct {
	Queue string
	Step  int
	Image string
}

// String returns the image, or queue and step.
func (k Kind) String() string {
	if k.Image != "" {
		return k.Image
	}
	return fmt.Sprintf("%s.%d", k.Queue, k.Step)
}

// KindOf returns the kind of the step's tasks.
func KindOf(step *job.Step) Kind {
	if step.Spec.Image != "" {
		return Kind{Image: step.Spec.Image}
	}
	return Kind{
		Queue: step.Job.Queue,
		Step:  step.Number,
	}
}

// Attempt is what is known of a running attempt when its worker reports.
type Attempt struct {
	Task   job.TaskKey
	Number int
	Kind   Kind
	// Cores is the larger of what the attempt requested and what it uses, in thousandths of a core.
	Cores int64
	// StartedMillis is the Unix millisecond at which the attempt was first known to run.
	StartedMillis int64
	// EstimateMillis is the caller's estimate of the run time.
	EstimateMillis int64
	// Percent is the progress.
	Percent float64
	// TailMillis is the tail of the response times of a task that serves and TailTargetMillis its
	// target; both are zero for other tasks.
	TailMillis, TailTargetMillis float64
}

// exposure is, by kind, what the neighbours of an attempt have of the worker's processors.
type exposure [maxKinds]float32

// track is an attempt under observation.
type track struct {
	task    job.TaskKey
	number  int
	kind    int
	share   float64 // of the worker's processors
	percent float64 // at the start of the present interval; negative while there is no progress to measure

	// Of the present interval, the elapsed time, and the integral of the exposure over it.
	elapsed float64
	exposed exposure
	// Of the earlier intervals, with decaying weights: the sum of the weights and the means of
	// log speed and exposure.
	weight       float64
	meanLogSpeed float64
	meanExposure exposure
	// residual is what the kind's last fit does not explain of the last interval's log speed, at
	// residualMillis on the worker's clock; zero before the second interval.
	residual       float64
	residualMillis int64
}

// observation is the speed of an attempt in one interval, as deviations from its means.
type observation struct {
	track    *track
	exposure [maxKinds]float64
	logSpeed float64
	// precision is the variance of the noise divided by that of the deviation.
	precision float64
}

// observedWorker is a worker incarnation under observation.
type observedWorker struct {
	clockMillis int64 // on the worker's clock, of the last report
	seenMillis  int64 // on the owner's clock
	tracks      []*track
}

// Model holds what has been learned. Create it with New.
type Model struct {
	slots   map[Kind]int
	kinds   []kindState
	workers map[job.WorkerKey]*observedWorker
	tracked int
	// newcomer is a kind for which there was no slot since the last fit.
	newcomer  *Kind
	fitMillis int64
}

// New returns a model that has learned nothing.
func New() *Model {
	return &Model{
		slots:   map[Kind]int{},
		workers: map[job.WorkerKey]*observedWorker{},
	}
}

// Size returns the numbers of kinds that are known and of attempts under observation.
func (m *Model) Size() (kinds, attempts int) {
	return len(m.kinds), m.tracked
}

// slot returns the index of the kind, or -1 if there is no room for it. Fit replaces the kind with
// the least evidence then.
func (m *Model) slot(k Kind) int {
	if n, ok := m.slots[k]; ok {
		return n
	}
	if len(m.kinds) == maxKinds {
		m.newcomer = &k
		return -1
	}
	m.slots[k] = len(m.kinds)
	m.kinds = append(m.kinds, kindState{kind: k})
	return len(m.kinds) - 1
}

// Observe takes in what runs on the worker according to its report. The worker's clock gives the
// time between reports, since reports are delayed on their way, and now is the owner's clock; both
// are in milliseconds. The parameter cores is the worker's capacity in thousandths of a core.
func (m *Model) Observe(key job.WorkerKey, cores int64, attempts []Attempt, clockMillis, now int64) {
	w := m.workers[key]
	switch {
	case cores <= 0 || len(attempts) > maxAttempts:
		m.forgetWorker(key)
		return
	case w == nil && len(m.workers) >= maxWorkers:
		return
	case w == nil:
		w = &observedWorker{}
		m.workers[key] = w
	}
	elapsed := clockMillis - w.clockMillis
	if elapsed <= 0 && w.seenMillis > 0 {
		return // an older report, or one of the same millisecond
	}
	contiguous := w.seenMillis > 0 && elapsed <= maxIntervalMillis
	earlier := w.tracks
	w.clockMillis, w.seenMillis = clockMillis, now
	w.tracks = make([]*track, 0, len(attempts))

	// What each kind had on average since the last report. Attempts that have ended since are
	// counted until now: their end is what the worker reports.
	var present exposure
	if contiguous {
		for _, t := range earlier {
			present[t.kind] += float32(t.share)
		}
	}
	for _, a := range attempts {
		kind := m.slot(a.Kind)
		if kind < 0 {
			continue
		}
		m.kinds[kind].observeCores(float64(a.Cores)/float64(cores), a)
		t := findTrack(earlier, a)
		if t == nil {
			w.tracks = append(w.tracks, newTrack(kind, a, cores))
			if contiguous {
				present[kind] += float32(float64(a.Cores) / float64(cores) * clamp(float64(now-a.StartedMillis)/float64(elapsed), 0, 1))
			}
			continue
		}
		w.tracks = append(w.tracks, t)
	}
	var observations []observation
	for _, a := range attempts {
		t := findTrack(earlier, a)
		if t == nil || t.kind != m.slot(a.Kind) {
			continue
		}
		if contiguous {
			t.expose(present, float64(elapsed))
			if o, ok := m.advance(t, a); ok {
				t.residual, t.residualMillis = m.kinds[t.kind].residual(o), clockMillis
				observations = append(observations, o)
			}
		} else {
			t.restart(a)
		}
		t.share = float64(a.Cores) / float64(cores)
	}
	for _, o := range observations {
		common, count := w.commonResidual(o.track)
		m.kinds[o.track.kind].add(o, common, count)
	}
	m.tracked += len(w.tracks) - len(earlier)
}

// commonResidual returns the mean of the residuals of the worker's other attempts in the last
// commonMillis, and their number.
func (w *observedWorker) commonResidual(except *track) (mean float64, count int) {
	for _, t := range w.tracks {
		if t != except && t.residualMillis > 0 && w.clockMillis-t.residualMillis <= commonMillis {
			mean += t.residual
			count++
		}
	}
	return mean / float64(max(1, count)), count
}

func findTrack(tracks []*track, a Attempt) *track {
	for _, t := range tracks {
		if t.task == a.Task && t.number == a.Number {
			return t
		}
	}
	return nil
}

func newTrack(kind int, a Attempt, cores int64) *track {
	t := &track{
		task:   a.Task,
		number: a.Number,
		kind:   kind,
		share:  float64(a.Cores) / float64(cores),
	}
	t.restart(a)
	return t
}

// restart begins an interval of observation. Progress counts once there is some: before, the
// attempt may be starting, or waiting for its gang.
func (t *track) restart(a Attempt) {
	t.elapsed, t.exposed = 0, exposure{}
	t.percent = -1
	if a.Percent > 0 && a.Percent < 100 {
		t.percent = a.Percent
	}
}

// expose adds elapsed milliseconds beside the neighbours to the interval; present includes the
// attempt itself.
func (t *track) expose(present exposure, elapsed float64) {
	present[t.kind] = max(0, present[t.kind]-float32(t.share))
	for k, share := range present {
		t.exposed[k] += share * float32(elapsed)
	}
	t.elapsed += elapsed
}

// advance ends the attempt's present interval if there is enough to tell its speed. It returns
// false if there is nothing to compare it with.
func (m *Model) advance(t *track, a Attempt) (o observation, ok bool) {
	if a.TailTargetMillis > 0 {
		if a.TailMillis > 0 && t.elapsed >= tailMillis {
			o, ok = m.observe(t, -math.Log(a.TailMillis), math.NaN())
			t.restart(a)
		}
		return o, ok
	}
	progress := a.Percent - t.percent
	switch {
	case t.percent < 0 || a.Percent >= 100 || progress < 0:
		t.restart(a)
	case t.elapsed >= minIntervalMillis && progress >= minIntervalPercent || t.elapsed >= maxIntervalMillis:
		// An attempt without any progress hangs; that is its worker's fault, or its own.
		if progress > 0 {
			logSpeed := math.Log(progress / 100 / t.elapsed)
			o, ok = m.observe(t, logSpeed, logSpeed+math.Log(max(1, float64(a.EstimateMillis))))
		}
		t.restart(a)
	}
	return o, ok
}

// observe takes in the log speed of the attempt in its present interval, absolute and relative to
// the estimate, and returns the deviations from the attempt's means (Welford's update of the
// scatter, with weights).
func (m *Model) observe(t *track, logSpeed, relative float64) (o observation, ok bool) {
	t.weight *= math.Exp(-t.elapsed / decayMillis)
	mean := t.exposed
	for k := range mean {
		mean[k] /= float32(t.elapsed)
	}
	state := &m.kinds[t.kind]
	state.observeRelative(relative, mean)
	if ok = t.weight > 0; ok {
		o = observation{
			track:     t,
			logSpeed:  logSpeed - t.meanLogSpeed,
			precision: t.weight / (t.weight + 1),
		}
		for k := range mean {
			o.exposure[k] = float64(mean[k] - t.meanExposure[k])
		}
	}
	t.weight++
	t.meanLogSpeed += (logSpeed - t.meanLogSpeed) / t.weight
	for k := range mean {
		t.meanExposure[k] += (mean[k] - t.meanExposure[k]) / float32(t.weight)
	}
	return o, ok
}

// forgetKind gives the kind's slot to another.
func (m *Model) forgetKind(slot int, successor Kind) {
	delete(m.slots, m.kinds[slot].kind)
	for n := range m.kinds {
		m.kinds[n].forgetNeighbour(slot)
	}
	m.kinds[slot] = kindState{kind: successor}
	m.slots[successor] = slot
	for _, w := range m.workers {
		kept := w.tracks[:0]
		for _, t := range w.tracks {
			if t.kind == slot {
				m.tracked--
				continue
			}
			t.exposed[slot], t.meanExposure[slot] = 0, 0
			kept = append(kept, t)
		}
		w.tracks = kept
	}
}

// forgetSilent forgets the workers that have not reported for silenceMillis.
func (m *Model) forgetSilent(now int64) {
	for key, w := range m.workers {
		if now-w.seenMillis > silenceMillis {
			m.forgetWorker(key)
		}
	}
}

func (m *Model) forgetWorker(key job.WorkerKey) {
	if w := m.workers[key]; w != nil {
		m.tracked -= len(w.tracks)
		delete(m.workers, key)
	}
}

func clamp(x, low, high float64) float64 {
	return max(low, min(high, x))
}
