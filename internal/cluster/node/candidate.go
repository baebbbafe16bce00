package node

import (
	"context"
	"math"
	"slices"
	"time"

	"github.com/citronbay/citronbay/internal/api/peer"
	"github.com/citronbay/citronbay/internal/api/traffic"
	"github.com/citronbay/citronbay/internal/cluster/store"
)

const (
	// nearRoundTripFactor and nearRoundTripMillis define which nodes are near the store:
	// those whose round trip is at most nearRoundTripFactor times the shortest one, or at
	// most nearRoundTripMillis. The latency to another region is 20 ms one way.
	nearRoundTripFactor = 3
	nearRoundTripMillis = 10
	// strongerFactor is the ratio of cores from which a node is much stronger, so that
	// ownership is handed over to it. Smaller gains are not worth a handover, which
	// stops task starts for about 50 ms.
	strongerFactor = 1.5
	// ownerMemoryMB and ownerDescriptors are the memory in MiB and the file descriptors with which
	// a process can own a fleet of 540 workers.
	ownerMemoryMB    = 256
	ownerDescriptors = 4096
	// weakClaimDelay is added to a node's claim delay when a much stronger node is
	// known, which has usually claimed ownership by then.
	weakClaimDelay = 500 * time.Millisecond
	// betterOwnerInterval is how often the owner looks for a better one.
	betterOwnerInterval = time.Second
	// candidateProbeTimeout bounds the call that asks a candidate whether it reaches the
	// store. It allows for an owner that is too weak for its load and answers late.
	candidateProbeTimeout = 500 * time.Millisecond
	// candidateWait is how long to wait for a candidate's answer after another node has
	// answered. It allows for a round trip to the store's region and for busy nodes; a
	// takeover by an unsuitable node takes longer.
	candidateWait = 200 * time.Millisecond
)

// member is what this node knows of another one from its last hello. In an entry that
// comes from an owner's response to a hello, only the address is set.
type member struct {
	address   string
	lastHello time.Time
	// remote is the connection of the last hello, or nil.
	remote *peer.Remote
	// listed is when an owner last listed the member.
	listed time.Time
	// started is when the member's process was started.
	started time.Time
	// storeRoundTripMillis is the member's shortest round trip to the store in
	// milliseconds, or 0 if it has not reached the store yet.
	storeRoundTripMillis float64
	// cores is the processor capacity that the member may use, in cores of the usual
	// speed.
	cores float64
	// link is the member's link, and descriptors and memoryMB are what its process may use; zero
	// means unknown.
	link        traffic.Link
	descriptors int
	memoryMB    int64
}

// lastKnown returns when this node last heard of the member.
func (m member) lastKnown() time.Time {
	if m.lastHello.After(m.listed) {
		return m.lastHello
	}
	return m.listed
}

// candidates returns the members that are suitable as the owner: those near the store
// whose link, memory and descriptors can carry the fleet if those of any can, and of these
// the ones that are not much weaker than the strongest. In a cluster of VMs of different
// sizes the owner's VM limits the throughput of the whole cluster. If no member has reached the
// store yet, all count as near.
func candidates(members []member) []member {
	shortestMillis := math.Inf(1)
	for _, m := range members {
		shortestMillis = min(shortestMillis, m.roundTripMillisOrInf())
	}
	limitMillis := max(shortestMillis*nearRoundTripFactor, nearRoundTripMillis)
	suitable := selectIfAny(members, func(m member) bool {
		return m.roundTripMillisOrInf() <= limitMillis
	})
	suitable = selectIfAny(suitable, func(m member) bool { return !m.link.IsSmall() })
	suitable = selectIfAny(suitable, func(m member) bool { return m.memoryMB == 0 || m.memoryMB >= ownerMemoryMB })
	suitable = selectIfAny(suitable, func(m member) bool { return m.descriptors == 0 || m.descriptors >= ownerDescriptors })
	maxCores := 0.0
	for _, m := range suitable {
		maxCores = max(maxCores, m.cores)
	}
	return selectIfAny(suitable, func(m member) bool { return m.cores*strongerFactor > maxCores })
}

// selectIfAny returns the members for which the function returns true, or all if there are none.
func selectIfAny(members []member, isSuitable func(member) bool) []member {
	var selected []member
	for _, m := range members {
		if isSuitable(m) {
			selected = append(selected, m)
		}
	}
	if len(selected) == 0 {
		return members
	}
	return selected
}

