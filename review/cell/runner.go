package cell

import (
	"encoding/json"
	"fmt"
	"io"
	"math"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	// maxHold is the longest lease that runners grant.
	maxHold = 10 * time.Second
	// maxHoldWait is the longest wait of a poll for an end.
	maxHoldWait = 2 * time.Second
	// maxEndsPerReport is the number of ends that a report lists at most.
	maxEndsPerReport = 500
	// stopTime is how long a stop takes; the sites' sheets allow 200 ms.
	stopTime = 50 * time.Millisecond
	// heartbeat is the time between a runner's writes into the directory.
	heartbeat = 1500 * time.Millisecond
)

// Run is one run of a task, as its runner has seen it.
type Run struct {
	Task    string
	Attempt int
	Runner  string
	Born    int64
	Start   time.Time
	// End is zero while the run goes on.
	End time.Time
	// How is how the run ended; "crashed" if it ended with its runner.
	How string
}

// Runs holds all runs of a cell.
type Runs struct {
	mu   sync.Mutex
	list []*Run
	log  *Record
}

// List returns a copy of the runs so far, in the order of their starts.
func (r *Runs) List() []Run {
	r.mu.Lock()
	defer r.mu.Unlock()
	list := make([]Run, len(r.list))
	for n, run := range r.list {
		list[n] = *run
	}
	return list
}

// Of returns the runs of the job's tasks so far.
func (r *Runs) Of(jobID string) []Run {
	var list []Run
	for _, run := range r.List() {
		if strings.HasPrefix(run.Task, jobID+".") {
			list = append(list, run)
		}
	}
	return list
}

// Overlaps describes each pair of runs of one task that ran at the same time.
func (r *Runs) Overlaps() []string {
	byTask := map[string][]Run{}
	for _, run := range r.List() {
		byTask[run.Task] = append(byTask[run.Task], run)
	}
	var found []string
	for task, runs := range byTask {
		for n, a := range runs {
			for _, b := range runs[n+1:] {
				if a.End.IsZero() || b.Start.Before(a.End) {
					end := "it still runs there"
					if !a.End.IsZero() {
						end = fmt.Sprintf("there it ran until %.3f s (%s)", r.log.Seconds(a.End), a.How)
					}
					found = append(found, fmt.Sprintf("%s: attempt %d started at %s at %.3f s, attempt %d at %s at %.3f s; %s",
						task, b.Attempt, b.Runner, r.log.Seconds(b.Start), a.Attempt, a.Runner, r.log.Seconds(a.Start), end))
				}
			}
		}
	}
	return found
}

func (r *Runs) add(run *Run) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.list = append(r.list, run)
	r.log.Add("runner %s starts %s attempt %d", run.Runner, run.Task, run.Attempt)
}

func (r *Runs) end(run *Run, how string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	run.End, run.How = time.Now(), how
	r.log.Add("runner %s: %s attempt %d ends: %s", run.Runner, run.Task, run.Attempt, how)
}

type activeRun struct {
	run      *Run
	cpu      int64
	duration time.Duration // zero: it runs until it is stopped
	timer    *time.Timer
	stopping bool
}

type endedRun struct {
	number  int64
	task    string
	attempt int
	how     string
}

// RunnerSpec describes a runner.
type RunnerSpec struct {
	ID    string
	Kind  string
	CPU   int64 // thousandths of a core
	MemMB int64
	Rack  string
	Zone  string
	// ClockRate is the speed of the runner's steady clock; zero means 1.
	ClockRate float64
}

// Runner is a runner of the platform's protocol. The spec of a job that it runs begins with the
// duration of its tasks in milliseconds, as in "ms=2000"; without one they run until stopped.
type Runner struct {
	spec  RunnerSpec
	store *Store
	runs  *Runs
	log   *Record
	proxy *Proxy

	mu       sync.Mutex
	onHold   func()
	server   *http.Server
	born     int64
	origin   time.Time
	token    int64
	leaseEnd int64
	lease    *time.Timer
	active   map[string]*activeRun
	highest  map[string]int // the highest attempt stopped or ended, by task
	ended    []endedRun
	last     int64
	changed  chan struct{}
	up       bool
	closed   chan struct{}
}

