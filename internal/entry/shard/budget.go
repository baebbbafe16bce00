package shard

import (
	"sync"
	"time"
)

const (
	// maxSavedRetries bounds the number of unused retries that are kept for later.
	maxSavedRetries = 100
	// minRetriesPerSecond is the rate at which retries are added to the budget
	// however few requests there are.
	minRetriesPerSecond = 10
)

// retryBudget is a token bucket that limits retries to a percentage of all
// requests plus minRetriesPerSecond, so that retries do not multiply the load on
// failing owners.
type retryBudget struct {
	mu         sync.Mutex
	tokens     float64
	lastRefill time.Time
}

func newRetryBudget(now time.Time) *retryBudget {
	return &retryBudget{
		tokens:     maxSavedRetries,
		lastRefill: now,
	}
}

// deposit adds percent/100 of a retry; it is called once for each request.
func (b *retryBudget) deposit(percent int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.tokens = min(maxSavedRetries, b.tokens+float64(percent)/100)
}

// tryWithdraw takes one retry from the budget and reports whether one was left.
func (b *retryBudget) tryWithdraw(now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.tokens = min(maxSavedRetries, b.tokens+now.Sub(b.lastRefill).Seconds()*minRetriesPerSecond)
	b.lastRefill = now
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}
