package team

import (
	"errors"

	"github.com/citronbay/citronbay/internal/api/operator"
)

// ErrStaleTerm refuses a change by an owner that another has replaced.
var ErrStaleTerm = errors.New("team: a later owner of the shard has written")

// ErrNothingMoves reports that a change would leave the units as they are.
var ErrNothingMoves = errors.New("team: no units can move")

// Cap is a team's cap; its revision counts the changes of it.
type Cap struct {
	Tasks    int64
	Revision int64
}

// Limit returns how many tasks the shard may run, out of a number of shards: the
// units that it holds, once they stand under the cap that it knows or a later
// one. After the cap was changed, what the shard sees of the others' units may
// be out of date, so it runs at most its equal part of the cap until the units
// are confirmed under it.
func Limit(units operator.Units, shard string, most Cap, shards int) int64 {
	held := units.Held[shard]
	if units.CapRevision >= most.Revision && units.Sum() <= units.Cap {
		return held
	}
	parts := max(1, shards, len(units.Held))
	return min(held, most.Tasks/int64(parts))
}

// ErrStaleCap refuses a change by an owner that does not know the newest cap.
var ErrStaleCap = errors.New("team: the units stand under a later cap")

// Confirm returns the units under the cap. It is refused with ErrStaleCap when
// they stand under a later one, and with ErrNothingMoves when they stand under
// this one or their sum is over it.
func Confirm(units operator.Units, most Cap) (operator.Units, error) {
	switch {
	case units.CapRevision > most.Revision:
		return units, ErrStaleCap
	case units.CapRevision == most.Revision || units.Sum() > most.Tasks:
		return units, ErrNothingMoves
	}
	return units.WithCap(most.Tasks, most.Revision), nil
}

// Claim returns the units, under the cap, with the shard's raised by up to want
// from those that no shard holds. It is refused with ErrStaleTerm when a later
// owner of the shard has written, with ErrStaleCap when the units stand under a
// later cap, and with ErrNothingMoves when none are free.
func Claim(units operator.Units, shard string, term int64, most Cap, want int64) (operator.Units, error) {
	if units.Terms[shard] > term {
		return units, ErrStaleTerm
	}
	if units.CapRevision > most.Revision {
		return units, ErrStaleCap
	}
	taken := min(want, max(0, most.Tasks-units.Sum()))
	if taken <= 0 {
		return units, ErrNothingMoves
	}
	return units.With(shard, units.Held[shard]+taken, term).WithCap(most.Tasks, most.Revision), nil
}

// Give returns the units with up to count moved from one shard to another. The
// giving owner must have lowered its own limit before. It is refused as Claim
// is; an empty name of the receiver frees the units.
func Give(units operator.Units, from, to string, term, count int64) (operator.Units, error) {
	if units.Terms[from] > term {
		return units, ErrStaleTerm
	}
	given := min(count, units.Held[from])
	if given <= 0 {
		return units, ErrNothingMoves
	}
	next := units.With(from, units.Held[from]-given, term)
	if to == "" {
		return next, nil
	}
	return next.With(to, next.Held[to]+given, next.Terms[to]), nil
}
