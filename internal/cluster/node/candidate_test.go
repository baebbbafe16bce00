package node

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/citronbay/citronbay/internal/api/peer"
	"github.com/citronbay/citronbay/internal/cluster/store"
)

// TestChooseSuccessor guards against handing ownership to a node that would make a poor
// owner in a cluster of VMs of different sizes: a weak one, one far from the store, or
// one that is silent or does not reach the store.
func TestChooseSuccessor(t *testing.T) {
	now := time.Now()
	nearMember := func(address string, cores float64, uptime time.Duration) member {
		return member{
			address:              address,
			lastHello:            now,
			started:              now.Add(-uptime),
			storeRoundTripMillis: 5,
			cores:                cores,
		}
	}
	far := nearMember("far", 0.8, time.Second)
	far.storeRoundTripMillis = 45
	unconnected := nearMember("unconnected", 0.8, time.Millisecond)
	unconnected.storeRoundTripMillis = 0
	silent := nearMember("silent", 0.8, time.Millisecond)
	silent.lastHello = now.Add(-time.Minute)
	for name, c := range map[string]struct {
		members []member
		want    string
	}{
		"stronger member, though a weaker one was started later": {
			members: []member{nearMember("weak", 0.192, time.Second), nearMember("strong", 0.8, time.Hour)},
			want:    "strong",
		},
		"last started of equal members": {
			members: []member{nearMember("early", 0.4, time.Hour), nearMember("late", 0.4, time.Minute)},
			want:    "late",
		},
		"weaker member near the store rather than a stronger one in another region": {
			members: []member{nearMember("weak", 0.192, time.Hour), far},
			want:    "weak",
		},
		"no member that does not reach the store or is silent": {
			members: []member{nearMember("weak", 0.192, time.Hour), unconnected, silent},
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

// TestOwnershipGoesToBetterNodes checks whether a node counts as much weaker, which
// delays its claim, and whether it hands ownership over to another node.
func TestOwnershipGoesToBetterNodes(t *testing.T) {
	const near, far = 5, 45 // round trip to the store in milliseconds
	for name, c := range map[string]struct {
		ownCores, otherCores   float64
		ownMillis, otherMillis float64
		muchWeaker, handsOver  bool
	}{
		"much weaker": {
			ownCores:    0.192,
			ownMillis:   near,
			otherCores:  0.8,
			otherMillis: near,
			muchWeaker:  true,
			handsOver:   true,
		},
		"equal": {
			ownCores:    0.4,
			ownMillis:   near,
			otherCores:  0.4,
			otherMillis: near,
		},
		"slightly weaker": {
			ownCores:    0.4,
			ownMillis:   near,
			otherCores:  0.5,
			otherMillis: near,
		},
		"much stronger": {
			ownCores:    0.8,
			ownMillis:   near,
			otherCores:  0.192,
			otherMillis: near,
		},
		"equally strong but far from the store": {
			ownCores:    0.8,
			ownMillis:   far,
			otherCores:  0.8,
			otherMillis: near,
			handsOver:   true,
		},
		"other node on the machine of the store": {
			ownCores:    0.4,
			ownMillis:   2,
			otherCores:  0.4,
			otherMillis: 0.2,
		},
		"much weaker but near the store, the other far": {
			ownCores:    0.192,
			ownMillis:   near,
			otherCores:  0.8,
			otherMillis: far,
		},
	} {
		t.Run(name, func(t *testing.T) {
			n := newTestNode(t, "self", "10.0.0.1:7420")
			n.options.Cores = c.ownCores
			n.storeRoundTrip = time.Duration(c.ownMillis) * time.Millisecond
			n.members["other"] = member{
				address:              "other",
				lastHello:            time.Now(),
				started:              time.Now(),
				storeRoundTripMillis: c.otherMillis,
				cores:                c.otherCores,
			}
			assert.Equal(t, n.isMuchWeaker(), c.muchWeaker)
			assert.Equal(t, n.betterOwner("") == "other", c.handsOver)
		})
	}
}

// TestBusyCandidateIsPreferred guards against handing ownership to a weak or distant node
// because the candidates are busy and answer a little later.
func TestBusyCandidateIsPreferred(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		answers := make(chan string, 2)
		answers <- "far"
		time.AfterFunc(120*time.Millisecond, func() { answers <- "good" })
		assert.Equal(t, preferredAddress(answers, 3, map[string]bool{"good": true}), "good")
	})
}

// TestPreferredAddress guards against handing ownership to the first node that reaches
// the store when a candidate answers soon after it.
func TestPreferredAddress(t *testing.T) {
	isCandidate := map[string]bool{"good": true}
	for name, c := range map[string]struct {
		answers []string
		count   int
		want    string
	}{
		"candidate answers after others": {
			answers: []string{"far", "", "good"},
			count:   4,
			want:    "good",
		},
		"no candidate answers in time": {
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
			assert.Equal(t, preferredAddress(answers, c.count, isCandidate), c.want)
		})
	}
}

// TestSilentOwnerIsReplacedBySuitableNode guards against a weak node that notices the
// owner's silence first and becomes the owner itself, though it knows better ones.
func TestSilentOwnerIsReplacedBySuitableNode(t *testing.T) {
	const ownerAddress = "127.0.0.1:2"
	for name, c := range map[string]struct {
		ownCores      float64
		strongAddress string // empty: no strong member is known
		wantSelf      bool
	}{
		"weak":                            {ownCores: 0.192, strongAddress: "strong"},
		"strong":                          {ownCores: 0.8, strongAddress: "strong", wantSelf: true},
		"weak, no other known":            {ownCores: 0.192, wantSelf: true},
		"weak, only the silent one known": {ownCores: 0.192, strongAddress: ownerAddress, wantSelf: true},
	} {
		t.Run(name, func(t *testing.T) {
			released := make(chan helloRequest, 10)
			server := peer.NewServer()
			peer.Handle(server, methodHello, func(_ context.Context, r helloRequest) (helloResponse, error) {
				released <- r
				return helloResponse{}, nil
			})
			listeningAddress := servePeer(t, server)
			n := newTestNode(t, "node", "127.0.0.1:1")
			n.options.Cores = c.ownCores
			n.storeRoundTrip = 5 * time.Millisecond
			if c.strongAddress == "strong" {
				c.strongAddress = listeningAddress
			}
			if c.strongAddress != "" {
				n.members["strong"] = member{
					address:              c.strongAddress,
					lastHello:            time.Now(),
					started:              time.Now(),
					storeRoundTripMillis: 5,
					cores:                0.8,
				}
			}
			owner := store.Owner{
				Node:    "owner",
				Address: ownerAddress,
				Token:   7,
			}
			n.updateOwner(owner)
			n.replaceOwner(owner)
			assert.Equal(t, n.isSuccessor(), c.wantSelf)
			assert.Equal(t, n.lastReleasedToken(), owner.Token)
			if c.wantSelf {
				return
			}
			r := <-released
			assert.Equal(t, r.Successor, listeningAddress)
			assert.Equal(t, r.ReleasedToken, owner.Token)
		})
	}
}
