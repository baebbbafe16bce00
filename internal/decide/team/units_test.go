package team

import (
	"fmt"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/citronbay/citronbay/internal/api/operator"
)

// unitsModel is a reference model: it holds one number for each shard and moves
// units one at a time.
type unitsModel struct {
	cap  int64
	held map[string]int64
	term map[string]int64
}

func (m *unitsModel) sum() int64 {
	var sum int64
	for _, held := range m.held {
		sum += held
	}
	return sum
}

func (m *unitsModel) claim(shard string, term, requested int64) {
	if term < m.term[shard] || requested <= 0 || m.sum() >= m.cap {
		return
	}
	for range requested {
		if m.sum() < m.cap {
			m.held[shard]++
		}
	}
	m.term[shard] = term
}

func (m *unitsModel) transfer(from, to string, term, count int64) {
	if term < m.term[from] || count <= 0 || m.held[from] == 0 {
		return
	}
	for range count {
		if m.held[from] == 0 {
			break
		}
		m.held[from]--
		if to != "" {
			m.held[to]++
		}
	}
	m.term[from] = term
}

func TestUnitsMatchModel(t *testing.T) {
	shards := []string{"izmir-a", "manisa-b", "ankara-a"}
	rapid.Check(t, func(r *rapid.T) {
		units := operator.Units{}
		model := &unitsModel{
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
				if next, err := Claim(units, shard, term, Cap{Tasks: model.cap}, count); err == nil {
					units = next
				}
				model.claim(shard, term, count)
			} else if to != shard {
				if next, err := Transfer(units, shard, to, term, count); err == nil {
					units = next
				}
				model.transfer(shard, to, term, count)
			}
			for _, name := range shards {
				if units.Held[name] != model.held[name] {
					r.Fatalf("%s holds %d, the model %d", name, units.Held[name], model.held[name])
				}
			}
			if units.Sum() > model.cap {
				r.Fatalf("%d units are held under a cap of %d", units.Sum(), model.cap)
			}
		}
	})
}

// laggedStore simulates a store that each shard reads with an arbitrary delay.
type laggedStore struct {
	caps    []Cap
	history []operator.Units
	// By shard: lastWritten is the index in history of the shard's last write,
	// lastSeen the index of the units that the shard sees, at least lastWritten,
	// and knownCap the index in caps of the cap that the shard knows.
	lastWritten map[string]int
	lastSeen    map[string]int
	knownCap    map[string]int
}

func (s *laggedStore) units() operator.Units {
	return s.history[len(s.history)-1]
}

func (s *laggedStore) write(shard string, next operator.Units, err error) {
	if err != nil {
		return
	}
	s.history = append(s.history, next)
	s.lastWritten[shard] = len(s.history) - 1
	s.lastSeen[shard] = len(s.history) - 1
}

// TestLimitsNeverPassTheCap changes the cap while shards claim, free, transfer and
// confirm units, each reading units and cap with its own delay. Once all shards
// know the newest cap, their limits must not sum to more than it, however stale
// the units that they see.
func TestLimitsNeverPassTheCap(t *testing.T) {
	shards := []string{"izmir-a", "manisa-b", "ankara-a"}
	rapid.Check(t, func(r *rapid.T) {
		store := &laggedStore{
			caps: []Cap{{
				Tasks:    rapid.Int64Range(0, 30).Draw(r, "cap"),
				Revision: 1,
			}},
			history:     []operator.Units{{}},
			lastWritten: map[string]int{},
			lastSeen:    map[string]int{},
			knownCap:    map[string]int{},
		}
		for range rapid.IntRange(1, 60).Draw(r, "steps") {
			shard := rapid.SampledFrom(shards).Draw(r, "shard")
			knownCap := store.caps[store.knownCap[shard]]
			switch rapid.IntRange(0, 6).Draw(r, "step") {
			case 0:
				store.caps = append(store.caps, Cap{
					Tasks:    rapid.Int64Range(0, 30).Draw(r, "cap"),
					Revision: int64(len(store.caps) + 1),
				})
			case 1:
				store.knownCap[shard] = rapid.IntRange(store.knownCap[shard], len(store.caps)-1).Draw(r, "knows")
			case 2:
				store.lastSeen[shard] = rapid.IntRange(store.lastSeen[shard], len(store.history)-1).Draw(r, "sees")
			case 3:
				next, err := Claim(store.units(), shard, 1, knownCap, rapid.Int64Range(1, 10).Draw(r, "want"))
				store.write(shard, next, err)
			case 4:
				seen := store.history[store.lastSeen[shard]]
				excess := seen.Held[shard] - Limit(seen, shard, knownCap, len(shards))
				next, err := Transfer(store.units(), shard, "", 1, excess)
				store.write(shard, next, err)
			case 5:
				to := rapid.SampledFrom(shards).Draw(r, "to")
				if to != shard {
					next, err := Transfer(store.units(), shard, to, 1, rapid.Int64Range(1, 5).Draw(r, "count"))
					store.write(shard, next, err)
				}
			default:
				next, err := Confirm(store.units(), knownCap)
				store.write(shard, next, err)
			}
			store.check(r, shards)
		}
	})
}

func (s *laggedStore) check(r *rapid.T, shards []string) {
	newest := s.caps[len(s.caps)-1]
	var sum int64
	for _, shard := range shards {
		if s.knownCap[shard] != len(s.caps)-1 {
			return
		}
		sum += Limit(s.history[s.lastSeen[shard]], shard, newest, len(shards))
	}
	if sum > newest.Tasks {
		r.Fatalf("limits sum to %d under a cap of %d: units %v, seen %v", sum, newest.Tasks, s.history, s.lastSeen)
	}
}

func TestLedgerRoom(t *testing.T) {
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
