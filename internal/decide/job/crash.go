package job

import "slices"

const (
	// suspectWindowMillis is how long before the crash of a worker an attempt may have
	// started to be suspected of causing it. It covers delays of answers and of the owner.
	suspectWindowMillis = 200
	// orderWindowMillis is the same for an attempt whose start order was sent and has no
	// answer; the order may have arrived late.
	orderWindowMillis = 1500
	// clearMillis is how long a suspected attempt must run to be cleared.
	clearMillis = 3 * suspectWindowMillis
	// togetherMillis is the maximum time between disconnections that may have a common
	// cause, such as a power failure.
	togetherMillis = 500
	// minOutage is the minimum number of disconnections with separate causes that an outage
	// of a rack, a zone, a service or a network must explain.
	minOutage = 3
	// outageDivisor: an outage is assumed if at least the number of disconnections divided
	// by it were of workers on which nothing had just started.
	outageDivisor = 3
	// crashLogMillis is how long disconnections are kept, which is longer than it takes to
	// learn that the worker has crashed.
	crashLogMillis = 60_000
	// A task is given up after minCertainCrashes crashes under attempts that had certainly
	// started, if the last crash is proven to be its own or crashesWithoutProof were counted,
	// and in any case after maxCrashes.
	minCertainCrashes   = 2
	crashesWithoutProof = 3
	maxCrashes          = 5
)

// Suspicion is how strongly an attempt is suspected of having crashed its worker.
type Suspicion uint8

// The degrees of suspicion.
const (
	NotSuspected   Suspicion = iota
	MayHaveStarted           // its start order was sent and had no answer
	HadStarted               // it had started, beside tasks of other jobs
	Proven                   // it had started, and only tasks of its job were on the worker
)

var suspicionNames = map[Suspicion]string{
	NotSuspected:   "none",
	MayHaveStarted: "mayHaveStarted",
	HadStarted:     "hadStarted",
	Proven:         "proven",
}

// String returns the name of the suspicion for logs.
func (s Suspicion) String() string {
	return suspicionNames[s]
}

// Outcome returns the outcome of an attempt that is suspected so when its worker has crashed.
func (s Suspicion) Outcome() AttemptOutcome {
	switch s {
	case NotSuspected:
		return AttemptLost
	case MayHaveStarted:
		return AttemptMayHaveCrashed
	}
	return AttemptCrashed
}

// CrashLog keeps the recent disconnections of workers, and tells which attempts may have
// caused the crash of a worker. The zero value is an empty log.
type CrashLog struct {
	disconnections []disconnection // in the order in which they were recorded
}

type disconnection struct {
	worker      WorkerKey
	atMillis    int64
	aliveMillis int64 // when the worker is last known to have run
	silent      bool  // the connection did not break

	service, zone, rack string

	// recent holds the attempts, by task, that may have started just before.
	recent map[TaskKey]int
}

// Disconnect records that the connection to the worker was lost at the Unix millisecond
// now, unless the log already holds an earlier loss. The parameter aliveMillis is the
// latest Unix millisecond at which the worker is known to have run, and silent is set if the
// connection did not break, but the worker did not answer.
func (l *CrashLog) Disconnect(state *State, w *Worker, aliveMillis, now int64, silent bool) {
	if l.find(w.Key()) != nil {
		return
	}
	l.disconnections = slices.DeleteFunc(l.disconnections, func(d disconnection) bool {
		return now-d.atMillis > crashLogMillis
	})
	d := disconnection{
		worker:   w.Key(),
		atMillis: now,
		silent:   silent,
		service:  w.Service,
		zone:     w.Zone,
		rack:     w.Rack,
		recent:   map[TaskKey]int{},
	}
	for _, p := range state.placements[w.Key()] {
		if p.Confirmed {
			aliveMillis = max(aliveMillis, p.StartedMillis)
		}
	}
	d.aliveMillis = aliveMillis
	for key, p := range state.placements[w.Key()] {
		if p.mayHaveJustStarted(aliveMillis) {
			d.recent[key] = p.Attempt
		}
	}
	l.disconnections = append(l.disconnections, d)
}

func (l *CrashLog) find(key WorkerKey) *disconnection {
	for n := range l.disconnections {
		if l.disconnections[n].worker == key {
			return &l.disconnections[n]
		}
	}
	return nil
}

// mayHaveJustStarted reports whether the attempt may have started just before the Unix
// millisecond at, or later.
func (p *Placement) mayHaveJustStarted(at int64) bool {
	if p.Confirmed {
		return p.StartedMillis >= at-suspectWindowMillis
	}
	return p.OrderedMillis > 0 && p.OrderedMillis >= at-orderWindowMillis
}

// Reconnect removes the worker from the log, because the same incarnation has answered.
func (l *CrashLog) Reconnect(key WorkerKey) {
	l.disconnections = slices.DeleteFunc(l.disconnections, func(d disconnection) bool {
		return d.worker == key
	})
}

// Suspects returns the attempts that may have crashed the worker, which has certainly
// crashed: those that started just before it was disconnected. There are none if the
// disconnection was part of an outage. If the log does not hold it, because the worker
// crashed before the term of ownership, attempts of tasks with crashes may be the cause.
func (l *CrashLog) Suspects(state *State, key WorkerKey) map[*Placement]Suspicion {
	d := l.find(key)
	placements := state.placements[key]
	suspects := map[*Placement]Suspicion{}
	if d == nil {
		for k, p := range placements {
			if state.Task(k).Crashes > 0 {
				suspects[p] = MayHaveStarted
			}
		}
		return suspects
	}
	if l.inOutage(d) {
		return nil
	}
	jobs := map[string]bool{}
	for k := range placements {
		jobs[k.Job] = true
	}
	for k, p := range placements {
		attempt, ok := d.recent[k]
		switch {
		case !ok || attempt != p.Attempt:
		case !p.Confirmed:
			suspects[p] = MayHaveStarted
		case len(jobs) > 1:
			suspects[p] = HadStarted
		default:
			suspects[p] = Proven
		}
	}
	return suspects
}

