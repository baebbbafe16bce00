package peer

import (
	"math/rand/v2"
	"testing"

	"gotest.tools/v3/assert"
)

// takeAll takes slots for the holder until it gets no more, and returns their number.
func takeAll(s *shares[int], holder int) int {
	taken := 0
	for s.take(holder) {
		taken++
	}
	return taken
}

// TestSharesLeaveRoom lets holders take all that they get, one after another, and checks what is left for
// one that comes after them.
func TestSharesLeaveRoom(t *testing.T) {
	for name, c := range map[string]struct {
		limit, others int
		least         int // for the one that comes after them
	}{
		"alone":                      {limit: 512, least: 512 / 5},
		"alone, 64 MB":               {limit: 204, least: 40},
		"alone, least setting":       {limit: 8, least: 8 / 5},
		"after 3, least setting":     {limit: 8, others: 3, least: 1},
		"after one":                  {limit: 512, others: 1, least: 512 * 4 / 5 / 5},
		"after 8":                    {limit: 512, others: 8, least: 512 / 6 / 5}, // 0.8 to the power of 8 is more than a sixth
		"after 16":                   {limit: 512, others: 16, least: 1},
		"after 8 at a node of 64 MB": {limit: 204, others: 8, least: 204 / 6 / 5},
	} {
		t.Run(name, func(t *testing.T) {
			s := newShares[int](c.limit)
			for holder := range c.others {
				_ = takeAll(s, holder)
			}
			assert.Check(t, takeAll(s, c.others) >= c.least, "%d of %d taken", s.taken, s.limit)
		})
	}
}

// TestSharesAreBounded takes and returns slots at random and checks the limit, that a holder without
// a slot is refused only if none is free, and that holders without a slot are forgotten.
func TestSharesAreBounded(t *testing.T) {
	const limit, holders, steps = 64, 200, 100_000
	random := rand.New(rand.NewPCG(1, 2))
	s := newShares[int](limit)
	held := map[int]int{}
	total := 0
	for range steps {
		holder := random.IntN(1 + random.IntN(holders))
		if held[holder] > 0 && random.IntN(2) == 0 {
			s.giveBack(holder)
			held[holder]--
			total--
			continue
		}
		took := s.take(holder)
		assert.Equal(t, took, total < limit && (held[holder] == 0 || shareFraction*held[holder] < limit-total))
		if took {
			held[holder]++
			total++
		}
		assert.Assert(t, total <= limit && s.taken == total && len(s.held) <= total)
	}
	for holder, n := range held {
		for range n {
			s.giveBack(holder)
		}
	}
	assert.Assert(t, s.taken == 0 && len(s.held) == 0)
}

// TestUnprovedAddressesFitOneShare checks that none of those that need not prove their address is refused.
func TestUnprovedAddressesFitOneShare(t *testing.T) {
	for limit := 1; limit < 1000; limit++ {
		s := newShares[int](limit)
		for !s.isBeyondOne() {
			assert.Assert(t, s.take(0), "limit %d", limit)
		}
	}
}
