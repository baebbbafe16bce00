package node

import (
	"context"
	"errors"
	"slices"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/citronbay/citronbay/internal/api/peer"
	"github.com/citronbay/citronbay/internal/api/traffic"
	"github.com/citronbay/citronbay/internal/cluster/caller"
	"github.com/citronbay/citronbay/internal/cluster/shard"
	"github.com/citronbay/citronbay/internal/cluster/store"
)

// newRecoveringNode returns a node that is the owner and opens the shard, and the term.
func newRecoveringNode(t *testing.T) (*Node, *store.Term, store.Owner) {
	t.Helper()
	n := newTestNode(t, "owner", "127.0.0.1:1")
	self := store.Owner{
		Node:        "owner",
		Incarnation: n.incarnation,
		Address:     n.options.Address,
	}
	term, release, err := store.Claim(t.Context(), leasingStore{}, "fleet", self, n.log)
	assert.NilError(t, err)
	t.Cleanup(release)
	self.Token = term.Token()
	assert.Assert(t, n.beginRecovery(term, self))
	return n, term, self
}

// TestRequestWaitsForRecovery guards against a flood of requests that a new owner answers while it
// reads the journal: each entry sent its requests again every 40 ms. A request waits at the owner
// instead, but no longer than its caller waits for the answer that it has had no effect.
func TestRequestWaitsForRecovery(t *testing.T) {
	for name, c := range map[string]struct {
		end     func(n *Node, term *store.Term, self store.Owner) // of the recovery
		timeout time.Duration
		want    bool // the node is the owner then
		maxWait time.Duration
	}{
		"shard is opened": {
			end: func(n *Node, term *store.Term, self store.Owner) {
				n.setShard(&shard.Shard{}, term, self)
			},
			timeout: time.Second,
			want:    true,
			maxWait: 300 * time.Millisecond,
		},
		"recovery fails": {
			end: func(n *Node, _ *store.Term, _ store.Owner) {
				n.abandonRecovery()
			},
			timeout: time.Second,
			maxWait: 300 * time.Millisecond,
		},
		"another node is the owner": {
			end: func(n *Node, term *store.Term, _ store.Owner) {
				n.updateOwner(store.Owner{
					Node:  "next",
					Token: term.Token() + 1,
				})
			},
			timeout: time.Second,
			maxWait: 300 * time.Millisecond,
		},
		"recovery takes longer than the call": {
			end:     func(*Node, *store.Term, store.Owner) {},
			timeout: time.Second,
			maxWait: time.Second - recoveryWaitMargin/2,
		},
	} {
		t.Run(name, func(t *testing.T) {
			const recoveryTime = 100 * time.Millisecond
			n, term, self := newRecoveringNode(t)
			time.AfterFunc(recoveryTime, func() { c.end(n, term, self) })
			ctx, cancel := context.WithTimeout(t.Context(), c.timeout)
			defer cancel()
			start := time.Now()
			s := n.awaitShard(ctx)
			assert.Equal(t, s != nil, c.want)
			waited := time.Since(start)
			assert.Assert(t, waited >= recoveryTime && waited <= c.maxWait, "%v", waited)
		})
	}
}

// TestRecoveringOwnerIsLive checks that a node which opens the shard says so, and that other nodes
// then neither look for an owner nor replace it.
func TestRecoveringOwnerIsLive(t *testing.T) {
	owner, _, self := newRecoveringNode(t)
	other := newTestNode(t, "other", "127.0.0.1:2")
	other.updateOwner(self)
	address := serveNode(t, owner)
	answered, serving := other.sendHello(t.Context(), address, true)
	assert.Assert(t, answered && serving)
	assert.Assert(t, other.ownerIsLive())
	owner.abandonRecovery()
	_, serving = other.sendHello(t.Context(), address, true)
	assert.Assert(t, !serving)
	assert.Assert(t, !other.ownerIsLive())
}

// serveNode serves the node's peers on a loopback address, and returns the address.
func serveNode(t *testing.T, n *Node) string {
	t.Helper()
	return servePeer(t, n.server)
}

// TestAnnouncementReachesAllNodes checks that all nodes of a large cluster learn of a new owner,
// though some are gone, and that none sends more than a few messages for that.
func TestAnnouncementReachesAllNodes(t *testing.T) {
	const size, gone = 40, 4
	nodes := map[string]*Node{}
	var addresses []string
	for range size {
		n := newTestNode(t, "", "")
		address := serveNode(t, n)
		n.options.Name, n.options.Address = address, address
		nodes[address] = n
		addresses = append(addresses, address)
	}
	for n := range gone {
		addresses = append(addresses, "127.0.0.1:"+string(rune('1'+n)))
	}
	self := store.Owner{
		Node:    addresses[0],
		Address: addresses[0],
		Token:   7,
	}
	first := nodes[addresses[0]]
	first.updateOwner(self)
	for _, address := range addresses[1:] {
		first.members[address] = member{
			address: address,
			listed:  time.Now(),
		}
	}
	first.announceOwnership(self)
	deadline := time.Now().Add(5 * time.Second)
	for address, n := range nodes {
		for known, _ := n.currentOwner(); known.Token != self.Token; known, _ = n.currentOwner() {
			assert.Assert(t, time.Now().Before(deadline), "%s has not learned of the owner", address)
			time.Sleep(time.Millisecond)
		}
		n.mu.Lock()
		connections := len(n.clients)
		n.mu.Unlock()
		assert.Assert(t, connections <= announceFanOut*maxRelayAttempts, "%s has %d connections", address, connections)
	}
}

