package main

import (
	"fmt"
	"sync"
	"time"
)

// watch sees what the runners start and end.
type watch struct {
	cell     *cell
	mu       sync.Mutex
	running  map[string]int       // runs by task
	lastEnd  map[string]time.Time // by task
	failures map[string]int       // ends failed, by task
	failed   map[string]bool      // by task and attempt
	starts   map[string]int       // by task
	problems []string
}

func newWatch(c *cell) *watch {
	return &watch{
		cell:     c,
		running:  map[string]int{},
		lastEnd:  map[string]time.Time{},
		failures: map[string]int{},
		failed:   map[string]bool{},
		starts:   map[string]int{},
	}
}

func (w *watch) begin(x *run, r *runner) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.running[x.task]++
	w.starts[x.task]++
	if w.running[x.task] > 1 {
		w.problems = append(w.problems, fmt.Sprintf("TWICE: two runs of %s, the second on %s", x.task, r.id))
	}
}

func (w *watch) end(x *run, how string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.running[x.task]--
	w.lastEnd[x.task] = time.Now()
	if how == "failed" {
		w.failures[x.task]++
		w.failed[fmt.Sprintf("%s/%d", x.task, x.attempt)] = true
	}
}

// lose notes that the runner has crashed under the run.
func (w *watch) lose(x *run, r *runner) {
	w.cell.note("lost %s attempt %d on %s", x.task, x.attempt, r.id)
	w.end(x, "lost")
}

// noted notes that an end was taken note of.
func (w *watch) noted(e ending) {
	w.cell.note("noted %s attempt %d %s", e.task, e.attempt, e.how)
}

// startsOf returns how many runs of the task have begun.
func (w *watch) startsOf(task string) int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.starts[task]
}

func (w *watch) failuresOf(task string) int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.failures[task]
}

// idleFor returns for how long the task has had no run, and 0 if it has one or has had none yet.
func (w *watch) idleFor(task string) time.Duration {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.running[task] > 0 || w.lastEnd[task].IsZero() {
		return 0
	}
	return time.Since(w.lastEnd[task])
}