// roundTripMillisOrInf returns the member's shortest round trip to the store in
// milliseconds, or +Inf if it has not reached the store yet.
func (m member) roundTripMillisOrInf() float64 {
	if m.storeRoundTripMillis == 0 {
		return math.Inf(1)
	}
	return m.storeRoundTripMillis
}

// lastStarted returns the member whose process was started last, or the zero member if
// there are none. In a rolling restart this one has been restarted already, so it will
// not have to hand ownership over again.
func lastStarted(members []member) member {
	var last member
	for _, m := range members {
		if m.started.After(last.started) {
			last = m
		}
	}
	return last
}

// liveMembers returns the other nodes whose last hello is at most memberTimeout old.
// The caller holds n.mu.
func (n *Node) liveMembers() []member {
	var live []member
	for _, m := range n.members {
		if time.Since(m.lastHello) <= memberTimeout && m.address != n.options.Address {
			live = append(live, m)
		}
	}
	return live
}

// chooseSuccessor returns the address of the node that should own the shard next, or an
// empty string if no candidate is known.
func (n *Node) chooseSuccessor() string {
	n.mu.Lock()
	defer n.mu.Unlock()
	return lastStarted(candidates(n.liveMembers())).address
}

// self returns this node as a member. The caller holds n.mu.
func (n *Node) self() member {
	return member{
		address:              n.options.Address,
		started:              n.started,
		storeRoundTripMillis: n.storeRoundTrip.Seconds() * 1000,
		cores:                n.options.Cores,
		link:                 n.options.Link,
		descriptors:          n.options.Descriptors,
		memoryMB:             n.options.MemoryMB,
	}
}

// maxCandidateCores returns the most cores of any candidate that this node knows of,
// itself included. The caller holds n.mu.
func (n *Node) maxCandidateCores() float64 {
	maxCores := 0.0
	for _, m := range candidates(append(n.liveMembers(), n.self())) {
		maxCores = max(maxCores, m.cores)
	}
	return maxCores
}

// isMuchWeaker reports whether this node is much weaker than a candidate that it knows
// of, or that the node which last answered its hello knows of. The caller holds n.mu.
func (n *Node) isMuchWeaker() bool {
	return n.options.Cores*strongerFactor <= max(n.reportedMaxCores, n.maxCandidateCores())
}

// betterOwner returns the address of the candidate to which this node should leave
// ownership, or an empty string if this node is a candidate itself or none is known. The
// node at the address except does not count.
func (n *Node) betterOwner(except string) string {
	n.mu.Lock()
	defer n.mu.Unlock()
	others := slices.DeleteFunc(n.liveMembers(), func(m member) bool {
		return m.address == except
	})
	suitable := candidates(append(others, n.self()))
	for _, m := range suitable {
		if m.address == n.options.Address {
			return ""
		}
	}
	return lastStarted(suitable).address
}

// heirsFor returns the addresses of nodes that would be better owners than the one that has sent
// the hello, those started last first, or nil if that one is a candidate itself. The others
// know little of each other, since only the owner gets hellos of all. The caller holds n.mu.
func (n *Node) heirsFor(request helloRequest) []string {
	suitable := candidates(n.liveMembers())
	slices.SortFunc(suitable, func(a, b member) int {
		return b.started.Compare(a.started)
	})
	var heirs []string
	for _, m := range suitable {
		if m.address == request.Address {
			return nil
		}
		if len(heirs) < maxHeirs {
			heirs = append(heirs, m.address)
		}
	}
	return heirs
}

// heir returns the address of the node that the owner at the given address has named as a better
// owner than this node, or an empty string if it has named none.
func (n *Node) heir(ownerAddress string) string {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, address := range n.heirs {
		if address != ownerAddress && address != n.options.Address {
			return address
		}
	}
	return ""
}

// handOverToBetterOwner hands ownership over once there is a node that is much stronger
// or much nearer to the store and that reaches the store now.
func (n *Node) handOverToBetterOwner(term *store.Term) {
	for term.Context().Err() == nil {
		sleep(term.Context(), betterOwnerInterval)
		address := n.betterOwner("")
		if address == "" || term.Context().Err() != nil || !n.candidateReachesStore(term.Context(), address) {
			continue
		}
		n.log.Info("betterOwnerFound", "token", term.Token(), "cores", n.options.Cores, "successor", address)
		n.handOver(term, address)
		return
	}
}

// candidateAddresses returns the set of the addresses of all candidates but this node.
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