// Evidence is what a CrashLog knows about the disconnection of a worker, for logs.
type Evidence struct {
	SilentMillis int64 // from when the worker is last known to have run to its disconnection
	Recent       int   // attempts that may have started just before
	Together     int   // disconnections of the service's workers that may have a common cause
	Outage       bool
}

// Evidence returns what the log knows about the disconnection of the worker, or false if it
// holds none.
func (l *CrashLog) Evidence(key WorkerKey) (Evidence, bool) {
	d := l.find(key)
	if d == nil {
		return Evidence{}, false
	}
	return Evidence{
		SilentMillis: d.atMillis - d.aliveMillis,
		Recent:       len(d.recent),
		Together:     len(l.together(d)),
		Outage:       l.inOutage(d),
	}, true
}

// together returns the disconnections of the service's workers that may have the same cause
// as the given one, which is among them. Those of silent workers are noted at different times
// even if they have the same cause, since polls wait for different times.
func (l *CrashLog) together(d *disconnection) []disconnection {
	var list []disconnection
	for _, o := range l.disconnections {
		bothSilent := d.silent && o.silent && o.aliveMillis <= d.atMillis && d.aliveMillis <= o.atMillis
		near := max(o.atMillis-d.atMillis, d.atMillis-o.atMillis) <= togetherMillis
		if o.service == d.service && (bothSilent || near) {
			list = append(list, o)
		}
	}
	return list
}

// inOutage reports whether the disconnection was part of an outage of its rack, zone or
// service, or of the network. Nothing had just started on many of the workers that an outage
// disconnects, whereas a task crashes its worker just after its start. When silent workers
// ended is not known so precisely, so for those their number decides: the connection to a
// worker that crashes usually breaks, that to one that is cut off or loses power does not.
// Workers that a common job may have crashed count as one.
func (l *CrashLog) inOutage(d *disconnection) bool {
	var rack, zone, service, silent []disconnection
	for _, o := range l.together(d) {
		service = append(service, o)
		if o.zone == d.zone {
			zone = append(zone, o)
		}
		if o.rack == d.rack {
			rack = append(rack, o)
		}
		if o.silent {
			silent = append(silent, o)
		}
	}
	if causes, _ := countCauses(silent); d.silent && causes >= minOutage {
		return true
	}
	return isOutage(rack) || isOutage(zone) || isOutage(service)
}

func isOutage(list []disconnection) bool {
	causes, unexplained := countCauses(list)
	return causes >= minOutage && unexplained*outageDivisor >= len(list)
}

// countCauses returns how many separate causes the disconnections have at least, and the number
// of those that no attempt explains because none had just started.
func countCauses(list []disconnection) (causes, unexplained int) {
	seen := map[string]bool{}
	for _, d := range list {
		known := false
		for key := range d.recent {
			known = known || seen[key.Job]
		}
		for key := range d.recent {
			seen[key.Job] = true
		}
		if len(d.recent) == 0 {
			unexplained++
		}
		if !known {
			causes++
		}
	}
	return causes, unexplained
}

// Crashes returns the number of crashes of which the task is suspected. A gang is
// suspected as a whole.
func (s *Step) Crashes(index int) int {
	crashes, _ := s.crashes(index)
	return crashes
}

func (s *Step) crashes(index int) (all, certain int) {
	if !s.Spec.Gang {
		return s.Tasks[index].Crashes, s.Tasks[index].CertainCrashes
	}
	for _, t := range s.Tasks {
		all, certain = max(all, t.Crashes), max(certain, t.CertainCrashes)
	}
	return all, certain
}

// CrashLimitReached reports whether the task is to be given up after its latest crash, of
// which it is suspected as given.
func (s *Step) CrashLimitReached(index int, suspicion Suspicion) bool {
	all, certain := s.crashes(index)
	return all >= maxCrashes || certain >= minCertainCrashes && (suspicion == Proven || all >= crashesWithoutProof)
}

// setCrashes sets the numbers of crashes of the task, which must not be done.
func (s *Step) setCrashes(t *Task, crashes, certain int) {
	if t.Crashes > 0 {
		s.suspects--
	}
	if crashes > 0 {
		s.suspects++
	}
	t.Crashes, t.CertainCrashes = crashes, certain
	if s.suspects == 0 {
		s.suspectsWaitSince = 0
	}
}

func (s *Step) hasSuspects() bool {
	return s.suspects > 0
}

// RunsSuspects reports whether tasks that are suspected of crashing workers are placed on the
// worker incarnation.
func (s *State) RunsSuspects(w WorkerKey) bool {
	if len(s.suspects) == 0 {
		return false
	}
	for key := range s.placements[w] {
		if s.Task(key).Crashes > 0 {
			return true
		}
	}
	return false
}

// ClearSurvivor returns the record that clears the task of its crashes, or false if it has
// none or its attempt has not run for long enough. The attempt ran at the Unix millisecond
// now according to its worker. The members of a gang are cleared one by one.
func (s *Step) ClearSurvivor(p *Placement, now int64) (Record, bool) {
	t := &s.Tasks[p.Task.Index]
	if t.Crashes == 0 || t.Done || !p.Confirmed || now-p.StartedMillis < clearMillis {
		return Record{}, false
	}
	r := s.TaskState(p.Task.Index)
	r.Crashes, r.CertainCrashes = 0, 0
	return r, true
}
