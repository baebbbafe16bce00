package main

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

const (
	heartbeat = 1500 * time.Millisecond
	// maxHold and gangTimeout are maxHoldMs and gangTimeoutMs of the site files.
	maxHold     = 10 * time.Second
	gangTimeout = 3 * time.Second
)

// work is what the payload of a job tells the stand-in runners: how long a task runs, of how
// many members its gang consists (0: none), and after how much work it fails by its own fault
// (0: never).
type work struct {
	Millis     int64 `json:"ms"`
	Gang       int   `json:"gang,omitempty"`
	FailMillis int64 `json:"failMs,omitempty"`
}

// run is one attempt that a runner carries out.
type run struct {
	task    string
	attempt int
	work    work
	started time.Time
	timer   *time.Timer
	ended   bool
}

// ending is an attempt that has ended, as the runner lists it.
type ending struct {
	number  int64
	task    string
	attempt int
	how     string
}

// runner is one machine that runs tasks by the published protocol. It restarts under its ID.
type runner struct {
	cell     *cell
	id       string
	rack     string
	cpu, mem int64
	address  string
	// fails is set while the runner fails all that it starts.
	fails bool

	mu         sync.Mutex
	server     *http.Server
	up         bool
	born       int64
	bootedAt   time.Time
	sequence   int64
	token      int64
	leaseEnd   int64
	leaseTimer *time.Timer
	runs       map[string]*run
	highest    map[string]int
	ends       []ending
	lastEnd    int64
	changed    chan struct{}
}

func newRunner(c *cell, id, rack string, cpu, mem int64) *runner {
	r := &runner{
		cell:    c,
		id:      id,
		rack:    rack,
		cpu:     cpu,
		mem:     mem,
		changed: make(chan struct{}),
	}
	r.boot("127.0.0.1:0")
	go r.beat()
	return r
}

// boot starts an incarnation that knows nothing of the one before.
func (r *runner) boot(address string) {
	var listener net.Listener
	var err error
	for range 50 {
		if listener, err = net.Listen("tcp", address); err == nil {
			break
		}
		time.Sleep(10 * time.Millisecond)
	}
	if err != nil {
		r.cell.fatal("runner %s cannot listen: %v", r.id, err)
		return
	}
	r.mu.Lock()
	r.address = listener.Addr().String()
	r.up, r.bootedAt = true, time.Now()
	r.born = max(r.born+1, r.bootedAt.UnixMilli())
	r.token, r.leaseEnd, r.lastEnd = 0, 0, 0
	r.runs, r.highest, r.ends = map[string]*run{}, map[string]int{}, nil
	server := &http.Server{Handler: r.handler(r.born)}
	r.server = server
	r.mu.Unlock()
	go func() { _ = server.Serve(listener) }()
	r.register()
}

// register writes the runner's entry in the platform's store.
func (r *runner) register() {
	r.mu.Lock()
	if !r.up {
		r.mu.Unlock()
		return
	}
	r.sequence++
	entry := map[string]any{
		"service": serviceName, "address": r.address, "zone": "zone-a", "version": "1", "slots": 8,
		"state": "ready", "coldLeftMs": 0, "sequence": r.sequence, "born": r.born,
		"capacity": map[string]int64{"cpu": r.cpu, "memMb": r.mem, "gpu": 0},
		"labels":   []string{"a", r.rack},
	}
	r.mu.Unlock()
	r.cell.store.put("servers/"+r.id, entry)
}

func (r *runner) beat() {
	for {
		time.Sleep(heartbeat)
		r.register()
	}
}

// crash ends the incarnation with all its runs and connections. It reports false if the runner is
// down already.
func (r *runner) crash() bool {
	r.mu.Lock()
	if !r.up {
		r.mu.Unlock()
		return false
	}
	r.up = false
	var lost []*run
	for _, x := range r.runs {
		x.ended = true
		lost = append(lost, x)
		if x.timer != nil {
			x.timer.Stop()
		}
	}
	r.runs = map[string]*run{}
	if r.leaseTimer != nil {
		r.leaseTimer.Stop()
	}
	r.wake()
	server := r.server
	r.mu.Unlock()
	_ = server.Close()
	r.cell.note("crash %s with %d runs", r.id, len(lost))
	for _, x := range lost {
		r.cell.watch.lose(x, r)
	}
	return true
}

// crashFor is crash, and a restart under the same ID and address after the time.
func (r *runner) crashFor(down time.Duration) {
	if !r.crash() {
		return
	}
	time.Sleep(down)
	r.boot(r.address)
	r.cell.note("restart %s", r.id)
}

