package node

import (
	"cmp"
	"context"
	"math"
	"slices"
	"time"

	"github.com/citronbay/citronbay/internal/api/peer"
	"github.com/citronbay/citronbay/internal/cluster/store"
	"github.com/citronbay/citronbay/internal/decide/owner"
)

const (
	// probeSlack is the time by which this node's own read of the store may exceed twice
	// the time of another node's probe.
	probeSlack = 100 * time.Millisecond
	// maxProbes is the number of nodes that are asked at once whether they reach the store.
	// Most of them are candidates, if there are as many.
	maxProbes          = 8
	maxCandidateProbes = 6
	// firstSuspicion is the silence of the owner after which this node examines it.
	firstSuspicion = 400 * time.Millisecond
	// maxHellosInFlight bounds the hellos to the owner that wait for an answer.
	maxHellosInFlight = 5
	// silentConnectionTime is how long no packet may arrive from an owner that does not answer
	// until the connection to it is replaced. Calls in flight then fail, and the handshake takes
	// several times the bytes of a hello, so that a full link is not reason enough.
	silentConnectionTime = 600 * time.Millisecond
	// lossyConnectionTime is the same if the owner's link may be full.
	lossyConnectionTime = 2500 * time.Millisecond
)

// ownerWatch is what one node observes of the owner with the token.
type ownerWatch struct {
	token   int64
	packets uint64    // received from the owner so far
	heardAt time.Time // when packets last grew
	resetAt time.Time // when the connection was last replaced
}

// observe notes the number of packets received from the owner so far.
func (w *ownerWatch) observe(token int64, packets uint64, now time.Time) {
	if w.token != token || w.packets != packets {
		w.token, w.packets, w.heardAt = token, packets, now
	}
}

// sendHellos sends hellos to the owner at regular intervals, without waiting for the answer to
// the one before: on a full link packets are lost, and the next hello may get through. If the
// known owner, which may be this node, does not serve, it also asks some of the other nodes
// for a newer one, unless the store can tell. It replaces an owner that is silent.
func (n *Node) sendHellos(ctx context.Context) {
	var watch ownerWatch
	inFlight := make(chan struct{}, maxHellosInFlight)
	for ctx.Err() == nil {
		known, _ := n.currentOwner()
		switch {
		case n.currentShard() != nil && !n.holdsLease():
			// Another node may have become the owner and its announcement been lost.
			n.sendHelloToSample(ctx, n.options.Address)
			sleep(ctx, fastHelloInterval)
			continue
		case n.currentShard() != nil || n.isRecovering():
			sleep(ctx, fastHelloInterval)
			continue
		case known.Address == "" || known.Incarnation == n.incarnation:
			n.seekOwner(ctx, known)
			sleep(ctx, n.helloInterval())
			continue
		}
		select {
		case inFlight <- struct{}{}:
			go func() {
				n.sendHello(ctx, known.Address, true)
				<-inFlight
			}()
		default:
		}
		sleep(ctx, n.helloInterval())
		n.checkOwner(ctx, known, &watch)
	}
}

// checkOwner looks for another owner if the known one does not serve, and replaces it if it is
// silent.
func (n *Node) checkOwner(ctx context.Context, known store.Owner, watch *ownerWatch) {
	now := time.Now()
	watch.observe(known.Token, n.packetsOf(known.Address), now)
	silence := n.silenceOfOwner()
	if current, _ := n.currentOwner(); current.Token != known.Token || n.ownerIsLive() {
		return
	}
	n.seekOwner(ctx, known)
	if silence < firstSuspicion {
		return
	}
	n.log.Warn("ownerSilent", "owner", known.Node, "token", known.Token, "silence", silence, "heardAgo", now.Sub(watch.heardAt))
	heard := now.Sub(watch.heardAt) < silentConnectionTime
	resetAfter := silentConnectionTime
	if n.ownerHasSmallLink() {
		resetAfter = lossyConnectionTime
	}
	if now.Sub(watch.heardAt) > resetAfter && now.Sub(watch.resetAt) > resetAfter {
		watch.resetAt = now
		n.peerClient(known.Address).Reset()
	}
	if n.watchesOwner() && n.ownerIsSilent(ctx, known, heard) {
		n.replaceOwner(known)
	}
}

