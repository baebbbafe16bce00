package advisor_test

import (
	"fmt"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/citronbay/citronbay/internal/decide/advisor"
)

// oneAtATime is the plain version of a schedule: a node gets a call once the one before is answered.
type oneAtATime map[string]bool

// lastAnswerMillis returns when the last of the calls is answered that a burst needs at the same time,
// if the service takes serviceMillis for each and roundTripMillis pass on the way.
func lastAnswerMillis(nodes []string, calls int, serviceMillis, roundTripMillis int64, schedule *advisor.Schedule) int64 {
	type flight struct {
		node     string
		call     *advisor.Call
		answerAt int64
	}
	busy := oneAtATime{}
	serviceFree := map[string]int64{}
	var flights []flight
	for now := int64(0); ; now++ {
		var remaining []flight
		for _, f := range flights {
			if f.answerAt > now {
				remaining = append(remaining, f)
				continue
			}
			delete(busy, f.node)
			if schedule != nil {
				schedule.Finish(f.call, now)
			}
		}
		flights = remaining
		available := nodes
		if schedule != nil {
			available = schedule.Available(nodes, now)
		}
		for _, node := range available {
			if calls == 0 || schedule == nil && busy[node] {
				continue
			}
			calls--
			busy[node] = true
			f := flight{node: node}
			if schedule != nil {
				f.call, _ = schedule.Start(node, float64(serviceMillis), now)
			}
			serviceFree[node] = max(serviceFree[node], now+roundTripMillis/2) + serviceMillis
			f.answerAt = serviceFree[node] + roundTripMillis/2
			flights = append(flights, f)
		}
		if calls == 0 && len(flights) == 0 {
			return now
		}
	}
}

// TestBurstOfUrgentJobsKeepsServiceBusy replays two seconds of a burst: 600 jobs of three tasks, each of
// which needs a call, while the round trip takes several times as long as the service. The callers
// expect a result within 1.3 s, of which the work takes 0.5 s.
func TestBurstOfUrgentJobsKeepsServiceBusy(t *testing.T) {
	nodes := make([]string, 37)
	for n := range nodes {
		nodes[n] = fmt.Sprintf("node%d", n)
	}
	for name, c := range map[string]struct {
		calls                          int
		serviceMillis, roundTripMillis int64
		atMostMillis                   int64
		plainAtLeast                   int64
	}{
		"short calls, between regions": {
			calls:           600,
			serviceMillis:   11,
			roundTripMillis: 66,
			atMostMillis:    400,
			plainAtLeast:    1200,
		},
		"short calls, nearby": {
			calls:           600,
			serviceMillis:   11,
			roundTripMillis: 4,
			atMostMillis:    260,
			plainAtLeast:    250,
		},
		"long calls": {
			calls:           74,
			serviceMillis:   1000,
			roundTripMillis: 66,
			atMostMillis:    2080,
			plainAtLeast:    2100,
		},
	} {
		t.Run(name, func(t *testing.T) {
			plain := lastAnswerMillis(nodes, c.calls, c.serviceMillis, c.roundTripMillis, nil)
			scheduled := lastAnswerMillis(nodes, c.calls, c.serviceMillis, c.roundTripMillis, advisor.NewSchedule())
			assert.Assert(t, scheduled <= c.atMostMillis, "%d ms", scheduled)
			assert.Assert(t, plain >= c.plainAtLeast, "the plain version takes %d ms", plain)
		})
	}
}

// TestAvailable guards against urgent calls behind long ones, and against calls that the service
// refuses because too many wait.
func TestAvailable(t *testing.T) {
	for name, c := range map[string]struct {
		expectedMillis []float64 // of the calls through node "a"
		pausedUntil    int64
		now            int64
		available      []string
	}{
		"idle":                    {available: []string{"a", "b"}},
		"short call":              {expectedMillis: []float64{20}, available: []string{"b", "a"}},
		"long call":               {expectedMillis: []float64{500}, now: 100, available: []string{"b"}},
		"long call about to end":  {expectedMillis: []float64{500}, now: 450, available: []string{"b", "a"}},
		"many short calls":        {expectedMillis: []float64{1, 1, 1, 1, 1, 1, 1, 1}, available: []string{"b"}},
		"late answer":             {expectedMillis: []float64{20, 50}, now: 5000, available: []string{"b", "a"}},
		"paused":                  {pausedUntil: 10, now: 9, available: []string{"b"}},
		"paused until a time ago": {pausedUntil: 10, now: 10, available: []string{"a", "b"}},
	} {
		t.Run(name, func(t *testing.T) {
			s := advisor.NewSchedule()
			for _, millis := range c.expectedMillis {
				s.Start("a", millis, 0)
			}
			s.Pause("a", c.pausedUntil, 0)
			assert.DeepEqual(t, s.Available([]string{"a", "b"}, c.now), c.available)
		})
	}
}
