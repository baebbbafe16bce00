package shard

import (
	"sync"
	"time"
)

const (
	// budgetMost is how many retries may be saved up.
	budgetMost = 100
	// budgetFloor is how many retries a second are allowed whatever the load.
	budgetFloor = 10
)

// budget keeps retries to a part of all requests, so that failing owners are
// not met with a multiple of the load. Create it with newBudget.
type budget struct {
	mu     sync.Mutex
	tokens float64
	filled time.Time
}

func newBudget(now time.Time) *budget {
	return &budget{
		tokens: budgetMost,
		filled: now,
	}
}

// earn adds what one request allows: the given percentage of a retry.
func (b *budget) earn(percent int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.tokens = min(budgetMost, b.tokens+float64(percent)/100)
}

// spend takes one retry out, and reports whether there was one.
func (b *budget) spend(now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.tokens = min(budgetMost, b.tokens+now.Sub(b.filled).Seconds()*budgetFloor)
	b.filled = now
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}