// runCount returns how many runs the runner has now.
func (r *runner) runCount() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.runs)
}

func (r *runner) clock() int64 {
	return time.Since(r.bootedAt).Milliseconds()
}

func (r *runner) wake() {
	close(r.changed)
	r.changed = make(chan struct{})
}

type startCall struct {
	Task           string `json:"task"`
	Attempt        int    `json:"attempt"`
	Spec           string `json:"spec"`
	UntilMS        int64  `json:"untilMs"`
	FencingToken   int64  `json:"fencingToken"`
	LastCheckpoint string `json:"lastCheckpoint"`
	LastSeen       int64  `json:"lastSeen"`
	WaitMS         int64  `json:"waitMs"`
}

// handler answers the calls to one incarnation.
func (r *runner) handler(born int64) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, q *http.Request) {
		if id := q.Header.Get("X-Citronbay-Expect-Instance"); id != "" && id != r.id {
			w.WriteHeader(http.StatusMisdirectedRequest)
			return
		}
		var call startCall
		if json.NewDecoder(q.Body).Decode(&call) != nil {
			w.WriteHeader(http.StatusBadRequest)
			return
		}
		if strings.HasSuffix(q.URL.Path, "/hold") {
			r.hold(w, q, call, born)
			return
		}
		r.mu.Lock()
		if !r.up || r.born != born {
			r.mu.Unlock()
			panic(http.ErrAbortHandler)
		}
		reason := ""
		if strings.HasSuffix(q.URL.Path, "/run-start") {
			reason = r.start(call)
		} else {
			reason = r.stop(call)
		}
		clock := r.clock()
		r.mu.Unlock()
		code, body := http.StatusOK, map[string]any{"clockMs": clock, "born": born}
		if reason != "" {
			code, body["reason"] = http.StatusConflict, reason
		}
		reply(w, code, body)
	})
}

// start carries out a start order, or returns why not; the caller holds r.mu.
func (r *runner) start(call startCall) string {
	switch x := r.runs[call.Task]; {
	case call.FencingToken < r.token:
		return "fence"
	case x != nil && x.attempt == call.Attempt:
		r.token = call.FencingToken
		return ""
	case x != nil, call.Attempt <= r.highest[call.Task]:
		return "old"
	case call.UntilMS <= r.clock():
		return "late"
	}
	r.token = call.FencingToken
	r.extend(call.UntilMS)
	x := &run{
		task:    call.Task,
		attempt: call.Attempt,
		started: time.Now(),
	}
	_ = json.Unmarshal([]byte(call.Spec), &x.work)
	r.runs[call.Task] = x
	r.cell.note("start %s attempt %d on %s", x.task, x.attempt, r.id)
	r.cell.watch.begin(x, r)
	if x.work.Gang > 0 {
		r.cell.gangs.join(x, r)
		return ""
	}
	if after, how := x.work.end(r.fails); after > 0 {
		x.timer = time.AfterFunc(after, func() { r.end(x, how) })
	}
	return ""
}

// end returns after what time, and how, a run with this work ends. After zero it lasts until it is
// stopped. A runner that fails all that it starts does so after 30 ms of work.
func (w work) end(runnerFails bool) (time.Duration, string) {
	switch {
	case runnerFails:
		return 30 * time.Millisecond, "failed"
	case w.FailMillis > 0:
		return randomPause(time.Duration(w.FailMillis) * time.Millisecond), "failed"
	}
	return time.Duration(w.Millis) * time.Millisecond, "done"
}

// end ends the run, unless it has ended, and reports whether it did.
func (r *runner) end(x *run, how string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.endLocked(x, how)
}

func (r *runner) endLocked(x *run, how string) bool {
	if x.ended || r.runs[x.task] != x {
		return false
	}
	x.ended = true
	if x.timer != nil {
		x.timer.Stop()
	}
	delete(r.runs, x.task)
	r.highest[x.task] = max(r.highest[x.task], x.attempt)
	r.lastEnd++
	r.ends = append(r.ends, ending{
		number:  r.lastEnd,
		task:    x.task,
		attempt: x.attempt,
		how:     how,
	})
	r.cell.note("end %s attempt %d on %s %s", x.task, x.attempt, r.id, how)
	r.cell.watch.end(x, how)
	r.wake()
	if x.work.Gang > 0 && how != "done" && how != "broken" {
		go r.cell.gangs.breakUp(x)
	}
	return true
}

