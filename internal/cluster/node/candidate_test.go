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
			address:              address,
			lastHello:            now,
			started:              now.Add(-age),
			storeRoundTripMillis: 5,
			cores:                cores,
		}
	}
	far := near("far", 0.8, time.Second)
	far.storeRoundTripMillis = 45
	unconnected := near("unconnected", 0.8, time.Millisecond)
	unconnected.storeRoundTripMillis = 0
	silent := near("silent", 0.8, time.Millisecond)
	silent.lastHello = now.Add(-time.Minute)
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
			assert.Equal(t, n.chooseSuccessor(), c.want)
		})
	}
}

// TestOwnershipGoesToBetterNodes tells when a node waits with its claim, and when it
// hands ownership over.
func TestOwnershipGoesToBetterNodes(t *testing.T) {
	const near, far = 5, 45 // milliseconds to the store
	for name, c := range map[string]struct {
		own, other             float64
		ownMillis, otherMillis float64
		weak, hand             bool
	}{
		"weak among strong": {
			own:         0.192,
			ownMillis:   near,
			other:       0.8,
			otherMillis: near,
			weak:        true,
			hand:        true,
		},
		"equal": {
			own:         0.4,
			ownMillis:   near,
			other:       0.4,
			otherMillis: near,
		},
		"little stronger": {
			own:         0.4,
			ownMillis:   near,
			other:       0.5,
			otherMillis: near,
		},
		"strong among weak": {
			own:         0.8,
			ownMillis:   near,
			other:       0.192,
			otherMillis: near,
		},
		"strong and far from the store": {
			own:         0.8,
			ownMillis:   far,
			other:       0.8,
			otherMillis: near,
			hand:        true,
		},
		"store on the same machine": {
			own:         0.4,
			ownMillis:   2,
			other:       0.4,
			otherMillis: 0.2,
		},
		"weak and near, the strong one far": {
			own:         0.192,
			ownMillis:   near,
			other:       0.8,
			otherMillis: far,
		},
	} {
		t.Run(name, func(t *testing.T) {
			n := newTestNode(t, "self", "10.0.0.1:7420")
			n.options.Cores = c.own
			n.storeRoundTrip = time.Duration(c.ownMillis) * time.Millisecond
			n.members["other"] = member{
				address:              "other",
				lastHello:            time.Now(),
				started:              time.Now(),
				storeRoundTripMillis: c.otherMillis,
				cores:                c.other,
			}
			assert.Equal(t, n.isMuchWeaker(), c.weak)
			assert.Equal(t, n.betterOwner() == "other", c.hand)
		})
	}
}

// TestConnectedNodeIsAGoodOwner has several nodes answer that the store serves them.
func TestConnectedNodeIsAGoodOwner(t *testing.T) {
	good := map[string]bool{"good": true}
	for name, c := range map[string]struct {
		answers []string
		count   int
		want    string
	}{
		"good after others": {
			answers: []string{"far", "", "good"},
			count:   4,
			want:    "good",
		},
		"no good one in time": {
			answers: []string{"", "far", "weak"},
			count:   4,
			want:    "far",
		},
		"none": {
			answers: []string{"", ""},
			count:   2,
		},
	} {
		t.Run(name, func(t *testing.T) {
			answers := make(chan string, c.count)
			for _, address := range c.answers {
				answers <- address
			}
			assert.Equal(t, preferredAddress(answers, c.count, good), c.want)
		})
	}
}