// NewRunner starts a runner and registers it.
func NewRunner(spec RunnerSpec, store *Store, runs *Runs, log *Record) (*Runner, error) {
	r := &Runner{
		spec:   spec,
		store:  store,
		runs:   runs,
		log:    log,
		closed: make(chan struct{}),
	}
	if r.spec.ClockRate == 0 {
		r.spec.ClockRate = 1
	}
	if err := r.Begin(spec.Kind, spec.CPU); err != nil {
		return nil, err
	}
	go r.beat()
	return r, nil
}

// Capacity returns the runner's kind and thousandths of a core, and whether it is up.
func (r *Runner) Capacity() (kind string, cpu int64, up bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.spec.Kind, r.spec.CPU, r.up
}

// Zone returns the runner's zone.
func (r *Runner) Zone() string {
	return r.spec.Zone
}

// SetOnHold sets a function that is called, in a goroutine of its own, when a poll has been
// carried out and begins to wait.
func (r *Runner) SetOnHold(f func()) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.onHold = f
}

// ID returns the runner's id.
func (r *Runner) ID() string {
	return r.spec.ID
}

// Begin starts an incarnation of the given kind and capacity, which knows nothing of the one
// before, and registers it.
func (r *Runner) Begin(kind string, cpu int64) error {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	r.mu.Lock()
	r.spec.Kind, r.spec.CPU = kind, cpu
	r.origin = time.Now()
	r.born = max(r.born+1, r.origin.UnixMilli())
	r.token, r.leaseEnd, r.last = 0, 0, 0
	r.active, r.highest, r.ended = map[string]*activeRun{}, map[string]int{}, nil
	r.changed = make(chan struct{})
	r.up = true
	born := r.born
	r.server = &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, request *http.Request) {
		r.serve(w, request, born)
	})}
	server := r.server
	r.mu.Unlock()
	go func() { _ = server.Serve(listener) }()
	if r.proxy == nil {
		if r.proxy, err = NewProxy(listener.Addr().String()); err != nil {
			return err
		}
	} else {
		r.proxy.mu.Lock()
		r.proxy.target = listener.Addr().String()
		r.proxy.mu.Unlock()
	}
	r.log.Add("runner %s begins: born %d, kind %s, %d thousandths of a core", r.spec.ID, born, kind, cpu)
	r.register()
	return nil
}

// Crash ends the incarnation with all that it runs. A dark one does not close its connections.
func (r *Runner) Crash(dark bool) {
	if dark {
		r.proxy.Cut()
	}
	r.mu.Lock()
	r.up = false
	for task, a := range r.active {
		if a.timer != nil {
			a.timer.Stop()
		}
		delete(r.active, task)
		r.runs.end(a.run, "crashed")
	}
	if r.lease != nil {
		r.lease.Stop()
	}
	close(r.changed)
	r.changed = make(chan struct{})
	server := r.server
	r.mu.Unlock()
	_ = server.Close()
	if !dark {
		r.proxy.Reset()
	}
	r.log.Add("runner %s crashes (dark: %t)", r.spec.ID, dark)
}

// Restart begins a new incarnation after a crash, at the same address.
func (r *Runner) Restart(kind string, cpu int64) error {
	err := r.Begin(kind, cpu)
	r.proxy.Reset()
	r.proxy.Heal()
	return err
}

// Cut makes the paths between the runner and the nodes silent; the runner runs on.
func (r *Runner) Cut() {
	r.proxy.Cut()
	r.log.Add("runner %s is cut off from the nodes", r.spec.ID)
}

// Heal ends a cut.
func (r *Runner) Heal() {
	r.proxy.Heal()
	r.log.Add("runner %s is no longer cut off", r.spec.ID)
}

// Close stops the runner.
func (r *Runner) Close() {
	close(r.closed)
	r.mu.Lock()
	r.up = false
	if r.lease != nil {
		r.lease.Stop()
	}
	for _, a := range r.active {
		if a.timer != nil {
			a.timer.Stop()
		}
	}
	server := r.server
	r.mu.Unlock()
	_ = server.Close()
	r.proxy.Close()
}

// beat renews the runner's entry in the directory; that of a runner that is down lapses after
// three intervals.
func (r *Runner) beat() {
	silent := 0
	for {
		select {
		case <-r.closed:
			return
		case <-time.After(heartbeat):
		}
		r.mu.Lock()
		up := r.up
		r.mu.Unlock()
		if up {
			silent = 0
			continue // the entry has not changed
		}
		if silent++; silent == 3 {
			r.store.Delete("servers/" + r.spec.ID)
		}
	}
}

