package node

import (
	"context"
	"math"
	"time"

	"github.com/citronbay/citronbay/internal/api/peer"
	"github.com/citronbay/citronbay/internal/cluster/store"
)

const (
	// nearRoundTripFactor times the shortest round trip to the store still counts as near, and
	// nearMillis in any case: half of a round trip to another region is 20 ms.
	nearRoundTripFactor = 3
	nearRoundTripMillis = 10
	// strongerFactor times as many cores make a node so much better an owner that
	// ownership is handed over to it: a handover stops starts for some 50 ms.
	strongerFactor = 1.5
	// weakClaimDelay is how long a node waits before it claims when a stronger one is
	// known, which most often has claimed by then.
	weakClaimDelay = 500 * time.Millisecond
	// betterOwnerInterval is how often an owner looks for a better one.
	betterOwnerInterval = time.Second
	// candidateProbeTimeout bounds the question whether a candidate reaches the store: two
	// hops between regions and a store ten times slower than usual.
	candidateProbeTimeout = 150 * time.Millisecond
	// candidateWait is how long a good candidate may answer later than another node:
	// a hop to the store's region and back.
	candidateWait = 50 * time.Millisecond
)

// member is another node that has reported to this one.
type member struct {
	address   string
	lastHello time.Time
	// started is when its process was started.
	started time.Time
	// storeRoundTripMillis is its shortest round trip to the store.
	storeRoundTripMillis float64
	// cores is the processor time that it may use, in cores.
	cores float64
}

// candidates returns the members that would be good owners: near the store, and
// not much weaker than the strongest of these. It answers cells of unlike VMs, in
// which the owner's processor bounds the cell's work.
func candidates(members []member) []member {
	shortestMillis := math.Inf(1)
	for _, m := range members {
		shortestMillis = min(shortestMillis, m.roundTripMillisOrInf())
	}
	limitMillis := max(shortestMillis*nearRoundTripFactor, nearRoundTripMillis)
	maxCores := 0.0
	for _, m := range members {
		if m.roundTripMillisOrInf() <= limitMillis {
			maxCores = max(maxCores, m.cores)
		}
	}
	var suitable []member
	for _, m := range members {
		if m.roundTripMillisOrInf() <= limitMillis && m.cores*strongerFactor > maxCores {
			suitable = append(suitable, m)
		}
	}
	return suitable
}

// roundTripMillisOrInf returns the member's round trip to the store in milliseconds, infinite
// when it has not reached it yet.
func (m member) roundTripMillisOrInf() float64 {
	if m.storeRoundTripMillis == 0 {
		return math.Inf(1)
	}
	return m.storeRoundTripMillis
}

// lastStarted returns the member whose process was started last, since machines are
// stopped and started in turn and it has had its turn; the zero member without any.
func lastStarted(members []member) member {
	var last member
	for _, m := range members {
		if m.started.After(last.started) {
			last = m
		}
	}
	return last
}

// liveMembers returns the other nodes that have reported of late; the caller holds
// the lock.
func (n *Node) liveMembers() []member {
	var live []member
	for _, m := range n.members {
		if time.Since(m.lastHello) <= memberTimeout && m.address != n.options.Address {
			live = append(live, m)
		}
	}
	return live
}

// chooseSuccessor returns the address of the node that should own the shard next.
func (n *Node) chooseSuccessor() string {
	n.mu.Lock()
	defer n.mu.Unlock()
	return lastStarted(candidates(n.liveMembers())).address
}

// self returns this node as others see it; the caller holds the lock.
func (n *Node) self() member {
	return member{
		address:              n.options.Address,
		started:              n.started,
		storeRoundTripMillis: n.storeRoundTrip.Seconds() * 1000,
		cores:                n.options.Cores,
	}
}

// maxCandidateCores returns the cores of the strongest good owner that this node knows
// of; the caller holds the lock.
func (n *Node) maxCandidateCores() float64 {
	maxCores := 0.0
	for _, m := range candidates(append(n.liveMembers(), n.self())) {
		maxCores = max(maxCores, m.cores)
	}
	return maxCores
}

// isMuchWeaker reports whether a much stronger node is known; the caller holds the lock.
func (n *Node) isMuchWeaker() bool {
	return n.options.Cores*strongerFactor <= max(n.reportedMaxCores, n.maxCandidateCores())
}

// betterOwner returns the address of a node to which ownership should go since this one is
// no good owner beside it, or an empty string.
func (n *Node) betterOwner() string {
	n.mu.Lock()
	defer n.mu.Unlock()
	suitable := candidates(append(n.liveMembers(), n.self()))
	for _, m := range suitable {
		if m.address == n.options.Address {
			return ""
		}
	}
	return lastStarted(suitable).address
}

// handOverToBetterOwner hands ownership over to a much stronger node, or one much nearer to
// the store, that the store answers.
func (n *Node) handOverToBetterOwner(term *store.Tenure) {
	for term.Context().Err() == nil {
		wait(term.Context(), betterOwnerInterval)
		address := n.betterOwner()
		if address == "" || term.Context().Err() != nil || !n.candidateReachesStore(term.Context(), address) {
			continue
		}
		n.log.Info("betterOwnerFound", "token", term.Token(), "cores", n.options.Cores, "successor", address)
		n.handOver(term, address)
		return
	}
}

// candidateAddresses returns those of the members that would be good owners.
func (n *Node) candidateAddresses() map[string]bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	addresses := map[string]bool{}
	for _, m := range candidates(n.liveMembers()) {
		addresses[m.address] = true
	}
	return addresses
}

func (n *Node) candidateReachesStore(ctx context.Context, address string) bool {
	ctx, cancel := context.WithTimeout(ctx, candidateProbeTimeout)
	defer cancel()
	response, err := peer.Call[probe](ctx, n.peerClient(address), methodProbe, probe{})
	return err == nil && response.Reached
}
