package node

import (
	"context"
	"time"

	"github.com/citronbay/citronbay/internal/api/peer"
	"github.com/citronbay/citronbay/internal/cluster/store"
)

const (
	// maxUnansweredHellos is the number of hellos without answer after which a node doubts
	// the owner, and silentTime the age of another node's last word from the owner
	// that confirms the doubt.
	maxUnansweredHellos = 2
	minOwnerSilence     = 400 * time.Millisecond
	// probeSlack is what this node's own call to the store may take beyond twice the
	// time of another's.
	probeSlack = 100 * time.Millisecond
)

// sendHellos reports to the owner in turn, and asks others for the owner when it does
// not serve.
func (n *Node) sendHellos(ctx context.Context) {
	failures := 0
	for ctx.Err() == nil {
		owner, _ := n.currentOwner()
		if n.currentShard() != nil {
			failures = 0
			wait(ctx, fastHelloInterval)
			continue
		}
		answered, serving := false, false
		if owner.Address != "" && owner.Life != n.incarnation {
			answered, serving = n.sendHello(ctx, owner.Address, true)
		}
		if !serving {
			n.triggerElection()
			n.sendHelloToOthers(ctx, owner.Address)
		}
		if answered || owner.Life == n.incarnation || owner.Address == "" {
			failures = 0
			wait(ctx, n.helloInterval())
			continue
		}
		failures++
		n.peerClient(owner.Address).Reset()
		if failures < n.unansweredHelloLimit() {
			continue // the next hello, over a new connection, decides
		}
		if n.ownerIsSilent(ctx, owner) {
			n.replaceOwner(owner)
		}
		wait(ctx, fastHelloInterval)
	}
}

// unansweredHelloLimit returns the number of hellos without answer after which this node doubts
// the owner; a weak one leaves the claim to others for longer.
func (n *Node) unansweredHelloLimit() int {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.isMuchWeaker() {
		return 2 * maxUnansweredHellos
	}
	return maxUnansweredHellos
}

// ownerIsSilent reports whether another node confirms that the owner is silent and
// none contradicts.
func (n *Node) ownerIsSilent(ctx context.Context, owner store.Owner) bool {
	ctx, cancel := context.WithTimeout(ctx, helloTimeout)
	defer cancel()
	addresses := n.peerAddresses(owner.Address)
	answers := make(chan helloResponse, len(addresses))
	for _, address := range addresses {
		go func() {
			response, err := peer.Call[helloResponse](ctx, n.peerClient(address), methodHello, n.newHello())
			if err != nil {
				response = helloResponse{}
			}
			answers <- response
		}()
	}
	confirmed := false
	for range addresses {
		response := <-answers
		switch {
		case response.Token == 0:
		case response.Token > owner.Token || response.OwnerSilenceMillis < minOwnerSilence.Milliseconds():
			return false
		case response.Token == owner.Token:
			confirmed = true
		}
	}
	return confirmed
}

// replaceOwner has the election end the silent owner's lease, if it is still the
// owner, and claim. An owner that lives loses its tenure without harm.
func (n *Node) replaceOwner(owner store.Owner) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.owner.Token != owner.Token || n.leaving.Load() {
		return
	}
	n.log.Warn("ownerReplaced", "owner", owner.Node, "token", owner.Token)
	n.successor = n.options.Address
	n.successorNamedAt = time.Now()
	n.releasedToken = owner.Token
	n.ownerServingAt = time.Time{}
	n.triggerElection()
}

// sendHello reports to the address and takes what it says; it returns whether a
// node answered there, and whether it is the owner and serves.
func (n *Node) sendHello(ctx context.Context, address string, toOwner bool) (answered, serving bool) {
	callCtx, cancel := context.WithTimeout(ctx, helloTimeout)
	defer cancel()
	response, err := peer.Call[helloResponse](callCtx, n.peerClient(address), methodHello, n.newHello())
	if err != nil {
		if toOwner && ctx.Err() == nil {
			n.log.Warn("ownerSilent", "address", address, "error", err)
		}
		return false, false
	}
	response.Owner.Token = response.Token
	if response.Token > 0 {
		n.updateOwner(response.Owner)
	}
	n.mu.Lock()
	n.reportedMaxCores = response.MaxCandidateCores
	n.mu.Unlock()
	if toOwner {
		n.mu.Lock()
		n.ownerAnsweredAt = time.Now()
		n.mu.Unlock()
	}
	if response.Serving {
		n.mu.Lock()
		n.ownerServingAt = time.Now()
		for _, m := range response.Members {
			if n.members[m].address == "" {
				n.members[m] = member{address: m}
			}
		}
		n.mu.Unlock()
	}
	return true, response.Serving
}

// probe asks, and answers, whether a node reaches the store.
type probe struct {
	Reached bool `cbor:"1,keyasint,omitempty"`
}

// findNodeReachingStore returns the address of a node that the store answers while it
// does not answer this one: the first of the others, a good owner before the rest, if
// this node's own call takes more than twice as long. Without one it returns an empty
// string.
func (n *Node) findNodeReachingStore(ctx context.Context) string {
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	start := time.Now()
	ownResult := make(chan bool, 1)
	go func() {
		ownResult <- n.reachesStore(ctx)
	}()
	found := n.firstNodeReachingStore(ctx)
	if found == "" {
		return ""
	}
	select {
	case reached := <-ownResult:
		if reached {
			return ""
		}
	case <-time.After(time.Since(start) + probeSlack):
	case <-ctx.Done():
	}
	return found
}

func (n *Node) firstNodeReachingStore(ctx context.Context) string {
	addresses := n.peerAddresses("")
	found := make(chan string, len(addresses))
	for _, address := range addresses {
		go func() {
			response, err := peer.Call[probe](ctx, n.peerClient(address), methodProbe, probe{})
			if err != nil || !response.Reached {
				address = ""
			}
			found <- address
		}()
	}
	return preferredAddress(found, len(addresses), n.candidateAddresses())
}

// preferredAddress returns the first good address of the answers, or the first of the others
// if no good one follows soon; empty answers do not count.
func preferredAddress(answers <-chan string, count int, isCandidate map[string]bool) string {
	first := ""
	var timeout <-chan time.Time
	for range count {
		select {
		case address := <-answers:
			if isCandidate[address] {
				return address
			}
			if first == "" && address != "" {
				first = address
				timeout = time.After(candidateWait)
			}
		case <-timeout:
			return first
		}
	}
	return first
}

// announceOwnership tells the other nodes that this one has become the owner, so that they
// need not find out.
func (n *Node) announceOwnership(owner store.Owner) {
	message := n.newHello()
	message.Owner = owner
	message.Token = owner.Token
	n.broadcast(message, "ownerNotAnnounced")
}

// broadcast sends the message to all other nodes and does not wait for them.
func (n *Node) broadcast(message helloRequest, failureEvent string) {
	for _, address := range n.peerAddresses(n.options.Address) {
		go func() {
			ctx, cancel := context.WithTimeout(context.Background(), helloTimeout)
			defer cancel()
			_, err := peer.Call[helloResponse](ctx, n.peerClient(address), methodHello, message)
			if err != nil {
				n.log.Info(failureEvent, "address", address, "error", err)
			}
		}()
	}
}

// announceRelease tells the other nodes that this one has given ownership up, so
// that a successor need not wait for silence.
func (n *Node) announceRelease(successor string) {
	owner, _ := n.currentOwner()
	message := n.newHello()
	message.ReleasedToken = owner.Token
	message.Successor = successor
	n.log.Info("ownershipReleased", "token", owner.Token, "successor", message.Successor)
	n.broadcast(message, "releaseNotTold")
}