func (r *Runner) register() {
	r.mu.Lock()
	entry := map[string]any{
		"service":    Service,
		"address":    r.proxy.Address,
		"zone":       r.spec.Zone,
		"version":    "1",
		"slots":      8,
		"state":      "ready",
		"coldLeftMs": 0,
		"sequence":   1,
		"capacity":   map[string]int64{"cpu": r.spec.CPU, "memMb": r.spec.MemMB},
		"labels":     []string{r.spec.Kind, r.spec.Rack},
		"born":       r.born,
		"machine":    "m-" + r.spec.ID,
	}
	r.mu.Unlock()
	r.store.Put("servers/"+r.spec.ID, entry)
}

// clock returns the runner's steady clock in milliseconds.
func (r *Runner) clock() int64 {
	return int64(float64(time.Since(r.origin).Milliseconds()) * r.spec.ClockRate)
}

// realTime returns how long a time on the runner's clock takes.
func (r *Runner) realTime(millis int64) time.Duration {
	return time.Duration(float64(millis) / r.spec.ClockRate * float64(time.Millisecond))
}

// EndSoon ends the only active run of the task as done after the delay.
func (r *Runner) EndSoon(task string, delay time.Duration) {
	time.AfterFunc(delay, func() {
		r.mu.Lock()
		defer r.mu.Unlock()
		if r.active[task] != nil {
			r.endRun(task, "done")
		}
	})
}

