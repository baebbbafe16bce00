package team

import (
	"github.com/citronbay/citronbay/internal/api/upstream"
)

// Ledger tracks the limit and the running tasks of each team. It is not safe for
// concurrent use.
type Ledger struct {
	accounts map[string]*account
}

type account struct {
	limit   int64
	ceiling int64 // negative if there is none
	running int64
	share   int64              // configured share, at least 1
	used    upstream.Resources // sum of the running tasks' sizes
}

// NewLedger returns a ledger in which no team may run anything.
func NewLedger() *Ledger {
	return &Ledger{accounts: map[string]*account{}}
}

func (l *Ledger) account(team string) *account {
	a, ok := l.accounts[team]
	if !ok {
		a = &account{
			share:   1,
			ceiling: -1,
		}
		l.accounts[team] = a
	}
	return a
}

// SetLimit sets how many tasks of the team may run, and the team's configured share,
// by which WeightedShare divides; a share below 1 is taken as 1.
func (l *Ledger) SetLimit(team string, limit, share int64) {
	a := l.account(team)
	a.limit = limit
	a.share = max(1, share)
}

// SetCeiling sets a second upper bound on the team's running tasks, for use while units
// are being freed or transferred to another shard; a negative ceiling removes it.
func (l *Ledger) SetCeiling(team string, ceiling int64) {
	l.account(team).ceiling = ceiling
}

// EffectiveLimit returns how many tasks of the team may run: the lower of the values
// set by SetLimit and SetCeiling.
func (l *Ledger) EffectiveLimit(team string) int64 {
	a := l.account(team)
	if a.ceiling >= 0 {
		return min(a.limit, a.ceiling)
	}
	return a.limit
}

// Running returns the number of the team's tasks that run, including those whose
// state is uncertain.
func (l *Ledger) Running(team string) int64 {
	return l.account(team).running
}

// Room returns how many more tasks of the team may start. It is negative if more
// run than the effective limit allows.
func (l *Ledger) Room(team string) int64 {
	return l.EffectiveLimit(team) - l.account(team).running
}

// Add counts a task that runs or may be running, even if it exceeds the effective
// limit.
func (l *Ledger) Add(team string, size upstream.Resources) {
	a := l.account(team)
	a.running++
	a.used = a.used.Plus(size)
}

// Remove stops counting a task that Add counted.
func (l *Ledger) Remove(team string, size upstream.Resources) {
	a := l.account(team)
	a.running--
	a.used = a.used.Minus(size)
}

// Teams returns the names of all teams with which any method was called, in no
// particular order.
func (l *Ledger) Teams() []string {
	names := make([]string, 0, len(l.accounts))
	for name := range l.accounts {
		names = append(names, name)
	}
	return names
}

// WeightedShare returns the team's dominant share divided by its configured share. The
// dominant share is the largest fraction of the capacity that the team uses of any one
// resource. The team with the lowest weighted share is served next (Ghodsi et al.,
// Dominant Resource Fairness, NSDI 2011).
func (l *Ledger) WeightedShare(team string, capacity upstream.Resources) float64 {
	a := l.account(team)
	dominant := max(
		fraction(a.used.MilliProcessors, capacity.MilliProcessors),
		fraction(a.used.MemoryBytes, capacity.MemoryBytes),
		fraction(a.used.Accelerators, capacity.Accelerators),
		fraction(a.used.Slots, capacity.Slots),
	)
	return dominant / float64(a.share)
}

func fraction(amount, whole int64) float64 {
	if whole == 0 {
		return 0
	}
	return float64(amount) / float64(whole)
}
