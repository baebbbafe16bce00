package process

import (
	"cmp"
	"slices"
	"strings"

	"gotest.tools/v3/assert"

	"github.com/citronbay/citronbay/internal/standin/upstream"
)

// seenSpan is one run of a task as its upstream saw it.
type seenSpan struct {
	upstream.Span
	machine string
}

// spans returns all runs that the upstreams saw, in order of their begin.
func (c *cell) spans() []seenSpan {
	var all []seenSpan
	for name, m := range c.upstreams {
		for _, span := range m.state.Observe().Spans {
			all = append(all, seenSpan{
				Span:    span,
				machine: name,
			})
		}
	}
	slices.SortFunc(all, func(a, b seenSpan) int { return cmp.Compare(a.Begin, b.Begin) })
	return all
}

// logical returns what a task's attempts have in common: the job and index, or
// the request.
func logical(task string) string {
	return task[:strings.LastIndex(task, "/")]
}

// checkNoOverlap fails when two attempts at one task ran at the same time.
func (c *cell) checkNoOverlap() {
	c.t.Helper()
	open := map[string]seenSpan{}
	for _, span := range c.spans() {
		id := logical(span.Task)
		if before, ok := open[id]; ok {
			assert.Assert(c.t, before.End != 0 && before.End <= span.Begin, "%s ran on %s (%d to %d) and on %s (from %d)", id, before.machine, before.Begin, before.End, span.machine, span.Begin)
		}
		open[id] = span
	}
}

// starts returns how often attempts at the request began to run.
func (c *cell) starts(request string) int {
	n := 0
	for _, span := range c.spans() {
		if logical(span.Task) == "request/"+request {
			n++
		}
	}
	return n
}

// checkFilled fails when an upstream was, or was asked to be, over what it
// holds.
func (c *cell) checkFilled() {
	c.t.Helper()
	for name, m := range c.upstreams {
		assert.Equal(c.t, m.state.Observe().RefusedOverCapacity, 0, "%s was asked for more than it holds", name)
	}
}

// edge is the begin or end of a run.
type edge struct {
	at   int64
	step int
}

// peakRunning returns the greatest number of the team's tasks that ran at the
// same time across the fleet.
func (c *cell) peakRunning(team string) int {
	var edges []edge
	for _, span := range c.spans() {
		if span.Team != team {
			continue
		}
		edges = append(edges, edge{
			at:   span.Begin,
			step: 1,
		})
		if span.End != 0 {
			edges = append(edges, edge{
				at:   span.End,
				step: -1,
			})
		}
	}
	slices.SortFunc(edges, func(a, b edge) int {
		return cmp.Or(cmp.Compare(a.at, b.at), cmp.Compare(a.step, b.step))
	})
	running, peak := 0, 0
	for _, e := range edges {
		running += e.step
		peak = max(peak, running)
	}
	return peak
}

// checkCap fails when the team had more running at once than its cap.
func (c *cell) checkCap(team string, most int) {
	c.t.Helper()
	peak := c.peakRunning(team)
	assert.Assert(c.t, peak <= most, "team %s had %d running, its cap is %d", team, peak, most)
}

// runningNow returns how many tasks of the team the upstreams run now.
func (c *cell) runningNow(team string) int {
	n := 0
	for _, m := range c.upstreams {
		for _, owner := range m.state.Observe().Running {
			if owner == team {
				n++
			}
		}
	}
	return n
}
