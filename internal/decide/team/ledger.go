package team

import (
	"github.com/citronbay/citronbay/internal/api/upstream"
)

// Ledger counts, for each team, the tasks that may run and those that do. Its
// caller provides locking.
type Ledger struct {
	accounts map[string]*account
}

type account struct {
	limit   int64
	ceiling int64
	running int64
	share   int64
	used    upstream.Resources
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

// SetLimit sets how many tasks of the team may run, and its share.
func (l *Ledger) SetLimit(team string, limit, share int64) {
	a := l.account(team)
	a.limit = limit
	a.share = max(1, share)
}

// SetCeiling bounds the team further while units are being given away; a
// negative ceiling lifts the bound.
func (l *Ledger) SetCeiling(team string, ceiling int64) {
	l.account(team).ceiling = ceiling
}

// Limit returns how many tasks of the team may run.
func (l *Ledger) Limit(team string) int64 {
	a := l.account(team)
	if a.ceiling >= 0 {
		return min(a.limit, a.ceiling)
	}
	return a.limit
}

// Running returns how many tasks of the team run or may run.
func (l *Ledger) Running(team string) int64 {
	return l.account(team).running
}

// Room returns how many more tasks of the team may start.
func (l *Ledger) Room(team string) int64 {
	return l.Limit(team) - l.account(team).running
}

// Add counts a task that runs or may run, whatever the limit.
func (l *Ledger) Add(team string, size upstream.Resources) {
	a := l.account(team)
	a.running++
	a.used = a.used.Plus(size)
}

// Done counts the end of a task.
func (l *Ledger) Done(team string, size upstream.Resources) {
	a := l.account(team)
	a.running--
	a.used = a.used.Minus(size)
}

// Teams returns the names of all teams the ledger knows.
func (l *Ledger) Teams() []string {
	names := make([]string, 0, len(l.accounts))
	for name := range l.accounts {
		names = append(names, name)
	}
	return names
}

// Weight returns the team's dominant part of the capacity divided by its
// share; the team with the lowest weight is due next (Ghodsi et al., Dominant
// Resource Fairness, NSDI 2011).
func (l *Ledger) Weight(team string, capacity upstream.Resources) float64 {
	a := l.account(team)
	dominant := max(
		part(a.used.MilliProcessors, capacity.MilliProcessors),
		part(a.used.MemoryBytes, capacity.MemoryBytes),
		part(a.used.Accelerators, capacity.Accelerators),
		part(a.used.Slots, capacity.Slots),
	)
	return dominant / float64(a.share)
}

func part(amount, whole int64) float64 {
	if whole == 0 {
		return 0
	}
	return float64(amount) / float64(whole)
}
