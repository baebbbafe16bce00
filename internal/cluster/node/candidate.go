package node

import (
	"context"
	"math"
	"time"

	"github.com/citronbay/citronbay/internal/api/peer"
	"github.com/citronbay/citronbay/internal/cluster/store"
)

const (
	// nearFactor times the shortest round trip to the store still counts as near, and
	// nearMillis in any case: half of a round trip to another region is 20 ms.
	nearFactor = 3
	nearMillis = 10
	// strongerFactor times as many cores make a node so much better an owner that
	// ownership is handed over to it: a handover stops starts for some 50 ms.
	strongerFactor = 1.5
	// weakHandicap is how long a node waits before it claims when a stronger one is
	// known, which most often has claimed by then.
	weakHandicap = 500 * time.Millisecond
	// betterLook is how often an owner looks for a better one.
	betterLook = time.Second
	// candidateProbe bounds the question whether a candidate reaches the store: two
	// hops between regions and a store ten times slower than usual.
	candidateProbe = 150 * time.Millisecond
	// candidateWait is how long a good candidate may answer later than another node:
	// a hop to the store's region and back.
	candidateWait = 50 * time.Millisecond
)

// member is another node that has reported to this one.
type member struct {
	address string
	seen    time.Time
	// born is when its process was started.
	born time.Time
	// storeMillis is its shortest round trip to the store.
	storeMillis float64
	// cores is the processor time that it may use, in cores.
	cores float64
}

// candidates returns the members that would be good owners: near the store, and
// not much weaker than the strongest of these. It answers cells of unlike VMs, in
// which the owner's processor bounds the cell's work.
func candidates(members []member) []member {
	nearest := math.Inf(1)
	for _, m := range members {
		nearest = min(nearest, m.distance())
	}
	near := max(nearest*nearFactor, nearMillis)
	most := 0.0
	for _, m := range members {
		if m.distance() <= near {
			most = max(most, m.cores)
		}
	}
	var good []member
	for _, m := range members {
		if m.distance() <= near && m.cores*strongerFactor > most {
			good = append(good, m)
		}
	}
	return good
}

// distance returns the member's round trip to the store in milliseconds, infinite
// when it has not reached it yet.
func (m member) distance() float64 {
	if m.storeMillis == 0 {
		return math.Inf(1)
	}
	return m.storeMillis
}

// lastStarted returns the member whose process was started last, since machines are
// stopped and started in turn and it has had its turn; the zero member without any.
func lastStarted(members []member) member {
	var last member
	for _, m := range members {
		if m.born.After(last.born) {
			last = m
		}
	}
	return last
}

// freshMembers returns the other nodes that have reported of late; the caller holds
// the lock.
func (n *Node) freshMembers() []member {
	var fresh []member
	for _, m := range n.members {
		if time.Since(m.seen) <= helloLimit && m.address != n.options.Address {
			fresh = append(fresh, m)
		}
	}
	return fresh
}

// successor returns the address of the node that should own the shard next.
func (n *Node) successor() string {
	n.mu.Lock()
	defer n.mu.Unlock()
	return lastStarted(candidates(n.freshMembers())).address
}

// self returns this node as others see it; the caller holds the lock.
func (n *Node) self() member {
	return member{
		address:     n.options.Address,
		born:        n.born,
		storeMillis: n.roundTrip.Seconds() * 1000,
		cores:       n.options.Cores,
	}
}

// strongestKnown returns the cores of the strongest good owner that this node knows
// of; the caller holds the lock.
func (n *Node) strongestKnown() float64 {
	most := 0.0
	for _, m := range candidates(append(n.freshMembers(), n.self())) {
		most = max(most, m.cores)
	}
	return most
}

// isWeak reports whether a much stronger node is known; the caller holds the lock.
func (n *Node) isWeak() bool {
	return n.options.Cores*strongerFactor <= max(n.strongest, n.strongestKnown())
}

// better returns the address of a node to which ownership should go since this one is
// no good owner beside it, or an empty string.
func (n *Node) better() string {
	n.mu.Lock()
	defer n.mu.Unlock()
	good := candidates(append(n.freshMembers(), n.self()))
	for _, m := range good {
		if m.address == n.options.Address {
			return ""
		}
	}
	return lastStarted(good).address
}

// endWhenBetter hands ownership over to a much stronger node, or one much nearer to
// the store, that the store answers.
func (n *Node) endWhenBetter(tenure *store.Tenure) {
	for tenure.Context().Err() == nil {
		wait(tenure.Context(), betterLook)
		address := n.better()
		if address == "" || tenure.Context().Err() != nil || !n.candidateReachesStore(tenure.Context(), address) {
			continue
		}
		n.log.Info("betterOwnerFound", "token", tenure.Token(), "cores", n.options.Cores, "successor", address)
		n.handOver(tenure, address)
		return
	}
}

// goodAddresses returns those of the members that would be good owners.
func (n *Node) goodAddresses() map[string]bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	good := map[string]bool{}
	for _, m := range candidates(n.freshMembers()) {
		good[m.address] = true
	}
	return good
}

func (n *Node) candidateReachesStore(ctx context.Context, address string) bool {
	ctx, cancel := context.WithTimeout(ctx, candidateProbe)
	defer cancel()
	answer, err := peer.Call[probe](ctx, n.peer(address), methodProbe, probe{})
	return err == nil && answer.Reached
}
