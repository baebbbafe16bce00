package team

import (
	"fmt"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/citronbay/citronbay/internal/api/operator"
)

// naiveCell keeps units as one number a shard and moves them one by one.
type naiveCell struct {
	cap  int64
	held map[string]int64
	term map[string]int64
}

func (n *naiveCell) sum() int64 {
	var sum int64
	for _, held := range n.held {
		sum += held
	}
	return sum
}

func (n *naiveCell) claim(shard string, term, want int64) {
	if term < n.term[shard] || want <= 0 || n.sum() >= n.cap {
		return
	}
	for range want {
		if n.sum() < n.cap {
			n.held[shard]++
		}
	}
	n.term[shard] = term
}

func (n *naiveCell) give(from, to string, term, count int64) {
	if term < n.term[from] || count <= 0 || n.held[from] == 0 {
		return
	}
	for range count {
		if n.held[from] == 0 {
			break
		}
		n.held[from]--
		if to != "" {
			n.held[to]++
		}
	}
	n.term[from] = term
}

func TestUnitsFollowTheNaiveVersion(t *testing.T) {
	shards := []string{"izmir-a", "manisa-b", "ankara-a"}
	rapid.Check(t, func(r *rapid.T) {
		units := operator.Units{}
		naive := &naiveCell{
			cap:  rapid.Int64Range(0, 20).Draw(r, "cap"),
			held: map[string]int64{},
			term: map[string]int64{},
		}
		for range rapid.IntRange(1, 40).Draw(r, "operations") {
			shard := rapid.SampledFrom(shards).Draw(r, "shard")
			to := rapid.SampledFrom(append(shards, "")).Draw(r, "to")
			term := rapid.Int64Range(0, 3).Draw(r, "term")
			count := rapid.Int64Range(0, 8).Draw(r, "count")
			if rapid.Bool().Draw(r, "claim") {
				if next, err := Claim(units, shard, term, naive.cap, count); err == nil {
					units = next
				}
				naive.claim(shard, term, count)
			} else if to != shard {
				if next, err := Give(units, shard, to, term, count); err == nil {
					units = next
				}
				naive.give(shard, to, term, count)
			}
			for _, name := range shards {
				if units.Held[name] != naive.held[name] {
					r.Fatalf("%s holds %d, the naive version %d", name, units.Held[name], naive.held[name])
				}
			}
			if units.Sum() > naive.cap {
				r.Fatalf("%d units are held under a cap of %d", units.Sum(), naive.cap)
			}
		}
	})
}

// TestLimitsNeverPassTheCap lets shards see the units at different revisions of
// which each saw its own last change, and a cap that was lowered.
func TestLimitsNeverPassTheCap(t *testing.T) {
	shards := []string{"izmir-a", "manisa-b", "ankara-a"}
	rapid.Check(t, func(r *rapid.T) {
		units := operator.Units{}
		teamCap := rapid.Int64Range(3, 30).Draw(r, "cap")
		for _, shard := range shards {
			want := rapid.Int64Range(0, 12).Draw(r, "want")
			if next, err := Claim(units, shard, 1, teamCap, want); err == nil {
				units = next
			} else {
				units = units.With(shard, 0, 1)
			}
		}
		lowered := rapid.Int64Range(0, teamCap).Draw(r, "lowered")
		views := map[string]operator.Units{}
		for _, shard := range shards {
			views[shard] = units
		}
		// Shards that have seen the lowered cap free what is over their limit;
		// others may still see the units as they were before.
		for range rapid.IntRange(0, 6).Draw(r, "steps") {
			shard := rapid.SampledFrom(shards).Draw(r, "shard")
			over := units.Held[shard] - Limit(units, shard, lowered)
			if next, err := Give(units, shard, "", 1, over); err == nil {
				units = next
			}
			views[shard] = units
			var sum int64
			for _, name := range shards {
				sum += Limit(views[name], name, lowered)
			}
			if sum > lowered {
				r.Fatalf("limits sum to %d under a cap of %d: views %v", sum, lowered, views)
			}
		}
	})
}

func TestLedgerCountsLimitAndCeiling(t *testing.T) {
	ledger := NewLedger()
	assert.Equal(t, ledger.Room("kiln"), int64(0))
	ledger.SetLimit("kiln", 5, 2)
	ledger.SetCeiling("kiln", 3)
	assert.Equal(t, ledger.Room("kiln"), int64(3))
	ledger.SetCeiling("kiln", -1)
	assert.Equal(t, ledger.Room("kiln"), int64(5))
}

func BenchmarkClaim(b *testing.B) {
	for _, shards := range []int{3, 12, 48} {
		b.Run(fmt.Sprintf("shards=%d", shards), func(b *testing.B) {
			units := operator.Units{}
			for i := range shards {
				units = units.With(fmt.Sprintf("shard-%d", i), 1, 1)
			}
			for b.Loop() {
				_, _ = Claim(units, "shard-1", 1, 1000, 1)
			}
		})
	}
}