func (r *Runner) serve(w http.ResponseWriter, request *http.Request, born int64) {
	body, err := io.ReadAll(request.Body)
	if err != nil {
		return
	}
	if expected := request.Header.Get("X-Citronbay-Expect-Instance"); expected != "" && expected != r.spec.ID {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	r.mu.Lock()
	if r.born != born || !r.up {
		r.mu.Unlock()
		panic(http.ErrAbortHandler)
	}
	switch strings.TrimPrefix(request.URL.Path, "/citronbay/") {
	case "run-start":
		code, reason := r.start(body)
		r.answer(w, code, reason)
	case "run-stop":
		code, reason := r.stop(body)
		r.answer(w, code, reason)
	case "hold":
		r.hold(w, request, body, born)
	default:
		r.mu.Unlock()
		w.WriteHeader(http.StatusNotFound)
	}
}

// answer releases r.mu and answers an order.
func (r *Runner) answer(w http.ResponseWriter, code int, reason string) {
	response := map[string]any{"clockMs": r.clock()}
	if reason != "" {
		response["reason"] = reason
	}
	r.mu.Unlock()
	reply(w, code, response)
}

func taskDuration(spec string) time.Duration {
	text, found := strings.CutPrefix(spec, "ms=")
	if !found {
		return 0
	}
	digits, _, _ := strings.Cut(text, " ")
	millis, err := strconv.Atoi(digits)
	if err != nil {
		return 0
	}
	return time.Duration(millis) * time.Millisecond
}

// start carries out a start order. The caller holds r.mu.
func (r *Runner) start(body []byte) (int, string) {
	var order struct {
		Task         string `json:"task"`
		Attempt      int    `json:"attempt"`
		Spec         string `json:"spec"`
		UntilMS      int64  `json:"untilMs"`
		FencingToken int64  `json:"fencingToken"`
	}
	if json.Unmarshal(body, &order) != nil || order.Attempt < 1 {
		return http.StatusBadRequest, ""
	}
	if order.FencingToken < r.token {
		return http.StatusConflict, "fence"
	}
	r.token = order.FencingToken
	if a := r.active[order.Task]; a != nil && a.run.Attempt == order.Attempt {
		return http.StatusOK, ""
	}
	if order.UntilMS <= r.clock() {
		return http.StatusConflict, "late"
	}
	r.extend(order.UntilMS)
	if order.Attempt <= r.highest[order.Task] || r.active[order.Task] != nil {
		return http.StatusConflict, "old"
	}
	a := &activeRun{
		run: &Run{
			Task:    order.Task,
			Attempt: order.Attempt,
			Runner:  r.spec.ID,
			Born:    r.born,
			Start:   time.Now(),
		},
		cpu:      1000,
		duration: taskDuration(order.Spec),
	}
	r.active[order.Task] = a
	r.runs.add(a.run)
	if a.duration > 0 {
		a.timer = time.AfterFunc(a.duration, func() {
			r.mu.Lock()
			defer r.mu.Unlock()
			if r.active[order.Task] == a {
				r.endRun(order.Task, "done")
			}
		})
	}
	return http.StatusOK, ""
}

// stop carries out a stop order. The caller holds r.mu.
func (r *Runner) stop(body []byte) (int, string) {
	var order struct {
		Task         string `json:"task"`
		Attempt      int    `json:"attempt"`
		FencingToken int64  `json:"fencingToken"`
	}
	if json.Unmarshal(body, &order) != nil {
		return http.StatusBadRequest, ""
	}
	if order.FencingToken < r.token {
		return http.StatusConflict, "fence"
	}
	r.token = order.FencingToken
	r.highest[order.Task] = max(r.highest[order.Task], order.Attempt)
	a := r.active[order.Task]
	if a == nil || a.run.Attempt > order.Attempt || a.stopping {
		return http.StatusOK, ""
	}
	a.stopping = true
	time.AfterFunc(stopTime, func() {
		r.mu.Lock()
		defer r.mu.Unlock()
		if r.active[order.Task] == a {
			r.endRun(order.Task, "stopped")
		}
	})
	return http.StatusOK, ""
}

// endRun ends the active run of the task. The caller holds r.mu.
func (r *Runner) endRun(task, how string) {
	a := r.active[task]
	if a.timer != nil {
		a.timer.Stop()
	}
	delete(r.active, task)
	r.highest[task] = max(r.highest[task], a.run.Attempt)
	r.last++
	r.ended = append(r.ended, endedRun{
		number:  r.last,
		task:    task,
		attempt: a.run.Attempt,
		how:     how,
	})
	r.runs.end(a.run, how)
	close(r.changed)
	r.changed = make(chan struct{})
}

// extend extends the lease to a time on the runner's clock, but never beyond maxHold. The caller
// holds r.mu.
func (r *Runner) extend(until int64) {
	until = min(until, r.clock()+maxHold.Milliseconds())
	if until <= r.leaseEnd {
		return
	}
	r.leaseEnd = until
	if r.lease != nil {
		r.lease.Stop()
	}
	born := r.born
	r.lease = time.AfterFunc(r.realTime(until-r.clock()), func() {
		r.mu.Lock()
		defer r.mu.Unlock()
		if r.born != born || !r.up {
			return
		}
		for task := range r.active {
			r.endRun(task, "lapsed")
		}
	})
}

// hold carries out a poll. The caller holds r.mu, which hold releases.
func (r *Runner) hold(w http.ResponseWriter, request *http.Request, body []byte, born int64) {
	var poll struct {
		FencingToken int64 `json:"fencingToken"`
		LastSeen     int64 `json:"lastSeen"`
		UntilMS      int64 `json:"untilMs"`
		WaitMS       int64 `json:"waitMs"`
	}
	if json.Unmarshal(body, &poll) != nil {
		r.mu.Unlock()
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	if poll.FencingToken < r.token {
		r.answer(w, http.StatusConflict, "fence")
		return
	}
	r.token = poll.FencingToken
	r.extend(poll.UntilMS)
	for len(r.ended) > 0 && r.ended[0].number <= poll.LastSeen {
		r.ended = r.ended[1:]
	}
	if r.onHold != nil {
		go r.onHold()
	}
	deadline := time.After(min(time.Duration(poll.WaitMS)*time.Millisecond, maxHoldWait))
	for waiting := poll.WaitMS > 0; waiting && len(r.ended) == 0; {
		changed := r.changed
		r.mu.Unlock()
		select {
		case <-changed:
		case <-deadline:
			waiting = false
		case <-request.Context().Done():
			return
		}
		r.mu.Lock()
		if r.born != born || !r.up {
			r.mu.Unlock()
			panic(http.ErrAbortHandler)
		}
	}
	running, ended := [][]any{}, [][]any{}
	for task, a := range r.active {
		percent := 0.0
		if a.duration > 0 {
			percent = math.Min(99, 100*float64(time.Since(a.run.Start))/float64(a.duration))
		}
		running = append(running, []any{task, a.run.Attempt, "", percent, a.cpu})
	}
	for _, e := range r.ended[:min(len(r.ended), maxEndsPerReport)] {
		ended = append(ended, []any{e.number, e.task, e.attempt, e.how, ""})
	}
	response := map[string]any{
		"clockMs": r.clock(),
		"born":    r.born,
		"running": running,
		"ended":   ended,
	}
	r.mu.Unlock()
	reply(w, http.StatusOK, response)
}
