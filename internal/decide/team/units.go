package team

import (
	"errors"

	"github.com/citronbay/citronbay/internal/api/operator"
)

// ErrStaleTerm reports a change by an owner that has been replaced.
var ErrStaleTerm = errors.New("team: a newer owner of the shard has written its units")

// ErrNoChange reports that a change would leave the units as they are.
var ErrNoChange = errors.New("team: the units would not change")

// Cap is a team's cap.
type Cap struct {
	// Tasks is the number of tasks that may run in all shards together.
	Tasks int64
	// Revision increases with each change of the cap.
	Revision int64
}

// Limit returns how many tasks the shard, one of the given number of shards, may
// run. teamCap is the newest cap that the shard knows. If the units are recorded under
// that cap or a newer one, and their sum is within the recorded cap, the limit is the
// number of units that the shard holds. Otherwise it is the lower of that number and an
// equal part of teamCap: after a change of the cap, the shard's copy of the other shards'
// units may be stale until the units are confirmed under the new cap.
func Limit(units operator.Units, shard string, teamCap Cap, shards int) int64 {
	held := units.Held[shard]
	if units.CapRevision >= teamCap.Revision && units.Sum() <= units.Cap {
		return held
	}
	parts := max(1, shards, len(units.Held))
	return min(held, teamCap.Tasks/int64(parts))
}

// ErrStaleCap reports a change by an owner that does not know the newest cap.
var ErrStaleCap = errors.New("team: the units are recorded under a newer cap")

// Confirm returns the units with teamCap recorded as their cap. The error is
// ErrStaleCap if a newer cap is recorded, and ErrNoChange if teamCap is recorded
// already or the sum of the units exceeds it.
func Confirm(units operator.Units, teamCap Cap) (operator.Units, error) {
	switch {
	case units.CapRevision > teamCap.Revision:
		return units, ErrStaleCap
	case units.CapRevision == teamCap.Revision || units.Sum() > teamCap.Tasks:
		return units, ErrNoChange
	}
	return units.WithCap(teamCap.Tasks, teamCap.Revision), nil
}

// Claim returns the units with up to the requested number of free units added to the
// shard's and teamCap recorded as their cap. The term is that of the shard's owner who
// claims. The error is ErrStaleTerm if a newer owner of the shard has written its
// units, ErrStaleCap if a newer cap is recorded, and ErrNoChange if no units are free
// or none is requested.
func Claim(units operator.Units, shard string, term int64, teamCap Cap, requested int64) (operator.Units, error) {
	if units.Terms[shard] > term {
		return units, ErrStaleTerm
	}
	if units.CapRevision > teamCap.Revision {
		return units, ErrStaleCap
	}
	claimed := min(requested, max(0, teamCap.Tasks-units.Sum()))
	if claimed <= 0 {
		return units, ErrNoChange
	}
	return units.With(shard, units.Held[shard]+claimed, term).WithCap(teamCap.Tasks, teamCap.Revision), nil
}

// Transfer returns the units with up to count of them moved from one shard to
// another, or freed if to is empty. The term is that of the owner of from, which must
// lower its own limit before the transfer is stored. The error is ErrStaleTerm if a
// newer owner of from has written its units, and ErrNoChange if from holds no units or
// count is not positive.
func Transfer(units operator.Units, from, to string, term, count int64) (operator.Units, error) {
	if units.Terms[from] > term {
		return units, ErrStaleTerm
	}
	moved := min(count, units.Held[from])
	if moved <= 0 {
		return units, ErrNoChange
	}
	next := units.With(from, units.Held[from]-moved, term)
	if to == "" {
		return next, nil
	}
	return next.With(to, next.Held[to]+moved, next.Terms[to]), nil
}