// seekOwner looks for an owner in the store, and asks some of the other nodes if the store does
// not answer, or if this node watches the owner.
func (n *Node) seekOwner(ctx context.Context, known store.Owner) {
	n.triggerElection()
	if n.storeLost.Load() || n.watchesOwner() {
		n.sendHelloToSample(ctx, known.Address)
	}
}

// silenceOfOwner returns for how long the owner has answered no call of this node.
func (n *Node) silenceOfOwner() time.Duration {
	n.mu.Lock()
	defer n.mu.Unlock()
	return time.Since(n.lastAnswerOfOwner())
}

// ownerHasSmallLink reports whether the link of the owner that was last heard of may be full.
func (n *Node) ownerHasSmallLink() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.ownerLink.IsSmall()
}

// packetsOf returns the number of packets that have arrived from the peer at the address.
func (n *Node) packetsOf(address string) uint64 {
	if address == "" {
		return 0
	}
	return n.peerClient(address).PacketsReceived()
}

// ownerIsSilent reports whether the owner has given no answer for as long as required, to this
// node and to the other nodes that watch it. At least one of these has to confirm that, and
// none may know of a newer owner, unless most have confirmed it before. The parameter heard
// tells whether packets of the owner arrive.
func (n *Node) ownerIsSilent(ctx context.Context, silent store.Owner, heard bool) bool {
	n.mu.Lock()
	patience, ok := n.changes.Patience(time.Now(), owner.Observation{
		Heard:     heard,
		SmallLink: n.ownerLink.IsSmall(),
		Weak:      n.isMuchWeaker() && len(n.heirs) == 0,
	})
	silence := time.Since(n.lastAnswerOfOwner())
	n.mu.Unlock()
	if !ok || silence < patience {
		return false
	}
	// Others have sent their last hello up to an interval later.
	others := patience - fastHelloInterval
	ctx, cancel := context.WithTimeout(ctx, questionTimeout)
	defer cancel()
	addresses := owner.Watchers(n.peerAddresses(silent.Address))
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
	confirmations := 0
	for range addresses {
		response := <-answers
		switch {
		case response.Token == 0:
		case response.Token > silent.Token || response.OwnerSilenceMillis < others.Milliseconds():
			return false
		case response.Token == silent.Token:
			confirmations++
		}
		if confirmations > len(addresses)/2 {
			return true // nodes that failed with the owner would only delay the answer
		}
	}
	return confirmations > 0
}

