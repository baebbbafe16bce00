package peer

// shareFraction is the part of the free slots below which a holder may take another.
const shareFraction = 4

// shares divides a limited number of slots among any number of holders. A holder may take another slot
// while it holds less than a quarter of those that are free, so that it gets a fifth of all at the most, and
// each further one a fifth of what the others leave (dynamic thresholds; A. K. Choudhury and E. L. Hahne,
// IEEE/ACM Transactions on Networking 6(2), 1998). A limit for each holder by itself would be as strict
// while no other needs a slot. Create it with newShares.
type shares[K comparable] struct {
	limit int
	taken int
	held  map[K]int // only of holders that have a slot
}

func newShares[K comparable](limit int) *shares[K] {
	return &shares[K]{
		limit: limit,
		held:  map[K]int{},
	}
}

// take takes a slot for the holder. It reports false if the holder may have none.
func (s *shares[K]) take(holder K) bool {
	if shareFraction*s.held[holder] >= s.limit-s.taken {
		return false
	}
	s.taken++
	s.held[holder]++
	return true
}

// giveBack returns a slot that the holder has taken.
func (s *shares[K]) giveBack(holder K) {
	s.taken--
	s.held[holder]--
	if s.held[holder] == 0 {
		delete(s.held, holder)
	}
}

// isBeyondOne reports whether more slots are taken than one holder always gets.
func (s *shares[K]) isBeyondOne() bool {
	return (shareFraction+1)*s.taken >= s.limit
}
