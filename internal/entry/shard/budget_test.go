package shard

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

func TestRetriesStayWithinTheirPartOfRequests(t *testing.T) {
	for name, test := range map[string]struct {
		requests int
		percent  int
		elapsed  time.Duration
		want     int
	}{
		"nothing earned":   {0, 10, 0, budgetMost},
		"part of requests": {500, 10, 0, budgetMost + 50},
		"floor over time":  {0, 0, 2 * time.Second, budgetMost + 2*budgetFloor},
		"saved up to most": {1_000_000, 10, time.Hour, 2 * budgetMost},
	} {
		t.Run(name, func(t *testing.T) {
			now := time.Now()
			b := newBudget(now)
			spent := 0
			for b.spend(now) {
				spent++
			}
			for range test.requests {
				b.earn(test.percent)
			}
			for b.spend(now.Add(test.elapsed)) {
				spent++
			}
			assert.Assert(t, spent >= test.want-1 && spent <= test.want, "%d were spent", spent)
		})
	}
}
