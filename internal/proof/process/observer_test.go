package process

import (
	"cmp"
	"slices"
	"strings"

	"gotest.tools/v3/assert"

	"github.com/citronbay/citronbay/internal/standin/upstream"
)

// observedSpan is one run of a task, as recorded by the named upstream.
type observedSpan struct {
	upstream.Span
	upstream string
}

// spans returns all runs that the upstreams recorded, by start time.
func (c *cell) spans() []observedSpan {
	var all []observedSpan
	for name, u := range c.upstreams {
		for _, span := range u.state.Observe().Spans {
			all = append(all, observedSpan{
				Span:     span,
				upstream: name,
			})
		}
	}
	slices.SortFunc(all, func(a, b observedSpan) int { return cmp.Compare(a.Begin, b.Begin) })
	return all
}

// logicalTaskID returns the part of a task's id that all its attempts share: the
// job and index, or the request.
func logicalTaskID(taskID string) string {
	return taskID[:strings.LastIndex(taskID, "/")]
}

// checkNoOverlap fails if two attempts at one task ran at the same time.
func (c *cell) checkNoOverlap() {
	c.t.Helper()
	latest := map[string]observedSpan{}
	for _, span := range c.spans() {
		id := logicalTaskID(span.Task)
		if previous, ok := latest[id]; ok {
			assert.Assert(c.t, previous.End != 0 && previous.End <= span.Begin, "%s ran on %s (%d to %d) and on %s (from %d)", id, previous.upstream, previous.Begin, previous.End, span.upstream, span.Begin)
		}
		latest[id] = span
	}
}

// startCount returns how many attempts at the request started.
func (c *cell) startCount(request string) int {
	n := 0
	for _, span := range c.spans() {
		if logicalTaskID(span.Task) == "request/"+request {
			n++
		}
	}
	return n
}

// checkNoOverfill fails if an upstream was asked to start a task beyond its
// capacity, which it refuses.
func (c *cell) checkNoOverfill() {
	c.t.Helper()
	for name, u := range c.upstreams {
		assert.Equal(c.t, u.state.Observe().RefusedOverCapacity, 0, "%s was asked to run more than its capacity", name)
	}
}

// edge is the start or the end of a run, at a Unix time, with the change of the number
// of running tasks.
type edge struct {
	timeMillis int64
	delta      int
}

// peakRunning returns the maximum number of the team's tasks that ran at the
// same time on all upstreams together.
func (c *cell) peakRunning(team string) int {
	var edges []edge
	for _, span := range c.spans() {
		if span.Team != team {
			continue
		}
		edges = append(edges, edge{
			timeMillis: span.Begin,
			delta:      1,
		})
		if span.End != 0 {
			edges = append(edges, edge{
				timeMillis: span.End,
				delta:      -1,
			})
		}
	}
	// A task may start in the millisecond in which another ends: ends come first.
	slices.SortFunc(edges, func(a, b edge) int {
		return cmp.Or(cmp.Compare(a.timeMillis, b.timeMillis), cmp.Compare(a.delta, b.delta))
	})
	running, peak := 0, 0
	for _, e := range edges {
		running += e.delta
		peak = max(peak, running)
	}
	return peak
}

// checkCap fails if more of the team's tasks ran at the same time than its cap.
func (c *cell) checkCap(team string, teamCap int) {
	c.t.Helper()
	peak := c.peakRunning(team)
	assert.Assert(c.t, peak <= teamCap, "team %s had %d running, its cap is %d", team, peak, teamCap)
}

// runningCount returns how many of the team's tasks the upstreams run now.
func (c *cell) runningCount(team string) int {
	n := 0
	for _, u := range c.upstreams {
		for _, taskTeam := range u.state.Observe().Running {
			if taskTeam == team {
				n++
			}
		}
	}
	return n
}
