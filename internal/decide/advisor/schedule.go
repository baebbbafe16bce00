package advisor

import (
	"cmp"
	"slices"
)

const (
	// maxBacklogMillis is the expected time of the unanswered calls of a node up to which it gets a
	// further one: about a round trip between regions, so that the service need not wait for the
	// node's next call, and a small part of what urgent callers wait.
	maxBacklogMillis = 60
	// maxUnanswered is the maximum number of unanswered calls of a node. The service permits 32.
	maxUnanswered = 8
)

// Call identifies a call to the policy service.
type Call struct {
	node           string
	expectedMillis float64
}

// ExpectedMillis returns the time that the service is expected to take for the call.
func (c *Call) ExpectedMillis() float64 {
	return c.expectedMillis
}

// nodeCalls holds the unanswered calls of a node, the oldest first.
type nodeCalls struct {
	calls []*Call
	// since is the Unix millisecond at which the service began the first call at the earliest.
	since int64
}

// backlogMillis returns the expected time until the service has handled all of the calls.
func (n *nodeCalls) backlogMillis(now int64) float64 {
	if n == nil || len(n.calls) == 0 {
		return 0
	}
	total := 0.0
	for _, c := range n.calls {
		total += c.expectedMillis
	}
	return total - min(n.calls[0].expectedMillis, float64(now-n.since))
}

// Schedule tracks the unanswered calls to the policy service by the node through which they are
// sent. It is not safe for concurrent use. Create it with NewSchedule.
type Schedule struct {
	nodes       map[string]*nodeCalls
	pausedUntil map[string]int64
}

// NewSchedule returns a schedule without calls.
func NewSchedule() *Schedule {
	return &Schedule{
		nodes:       map[string]*nodeCalls{},
		pausedUntil: map[string]int64{},
	}
}

// Available returns those of the nodes that can take a further call at the Unix millisecond now, those
// with the smallest backlog first.
func (s *Schedule) Available(nodes []string, now int64) []string {
	type candidate struct {
		name          string
		backlogMillis float64
	}
	var candidates []candidate
	for _, name := range nodes {
		calls := s.nodes[name]
		backlogMillis := calls.backlogMillis(now)
		if now < s.pausedUntil[name] || backlogMillis > maxBacklogMillis || calls != nil && len(calls.calls) >= maxUnanswered {
			continue
		}
		candidates = append(candidates, candidate{
			name:          name,
			backlogMillis: backlogMillis,
		})
	}
	slices.SortStableFunc(candidates, func(a, b candidate) int {
		return cmp.Compare(a.backlogMillis, b.backlogMillis)
	})
	available := make([]string, len(candidates))
	for n, c := range candidates {
		available[n] = c.name
	}
	return available
}

// Start notes that a call is sent through the node. The call is expected to be answered after the
// returned number of milliseconds, which includes the node's earlier calls.
func (s *Schedule) Start(node string, expectedMillis float64, now int64) (call *Call, millis float64) {
	call = &Call{
		node:           node,
		expectedMillis: expectedMillis,
	}
	calls := s.nodes[node]
	if calls == nil {
		calls = &nodeCalls{since: now}
		s.nodes[node] = calls
	}
	calls.calls = append(calls.calls, call)
	return call, calls.backlogMillis(now)
}

// Finish notes that the call was answered or has failed.
func (s *Schedule) Finish(call *Call, now int64) {
	calls := s.nodes[call.node]
	calls.calls = slices.DeleteFunc(calls.calls, func(c *Call) bool {
		return c == call
	})
	calls.since = now
	if len(calls.calls) == 0 {
		delete(s.nodes, call.node)
	}
}

// Pause excludes the node until the Unix millisecond until, because it does not answer.
func (s *Schedule) Pause(node string, until, now int64) {
	for name, end := range s.pausedUntil {
		if end <= now {
			delete(s.pausedUntil, name)
		}
	}
	s.pausedUntil[node] = until
}

// BusyNodes returns the number of nodes with unanswered calls.
func (s *Schedule) BusyNodes() int {
	return len(s.nodes)
}
