package node

import (
	"cmp"
	"context"
	"time"

	"github.com/citronbay/citronbay/internal/api/peer"
	"github.com/citronbay/citronbay/internal/cluster/store"
)

const (
	// maxUnansweredHellos is the number of unanswered hellos after which a node suspects
	// that the owner has failed; a much weaker node waits for twice as many. Another
	// node confirms the suspicion if the owner has not answered it for minOwnerSilence.
	maxUnansweredHellos = 2
	minOwnerSilence     = 400 * time.Millisecond
	// probeSlack is the time by which this node's own read of the store may exceed twice
	// the time of another node's probe.
	probeSlack = 100 * time.Millisecond
)

// sendHellos sends hellos to the owner at regular intervals, and to all other nodes to
// learn of a new owner when the known one, which may be this node, does not serve. It
// replaces an owner that is silent.
func (n *Node) sendHellos(ctx context.Context) {
	failures := 0
	for ctx.Err() == nil {
		owner, _ := n.currentOwner()
		if n.currentShard() != nil {
			failures = 0
			if !n.holdsLease() {
				// Another node may have become the owner and its announcement been lost.
				n.sendHelloToOthers(ctx, n.options.Address)
			}
			sleep(ctx, fastHelloInterval)
			continue
		}
		answered, serving := false, false
		sentAt := time.Now()
		if owner.Address != "" && owner.Incarnation != n.incarnation {
			answered, serving = n.sendHello(ctx, owner.Address, true)
		}
		if !answered && n.lastReplyOf(owner.Address).After(sentAt) {
			// The owner is busy. Closing the connection would fail the calls in flight.
			failures = 0
			sleep(ctx, n.helloInterval())
			continue
		}
		if !serving {
			n.triggerElection()
			n.sendHelloToOthers(ctx, owner.Address)
		}
		if answered || owner.Incarnation == n.incarnation || owner.Address == "" {
			failures = 0
			sleep(ctx, n.helloInterval())
			continue
		}
		failures++
		n.peerClient(owner.Address).Reset()
		if failures < n.unansweredHelloLimit() {
			continue // the connection may be at fault: retry over a new one
		}
		if n.ownerIsSilent(ctx, owner) {
			n.replaceOwner(owner)
		}
		sleep(ctx, fastHelloInterval)
	}
}

// lastReplyOf returns when the node at the address last answered any call of this node,
// or the zero time if it never has.
func (n *Node) lastReplyOf(address string) time.Time {
	if address == "" {
		return time.Time{}
	}
	return n.peerClient(address).LastReply()
}

// unansweredHelloLimit returns the number of unanswered hellos after which this node
// suspects the owner. It is higher on a node that is much weaker than another, so that
// the stronger one replaces the owner.
func (n *Node) unansweredHelloLimit() int {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.isMuchWeaker() {
		return 2 * maxUnansweredHellos
	}
	return maxUnansweredHellos
}

// ownerIsSilent asks all other nodes and reports whether at least one confirms that the
// owner is silent, and none has heard from it lately or knows of a newer owner.
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

// replaceOwner names a successor of the silent owner, unless another owner is known by now
// or this node is leaving: a better owner if this node knows one, or else itself. The
// successor's next campaign then ends the silent owner's lease, if the store still has it
// as the owner, and claims ownership. This is safe even if that owner is alive: its term of
// ownership ends, and its journal writes fail once the owner key is deleted.
func (n *Node) replaceOwner(owner store.Owner) {
	better := n.betterOwner(owner.Address)
	if n.nameSuccessor(owner, cmp.Or(better, n.options.Address)) && better != "" {
		n.announceRelease(owner.Token, better)
	}
}

// nameSuccessor sets the successor of the silent owner. It reports false if another owner
// is known by now or this node is leaving.
func (n *Node) nameSuccessor(owner store.Owner, successor string) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.owner.Token != owner.Token || n.leaving.Load() {
		return false
	}
	n.log.Warn("ownerReplaced", "owner", owner.Node, "token", owner.Token, "successor", successor)
	n.successor = successor
	n.successorNamedAt = time.Now()
	n.releasedToken = owner.Token
	n.ownerServingAt = time.Time{}
	n.triggerElection()
	return true
}

// sendHello sends a hello to the address and applies the response. It returns whether a
// node answered, and whether that node is the known owner and serves. Callers set toOwner if
// the address is that of the known owner.
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
	return true, n.noteServing(response)
}

// noteServing reports whether the response is that of the known owner, which serves, and if
// so notes that and the members that it lists. An earlier owner may still believe that it
// serves.
func (n *Node) noteServing(response helloResponse) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	if !response.Serving || response.Token != n.owner.Token {
		return false
	}
	n.markOwnerServing()
	for _, a := range response.MemberAddresses {
		if n.members[a].address == "" {
			n.members[a] = member{address: a}
		}
	}
	return true
}

// probe is both the request and the response of methodProbe, which asks a node whether
// it reaches the store. Reached is set only in the response.
type probe struct {
	Reached bool `cbor:"1,keyasint,omitempty"`
}

// findNodeReachingStore returns the address of a node that reaches the store while this
// one does not, or an empty string. This node counts as cut off from the store if its
// own read fails, or has no answer after twice the time of the other node's probe plus
// probeSlack. Its read starts only after the other's has succeeded: an earlier one may
// have failed before the store came back.
func (n *Node) findNodeReachingStore(ctx context.Context) string {
	start := time.Now()
	probeCtx, cancelProbes := context.WithTimeout(ctx, storeTimeout)
	defer cancelProbes()
	found := n.preferredNodeReachingStore(probeCtx)
	if found == "" {
		return ""
	}
	readCtx, cancelRead := context.WithTimeout(ctx, 2*time.Since(start)+probeSlack)
	defer cancelRead()
	if n.reachesStore(readCtx) {
		return ""
	}
	return found
}

// preferredNodeReachingStore probes all other nodes and returns the address that
// preferredAddress selects from those that reach the store.
func (n *Node) preferredNodeReachingStore(ctx context.Context) string {
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

// preferredAddress receives up to count answers and returns the first that is the address
// of a candidate, or the first address if no candidate answers within candidateWait of
// it. Empty answers are ignored; if all are empty, it returns an empty string.
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

// announceOwnership notifies the other nodes that this one has become the owner, so
// that they need not read it from the store.
func (n *Node) announceOwnership(owner store.Owner) {
	message := n.newHello()
	message.Owner = owner
	message.Token = owner.Token
	n.broadcast(message, "ownerNotAnnounced")
}

// broadcast sends the hello to all other nodes without waiting for their responses. A
// failure is logged as failureEvent.
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

// announceRelease notifies the other nodes that the term of ownership with the token was
// released, so that the successor need not wait until it detects the owner's silence.
func (n *Node) announceRelease(token int64, successor string) {
	message := n.newHello()
	message.ReleasedToken = token
	message.Successor = successor
	n.log.Info("ownershipReleased", "token", token, "successor", message.Successor)
	n.broadcast(message, "releaseNotTold")
}
