package node

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// TestSuccessorHasRoom names successors in cells of unlike VMs.
func TestSuccessorHasRoom(t *testing.T) {
	now := time.Now()
	near := func(address string, cores float64, age time.Duration) member {
		return member{
			address:     address,
			seen:        now,
			born:        now.Add(-age),
			storeMillis: 5,
			cores:       cores,
		}
	}
	far := near("far", 0.8, time.Second)
	far.storeMillis = 45
	unconnected := near("unconnected", 0.8, time.Millisecond)
	unconnected.storeMillis = 0
	silent := near("silent", 0.8, time.Millisecond)
	silent.seen = now.Add(-time.Minute)
	for name, c := range map[string]struct {
		members []member
		want    string
	}{
		"the strong one, though a weak one was started later": {
			members: []member{near("weak", 0.192, time.Second), near("strong", 0.8, time.Hour)},
			want:    "strong",
		},
		"the last started of equals": {
			members: []member{near("early", 0.4, time.Hour), near("late", 0.4, time.Minute)},
			want:    "late",
		},
		"a weak one near the store before a strong one in another region": {
			members: []member{near("weak", 0.192, time.Hour), far},
			want:    "weak",
		},
		"none that does not reach the store or is silent": {
			members: []member{near("weak", 0.192, time.Hour), unconnected, silent},
			want:    "weak",
		},
		"none": {},
	} {
		t.Run(name, func(t *testing.T) {
			n := newTestNode(t, "self", "10.0.0.1:7420")
			for _, m := range c.members {
				n.members[m.address] = m
			}
			assert.Equal(t, n.successor(), c.want)
		})
	}
}

// TestOwnershipGoesToMuchStrongerNodes tells when a node waits with its claim, and
// to whom it hands ownership over.
func TestOwnershipGoesToMuchStrongerNodes(t *testing.T) {
	for name, c := range map[string]struct {
		own, other float64
		weak       bool
	}{
		"weak among strong": {
			own:   0.192,
			other: 0.8,
			weak:  true,
		},
		"equal": {
			own:   0.4,
			other: 0.4,
		},
		"little stronger": {
			own:   0.4,
			other: 0.5,
		},
		"strong among weak": {
			own:   0.8,
			other: 0.192,
		},
	} {
		t.Run(name, func(t *testing.T) {
			n := newTestNode(t, "self", "10.0.0.1:7420")
			n.options.Cores = c.own
			n.roundTrip = 5 * time.Millisecond
			n.members["other"] = member{
				address:     "other",
				seen:        time.Now(),
				born:        time.Now(),
				storeMillis: 5,
				cores:       c.other,
			}
			assert.Equal(t, n.isWeak(), c.weak)
			assert.Equal(t, n.stronger() == "other", c.weak)
		})
	}
}
