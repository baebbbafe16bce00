package shard

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

func TestRetryBudgetAllowsPercentageOfRequests(t *testing.T) {
	for name, test := range map[string]struct {
		requests int
		percent  int
		elapsed  time.Duration
		want     int
	}{
		"no requests":            {0, 10, 0, maxSavedRetries},
		"percentage of requests": {500, 10, 0, maxSavedRetries + 50},
		"minimum rate":           {0, 0, 2 * time.Second, maxSavedRetries + 2*minRetriesPerSecond},
		"saved up to maximum":    {1_000_000, 10, time.Hour, 2 * maxSavedRetries},
	} {
		t.Run(name, func(t *testing.T) {
			now := time.Now()
			b := newRetryBudget(now)
			allowed := 0
			for b.tryWithdraw(now) {
				allowed++
			}
			for range test.requests {
				b.deposit(test.percent)
			}
			for b.tryWithdraw(now.Add(test.elapsed)) {
				allowed++
			}
			assert.Assert(t, allowed >= test.want-1 && allowed <= test.want, "%d retries were allowed", allowed)
		})
	}
}
