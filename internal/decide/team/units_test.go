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
				if next, err := Claim(units, shard, term, Cap{Tasks: naive.cap}, count); err == nil {
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

// cell is a store with what each shard knows of it, at any lag.
type cell struct {
	caps    []Cap
	history []operator.Units
	// written is, by shard, the place in the history of its own last write;
	// sees is what it sees, its own writes at least, and knows the cap.
	written map[string]int
	sees    map[string]int
	knows   map[string]int
}

func (c *cell) units() operator.Units {
	return c.history[len(c.history)-1]
}

func (c *cell) write(shard string, next operator.Units, err error) {
	if err != nil {
		return
	}
	c.history = append(c.history, next)
	c.written[shard] = len(c.history) - 1
	c.sees[shard] = len(c.history) - 1
}

// TestLimitsNeverPassTheCap lets operators change the cap and shards claim, free,
// give and confirm units, each seeing units and cap at a lag of its own. Once all
// know the newest cap, their limits never sum to more, whatever they see of the
// units.
func TestLimitsNeverPassTheCap(t *testing.T) {
	shards := []string{"izmir-a", "manisa-b", "ankara-a"}
	rapid.Check(t, func(r *rapid.T) {
		c := &cell{
			caps: []Cap{{
				Tasks:    rapid.Int64Range(0, 30).Draw(r, "cap"),
				Revision: 1,
			}},
			history: []operator.Units{{}},
			written: map[string]int{},
			sees:    map[string]int{},
			knows:   map[string]int{},
		}
		for range rapid.IntRange(1, 60).Draw(r, "steps") {
			shard := rapid.SampledFrom(shards).Draw(r, "shard")
			most := c.caps[c.knows[shard]]
			switch rapid.IntRange(0, 6).Draw(r, "step") {
			case 0:
				c.caps = append(c.caps, Cap{
					Tasks:    rapid.Int64Range(0, 30).Draw(r, "cap"),
					Revision: int64(len(c.caps) + 1),
				})
			case 1:
				c.knows[shard] = rapid.IntRange(c.knows[shard], len(c.caps)-1).Draw(r, "knows")
			case 2:
				c.sees[shard] = rapid.IntRange(c.sees[shard], len(c.history)-1).Draw(r, "sees")
			case 3:
				next, err := Claim(c.units(), shard, 1, most, rapid.Int64Range(1, 10).Draw(r, "want"))
				c.write(shard, next, err)
			case 4:
				seen := c.history[c.sees[shard]]
				over := seen.Held[shard] - Limit(seen, shard, most, len(shards))
				next, err := Give(c.units(), shard, "", 1, over)
				c.write(shard, next, err)
			case 5:
				to := rapid.SampledFrom(shards).Draw(r, "to")
				if to != shard {
					next, err := Give(c.units(), shard, to, 1, rapid.Int64Range(1, 5).Draw(r, "count"))
					c.write(shard, next, err)
				}
			default:
				next, err := Confirm(c.units(), most)
				c.write(shard, next, err)
			}
			c.check(r, shards)
		}
	})
}

func (c *cell) check(r *rapid.T, shards []string) {
	newest := c.caps[len(c.caps)-1]
	var sum int64
	for _, shard := range shards {
		if c.knows[shard] != len(c.caps)-1 {
			return
		}
		sum += Limit(c.history[c.sees[shard]], shard, newest, len(shards))
	}
	if sum > newest.Tasks {
		r.Fatalf("limits sum to %d under a cap of %d: units %v, seen %v", sum, newest.Tasks, c.history, c.sees)
	}
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
				_, _ = Claim(units, "shard-1", 1, Cap{Tasks: 1000}, 1)
			}
		})
	}
}
