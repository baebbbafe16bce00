package process

import (
	"cmp"
	"slices"
	"strings"

	"gotest.tools/v3/assert"

	"github.com/citronbay/citronbay/internal/standin/upstream"
)

// observedSpan is one run of a task as its upstream saw it.
type observedSpan struct {
	upstream.Span
	upstream string
}

// spans returns all runs that the upstreams saw, in order of their begin.
func (c *cell) spans() []observedSpan {
	var all []observedSpan
	for name, m := range c.upstreams {
		for _, span := range m.state.Observe().Spans {
			all = append(all, observedSpan{
				Span:     span,
				upstream: name,
			})
		}
	}
	slices.SortFunc(all, func(a, b observedSpan) int { return cmp.Compare(a.Begin, b.Begin) })
	return all
}

// logicalTaskID returns what a task's attempts have in common: the job and index, or
// the request.
func logicalTaskID(taskID string) string {
	return taskID[:strings.LastIndex(taskID, "/")]
}

// checkNoOverlap fails when two attempts at one task ran at the same time.
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

// startCount returns how often attempts at the request began to run.
func (c *cell) startCount(request string) int {
	n := 0
	for _, span := range c.spans() {
		if logicalTaskID(span.Task) == "request/"+request {
			n++
		}
	}
	return n
}

// checkNoOverfill fails when an upstream was, or was asked to be, over what it
// holds.
func (c *cell) checkNoOverfill() {
	c.t.Helper()
	for name, m := range c.upstreams {
		assert.Equal(c.t, m.state.Observe().Overfilled, 0, "%s was asked for more than it holds", name)
	}
}

// edge is the begin or end of a run.
type edge struct {
	timeMillis int64
	delta      int
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

// checkCap fails when the team had more running at once than its cap.
func (c *cell) checkCap(team string, teamCap int) {
	c.t.Helper()
	peak := c.peakRunning(team)
	assert.Assert(c.t, peak <= teamCap, "team %s had %d running, its cap is %d", team, peak, teamCap)
}

// runningCount returns how many tasks of the team the upstreams run now.
func (c *cell) runningCount(team string) int {
	n := 0
	for _, m := range c.upstreams {
		for _, taskTeam := range m.state.Observe().Running {
			if taskTeam == team {
				n++
			}
		}
	}
	return n
}