// replaceOwner names a successor of the silent owner, unless another owner is known by now
// or this node is leaving: a better owner if this node knows one, or else itself. The
// successor's next campaign then ends the silent owner's lease, if the store still has it
// as the owner, and claims ownership. This is safe even if that owner is alive: its term of
// ownership ends, and its journal writes fail once the owner key is deleted.
func (n *Node) replaceOwner(silent store.Owner) {
	better := cmp.Or(n.betterOwner(silent.Address), n.heir(silent.Address))
	if n.nameSuccessor(silent, cmp.Or(better, n.options.Address)) && better != "" {
		n.announceRelease(silent.Token, better)
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
// node answered, and whether that node is the known owner and serves or soon will. Callers set
// toOwner if the address is that of the known owner.
func (n *Node) sendHello(ctx context.Context, address string, toOwner bool) (answered, serving bool) {
	callCtx, cancel := context.WithTimeout(ctx, helloTimeout)
	defer cancel()
	response, err := peer.Call[helloResponse](callCtx, n.peerClient(address), methodHello, n.newHello())
	if err != nil {
		if toOwner && ctx.Err() == nil {
			n.log.Info("helloUnanswered", "address", address, "error", err)
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
	serving = n.noteServing(response)
	if toOwner {
		n.mu.Lock()
		n.ownerAnsweredAt = time.Now()
		if !serving && response.Token == n.owner.Token {
			n.ownerServingAt = time.Time{} // the owner says that it does not serve
		}
		n.mu.Unlock()
	}
	return true, serving
}

// noteServing reports whether the response is that of the known owner, which serves or opens
// the shard, and if so notes that and the members that it lists. An earlier owner may still
// believe that it serves.
func (n *Node) noteServing(response helloResponse) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	if !response.Serving && !response.Recovering || response.Token != n.owner.Token {
		return false
	}
	n.markOwnerServing()
	n.ownerLink = response.Link
	n.heirs = response.Heirs
	for _, a := range response.MemberAddresses {
		m := n.members[a]
		m.address, m.listed = a, time.Now()
		n.members[a] = m
		n.listedUntil = a
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

// preferredNodeReachingStore probes some of the other nodes, others in each call, and returns
// the address that preferredAddress selects from those that reach the store.
func (n *Node) preferredNodeReachingStore(ctx context.Context) string {
	isCandidate := n.candidateAddresses()
	addresses := sampleWithCandidates(n.samplePeers(math.MaxInt, ""), isCandidate)
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
	return preferredAddress(found, len(addresses), isCandidate)
}

// sampleWithCandidates returns the first maxProbes of the addresses, which are in random order, but
// at least maxCandidateProbes candidates among them if there are as many: a random sample of a
// large cluster may hold weak nodes only.
func sampleWithCandidates(addresses []string, isCandidate map[string]bool) []string {
	var candidates, others []string
	for _, address := range addresses {
		if isCandidate[address] {
			candidates = append(candidates, address)
			continue
		}
		others = append(others, address)
	}
	first := min(len(candidates), max(maxCandidateProbes, maxProbes-len(others)))
	sample := slices.Concat(candidates[:first], others, candidates[first:])
	return sample[:min(maxProbes, len(sample))]
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
func (n *Node) announceOwnership(self store.Owner) {
	message := n.newHello()
	message.Owner = self
	message.Token = self.Token
	addresses := n.samplePeers(math.MaxInt, n.options.Address)
	n.announce(message, addresses)
}

// announce sends the message to the addresses without waiting for responses: to a few of them,
// each of which passes it on to a part of the others. Connections to all nodes at once would
// cost a new owner more than the rest of its takeover. A node that an announcement does not
// reach learns of the owner from the store.
func (n *Node) announce(message helloRequest, addresses []string) {
	for _, group := range owner.Split(addresses, announceFanOut) {
		go func() {
			for attempt := 0; attempt < maxRelayAttempts && len(group) > 0; attempt++ {
				message := message
				message.Forward = group[1:]
				if n.tell(group[0], message) {
					return
				}
				group = group[1:]
			}
		}()
	}
}

// tell sends the announcement to one node, and reports whether it has answered.
func (n *Node) tell(address string, message helloRequest) bool {
	ctx, cancel := context.WithTimeout(context.Background(), helloTimeout)
	defer cancel()
	_, err := peer.Call[helloResponse](ctx, n.peerClient(address), methodHello, message)
	if err != nil {
		n.log.Info("notAnnounced", "address", address, "token", max(message.Token, message.ReleasedToken), "error", err)
	}
	return err == nil
}

// announceRelease notifies the successor that the term of ownership with the token was
// released, so that it need not wait until it detects the owner's silence. The others learn
// from the successor. If none is named, all nodes are notified.
func (n *Node) announceRelease(token int64, successor string) {
	message := n.newHello()
	message.ReleasedToken = token
	message.Successor = successor
	n.log.Info("ownershipReleased", "token", token, "successor", message.Successor)
	if successor == "" {
		n.announce(message, n.samplePeers(math.MaxInt, n.options.Address))
		return
	}
	go n.tell(successor, message)
}
