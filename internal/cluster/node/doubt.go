package node

import (
	"context"
	"time"

	"github.com/citronbay/citronbay/internal/api/peer"
	"github.com/citronbay/citronbay/internal/cluster/store"
)

const (
	// silentHellos is the number of hellos without answer after which a node doubts
	// the owner, and silentTime the age of another node's last word from the owner
	// that confirms the doubt.
	silentHellos = 2
	silentTime   = 400 * time.Millisecond
	// probeSlack is what this node's own call to the store may take beyond twice the
	// time of another's.
	probeSlack = 100 * time.Millisecond
)

// greet reports to the owner in turn, and asks others for the owner when it does
// not serve.
func (n *Node) greet(ctx context.Context) {
	failures := 0
	for ctx.Err() == nil {
		owner, _ := n.currentOwner()
		if n.currentShard() != nil {
			failures = 0
			wait(ctx, helloInterval)
			continue
		}
		answered, serving := false, false
		if owner.Address != "" && owner.Life != n.life {
			answered, serving = n.greetOne(ctx, owner.Address, true)
		}
		if !serving {
			n.raiseSuspicion()
			n.askOthers(ctx, owner.Address)
		}
		if answered || owner.Life == n.life || owner.Address == "" {
			failures = 0
			wait(ctx, n.reportInterval())
			continue
		}
		failures++
		n.peer(owner.Address).Reset()
		if failures < n.patience() {
			continue // the next hello, over a new connection, decides
		}
		if n.ownerIsSilent(ctx, owner) {
			n.replaceOwner(owner)
		}
		wait(ctx, helloInterval)
	}
}

// patience returns the number of hellos without answer after which this node doubts
// the owner; a weak one leaves the claim to others for longer.
func (n *Node) patience() int {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.isWeak() {
		return 2 * silentHellos
	}
	return silentHellos
}

// ownerIsSilent reports whether another node confirms that the owner is silent and
// none contradicts.
func (n *Node) ownerIsSilent(ctx context.Context, owner store.Owner) bool {
	ctx, cancel := context.WithTimeout(ctx, helloTimeout)
	defer cancel()
	addresses := n.addresses(owner.Address)
	answers := make(chan welcome, len(addresses))
	for _, address := range addresses {
		go func() {
			w, err := peer.Call[welcome](ctx, n.peer(address), methodHello, n.hello())
			if err != nil {
				w = welcome{}
			}
			answers <- w
		}()
	}
	confirmed := false
	for range addresses {
		w := <-answers
		switch {
		case w.Token == 0:
		case w.Token > owner.Token || w.OwnerAgeMillis < silentTime.Milliseconds():
			return false
		case w.Token == owner.Token:
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
	n.nominee = n.options.Address
	n.nominated = time.Now()
	n.released = owner.Token
	n.ownerSeen = time.Time{}
	n.raiseSuspicion()
}

// greetOne reports to the address and takes what it says; it returns whether a
// node answered there, and whether it is the owner and serves.
func (n *Node) greetOne(ctx context.Context, address string, expected bool) (answered, serving bool) {
	call, cancel := context.WithTimeout(ctx, helloTimeout)
	defer cancel()
	w, err := peer.Call[welcome](call, n.peer(address), methodHello, n.hello())
	if err != nil {
		if expected && ctx.Err() == nil {
			n.log.Warn("ownerSilent", "address", address, "error", err)
		}
		return false, false
	}
	w.Owner.Token = w.Token
	if w.Token > 0 {
		n.learnOwner(w.Owner)
	}
	n.mu.Lock()
	n.strongest = w.Strongest
	n.mu.Unlock()
	if expected {
		n.mu.Lock()
		n.ownerHeard = time.Now()
		n.mu.Unlock()
	}
	if w.Serving {
		n.mu.Lock()
		n.ownerSeen = time.Now()
		for _, m := range w.Members {
			if n.members[m].address == "" {
				n.members[m] = member{address: m}
			}
		}
		n.mu.Unlock()
	}
	return true, w.Serving
}

// probe asks, and answers, whether a node reaches the store.
type probe struct {
	Reached bool `cbor:"1,keyasint,omitempty"`
}

// findConnected returns the address of a node that the store answers while it
// does not answer this one: the first of the others, a good owner before the rest, if
// this node's own call takes more than twice as long. Without one it returns an empty
// string.
func (n *Node) findConnected(ctx context.Context) string {
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	begun := time.Now()
	own := make(chan bool, 1)
	go func() {
		own <- n.reachesStore(ctx)
	}()
	found := n.firstConnected(ctx)
	if found == "" {
		return ""
	}
	select {
	case reached := <-own:
		if reached {
			return ""
		}
	case <-time.After(time.Since(begun) + probeSlack):
	case <-ctx.Done():
	}
	return found
}

func (n *Node) firstConnected(ctx context.Context) string {
	addresses := n.addresses("")
	found := make(chan string, len(addresses))
	for _, address := range addresses {
		go func() {
			answer, err := peer.Call[probe](ctx, n.peer(address), methodProbe, probe{})
			if err != nil || !answer.Reached {
				address = ""
			}
			found <- address
		}()
	}
	return preferred(found, len(addresses), n.goodAddresses())
}

// preferred returns the first good address of the answers, or the first of the others
// if no good one follows soon; empty answers do not count.
func preferred(answers <-chan string, count int, good map[string]bool) string {
	first := ""
	var late <-chan time.Time
	for range count {
		select {
		case address := <-answers:
			if good[address] {
				return address
			}
			if first == "" && address != "" {
				first = address
				late = time.After(candidateWait)
			}
		case <-late:
			return first
		}
	}
	return first
}

// announce tells the other nodes that this one has become the owner, so that they
// need not find out.
func (n *Node) announce(owner store.Owner) {
	message := n.hello()
	message.Owner = owner
	message.Token = owner.Token
	n.tell(message, "ownerNotAnnounced")
}

// tell sends the message to all other nodes and does not wait for them.
func (n *Node) tell(message hello, failure string) {
	for _, address := range n.addresses(n.options.Address) {
		go func() {
			ctx, cancel := context.WithTimeout(context.Background(), helloTimeout)
			defer cancel()
			_, err := peer.Call[welcome](ctx, n.peer(address), methodHello, message)
			if err != nil {
				n.log.Info(failure, "address", address, "error", err)
			}
		}()
	}
}

// tellReleased tells the other nodes that this one has given ownership up, so
// that a successor need not wait for silence.
func (n *Node) tellReleased(successor string) {
	owner, _ := n.currentOwner()
	message := n.hello()
	message.Released = owner.Token
	message.Successor = successor
	n.log.Info("ownershipReleased", "token", owner.Token, "successor", message.Successor)
	n.tell(message, "releaseNotTold")
}