// stop carries out a stop order; the caller holds r.mu.
func (r *runner) stop(call startCall) string {
	if call.FencingToken < r.token {
		return "fence"
	}
	r.token = call.FencingToken
	if x := r.runs[call.Task]; x != nil && x.attempt <= call.Attempt {
		r.endLocked(x, "stopped")
	}
	r.highest[call.Task] = max(r.highest[call.Task], call.Attempt)
	return ""
}

// extend moves the end of the lease, never back; the caller holds r.mu.
func (r *runner) extend(until int64) {
	until = min(until, r.clock()+maxHold.Milliseconds())
	if until <= r.leaseEnd {
		return
	}
	r.leaseEnd = until
	if r.leaseTimer != nil {
		r.leaseTimer.Stop()
	}
	born := r.born
	r.leaseTimer = time.AfterFunc(time.Duration(until-r.clock())*time.Millisecond, func() {
		r.mu.Lock()
		defer r.mu.Unlock()
		if r.born != born || !r.up {
			return
		}
		for _, x := range r.runs {
			r.endLocked(x, "lapsed")
		}
	})
}

func (r *runner) hold(w http.ResponseWriter, q *http.Request, call startCall, born int64) {
	timeout := time.After(time.Duration(min(call.WaitMS, 2000)) * time.Millisecond)
	waiting := call.WaitMS > 0
	for first := true; ; first = false {
		r.mu.Lock()
		if !r.up || r.born != born {
			r.mu.Unlock()
			panic(http.ErrAbortHandler)
		}
		if call.FencingToken < r.token {
			body := map[string]any{"clockMs": r.clock(), "born": born, "reason": "fence"}
			r.mu.Unlock()
			reply(w, http.StatusConflict, body)
			return
		}
		r.token = call.FencingToken
		if first {
			r.extend(call.UntilMS)
		}
		for len(r.ends) > 0 && r.ends[0].number <= call.LastSeen {
			r.cell.watch.noted(r.ends[0])
			r.ends = r.ends[1:]
		}
		if len(r.ends) > 0 || !waiting {
			break
		}
		changed := r.changed
		r.mu.Unlock()
		select {
		case <-changed:
		case <-timeout:
			waiting = false
		case <-q.Context().Done():
			return
		}
	}
	running, ended := [][]any{}, [][]any{}
	for _, x := range r.runs {
		running = append(running, []any{x.task, x.attempt, "", x.percent(), 0})
	}
	for _, e := range r.ends[:min(len(r.ends), 500)] {
		ended = append(ended, []any{e.number, e.task, e.attempt, e.how, ""})
	}
	body := map[string]any{"clockMs": r.clock(), "born": born, "running": running, "ended": ended}
	r.mu.Unlock()
	reply(w, http.StatusOK, body)
}

// percent returns how much of its work the run has done.
func (x *run) percent() int64 {
	if x.work.Millis <= 0 {
		return 0
	}
	return min(99, time.Since(x.started).Milliseconds()*100/x.work.Millis)
}

// gangs holds the runs of gangs, which work only together.
type gangs struct {
	mu      sync.Mutex
	present map[string]map[*run]*runner // by job, step and attempt
}

func gangKey(x *run) string {
	return fmt.Sprintf("%s/%d", x.task[:strings.LastIndex(x.task, ".")], x.attempt)
}

// join adds a member. Once all are present they work, until all end done together.
func (g *gangs) join(x *run, r *runner) {
	g.mu.Lock()
	defer g.mu.Unlock()
	key := gangKey(x)
	if g.present[key] == nil {
		g.present[key] = map[*run]*runner{}
	}
	g.present[key][x] = r
	if len(g.present[key]) < x.work.Gang {
		x.timer = time.AfterFunc(gangTimeout, func() { r.end(x, "alone") })
		return
	}
	for member, at := range g.present[key] {
		member, at := member, at
		after, how := member.work.end(at.fails)
		if member.timer != nil {
			member.timer.Stop()
		}
		member.timer = time.AfterFunc(after, func() { at.end(member, how) })
	}
}

// breakUp ends the other members of a gang after one has ended otherwise than done. They learn
// of it after a hop through the network.
func (g *gangs) breakUp(x *run) {
	time.Sleep(5 * time.Millisecond)
	g.mu.Lock()
	members := g.present[gangKey(x)]
	delete(g.present, gangKey(x))
	g.mu.Unlock()
	for member, at := range members {
		if member != x {
			at.end(member, "broken")
		}
	}
}