// TestFullLinkIsNoProofOfDeath guards against replacing an owner of which no packet arrives because
// its link is full: it goes on renewing its lease. An owner on a link that control traffic cannot
// fill is replaced.
func TestFullLinkIsNoProofOfDeath(t *testing.T) {
	for name, c := range map[string]struct {
		link         traffic.Link
		wantReplaced bool
	}{
		"small link":   {link: traffic.Link{Mbps: 2}},
		"large link":   {link: traffic.Link{Mbps: 1000}, wantReplaced: true},
		"unknown link": {wantReplaced: true},
	} {
		t.Run(name, func(t *testing.T) {
			owner := store.Owner{
				Node:        "owner",
				Incarnation: "1",
				Address:     "127.0.0.1:3",
				Token:       7,
			}
			witness := peer.NewServer()
			peer.Handle(witness, methodHello, func(context.Context, helloRequest) (helloResponse, error) {
				return helloResponse{
					Owner:              owner,
					Token:              owner.Token,
					OwnerSilenceMillis: time.Minute.Milliseconds(),
				}, nil
			})
			n := newTestNode(t, "node", "127.0.0.1:1")
			n.options.Cores = 1
			n.seeds = []string{servePeer(t, witness)}
			n.updateOwner(owner)
			n.ownerLink = c.link
			ctx, cancel := context.WithTimeout(t.Context(), 2*time.Second)
			defer cancel()
			n.sendHellos(ctx)
			assert.Equal(t, n.lastReleasedToken() == owner.Token, c.wantReplaced)
		})
	}
}

// TestSearchForOwnerDoesNotGrowWithClusterSize checks the number of peers that a node asks while it
// knows no owner, or suspects it: all nodes do so at once.
func TestSearchForOwnerDoesNotGrowWithClusterSize(t *testing.T) {
	asked := func(size int) int {
		n := newTestNode(t, "node", "10.0.0.1:7420")
		for i := range size {
			address := "10.1.0." + string(rune('a'+i%26)) + string(rune('a'+i/26))
			n.members[address] = member{
				address: address,
				listed:  time.Now(),
			}
		}
		sample := n.samplePeers(sampleSize, "")
		slices.Sort(sample)
		assert.Equal(t, len(slices.Compact(sample)), len(sample))
		return len(sample)
	}
	assert.Equal(t, asked(2), 2)
	assert.Equal(t, asked(200), sampleSize)
}

// TestUnreachableAdvisorIsTold checks that a node which does not answer is told from a policy
// service that answers with an error.
func TestUnreachableAdvisorIsTold(t *testing.T) {
	server := peer.NewServer()
	peer.Handle(server, methodAdvise, func(context.Context, adviseRequest) (adviseResponse, error) {
		return adviseResponse{}, errors.New("too many calls wait")
	})
	for name, c := range map[string]struct {
		address     string
		unreachable bool
	}{
		"answers with an error": {address: servePeer(t, server)},
		"gone":                  {address: "127.0.0.1:3", unreachable: true},
	} {
		t.Run(name, func(t *testing.T) {
			n := newTestNode(t, "node", "127.0.0.1:1")
			ctx, cancel := context.WithTimeout(t.Context(), 300*time.Millisecond)
			defer cancel()
			_, err := n.askThrough(member{address: c.address})(ctx, "job", 0, nil)
			assert.Equal(t, errors.Is(err, shard.ErrAdvisorUnreachable), c.unreachable, "%v", err)
		})
	}
}

// TestOwnerCallsBackOverConnectionOfHello checks that an owner reaches a node that sends hellos
// without a connection of its own, whose handshake would cost a new owner as much as all hellos.
func TestOwnerCallsBackOverConnectionOfHello(t *testing.T) {
	owner := newTestNode(t, "owner", "127.0.0.1:1")
	address := serveNode(t, owner)
	n := newTestNode(t, "node", "127.0.0.1:9") // nothing listens there
	answered, _ := n.sendHello(t.Context(), address, false)
	assert.Assert(t, answered)
	owner.mu.Lock()
	m := owner.members["node"]
	owner.mu.Unlock()
	assert.Assert(t, m.remote.IsOpen())
	ctx, cancel := context.WithTimeout(t.Context(), time.Second)
	defer cancel()
	response, err := peer.Call[caller.Response](ctx, m.remote, methodServe, caller.Request{Verb: caller.Read})
	assert.NilError(t, err)
	assert.Equal(t, response.Status, caller.NotOwner)
}

// TestGoneNodesAreForgotten guards against asking, or announcing to, nodes that were replaced long
// ago, whose addresses may be in use by others since.
func TestGoneNodesAreForgotten(t *testing.T) {
	n := newTestNode(t, "node", "10.0.0.1:7420")
	n.seeds = []string{"10.0.0.9:7420"}
	for address, age := range map[string]time.Duration{
		"10.0.0.2:7420": time.Second,
		"10.0.0.3:7420": memberMemory + time.Second,
	} {
		n.members["heard "+address] = member{
			address:   address,
			lastHello: time.Now().Add(-age),
		}
		listed := strings.Replace(address, "10.0.0", "10.0.1", 1)
		n.members[listed] = member{
			address: listed,
			listed:  time.Now().Add(-age),
		}
	}
	addresses := n.peerAddresses("")
	slices.Sort(addresses)
	assert.DeepEqual(t, addresses, []string{"10.0.0.2:7420", "10.0.0.9:7420", "10.0.1.2:7420"})
	assert.Equal(t, len(n.members), 2)
}
