package team

import (
	"errors"

	"github.com/citronbay/citronbay/internal/api/operator"
)

// ErrStaleTerm refuses a change by an owner that another has replaced.
var ErrStaleTerm = errors.New("team: a later owner of the shard has written")

// ErrNothingMoves reports that a change would leave the units as they are.
var ErrNothingMoves = errors.New("team: no units can move")

// Limit returns how many tasks the shard may run under the cap: the units it
// holds, or, when a lowered cap is below the sum of all, at most its equal
// part of the cap, whatever the others do.
func Limit(units operator.Units, shard string, teamCap int64) int64 {
	held := units.Held[shard]
	if units.Sum() <= teamCap {
		return held
	}
	return min(held, teamCap/int64(max(1, len(units.Held))))
}

// Claim returns the units with the shard's raised by up to want from those
// that no shard holds. It is refused with ErrStaleTerm when a later owner of
// the shard has written, and with ErrNothingMoves when none are free.
func Claim(units operator.Units, shard string, term, teamCap, want int64) (operator.Units, error) {
	if units.Terms[shard] > term {
		return units, ErrStaleTerm
	}
	free := max(0, teamCap-units.Sum())
	taken := min(want, free)
	if taken <= 0 {
		return units, ErrNothingMoves
	}
	return units.With(shard, units.Held[shard]+taken, term), nil
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
