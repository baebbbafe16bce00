package node

import (
	"context"
	"maps"
	"math"
	"slices"
	"time"

	"github.com/citronbay/citronbay/internal/api/peer"
	"github.com/citronbay/citronbay/internal/cluster/caller"
	"github.com/citronbay/citronbay/internal/cluster/shard"
	"github.com/citronbay/citronbay/internal/cluster/store"
	"github.com/citronbay/citronbay/internal/cluster/worker"
)

const (
	methodServe  = "serve"
	methodHello  = "hello"
	methodAdvise = "advise"
	methodProbe  = "probe"

	// helloInterval is how often a node reports to the owner, which takes its
	// silence for helloLimit as a reason not to ask it for advice.
	helloInterval = 200 * time.Millisecond
	helloLimit    = 1500 * time.Millisecond
	// helloTimeout bounds one report; a round trip between regions is 40 ms.
	helloTimeout = 300 * time.Millisecond
	// silentHellos is the number of hellos without answer after which a node doubts
	// the owner, and silentTime the age of another node's last word from the owner
	// that confirms the doubt.
	silentHellos = 2
	silentTime   = 400 * time.Millisecond
	// probeSlack is what this node's own call to the store may take beyond twice the
	// time of another's.
	probeSlack = 100 * time.Millisecond
	// nearFactor times the shortest round trip to the store still counts as near.
	nearFactor = 3
)

// hello is a node's report to another.
type hello struct {
	Node    string `cbor:"1,keyasint"`
	Address string `cbor:"2,keyasint"`
	Leaving bool   `cbor:"3,keyasint,omitempty"`
	// Released is the token of a tenure that the node has given up, and Successor
	// the address of the node that should claim the next.
	Released  int64  `cbor:"4,keyasint,omitempty"`
	Successor string `cbor:"5,keyasint,omitempty"`
	// AgeMillis is how long the node's process has run.
	AgeMillis int64 `cbor:"6,keyasint,omitempty"`
	// StoreMillis is its shortest round trip to the store.
	StoreMillis float64 `cbor:"7,keyasint,omitempty"`
}

// welcome answers a hello.
type welcome struct {
	Owner store.Owner `cbor:"1,keyasint"`
	Token int64       `cbor:"2,keyasint"`
	// Serving tells that the answering node is the owner and its lease lasts.
	Serving bool     `cbor:"3,keyasint"`
	Members []string `cbor:"4,keyasint,omitempty"`
	// OwnerAgeMillis is the age of the answering node's last word from the owner.
	OwnerAgeMillis int64 `cbor:"5,keyasint,omitempty"`
}

type adviseRequest struct {
	Job     string   `cbor:"1,keyasint"`
	Step    int      `cbor:"2,keyasint"`
	Workers []string `cbor:"3,keyasint"`
}

type adviseResponse struct {
	Tickets []worker.Ticket `cbor:"1,keyasint"`
}

func (n *Node) peerServer() *peer.Server {
	server := peer.NewServer()
	peer.Handle(server, methodServe, n.serveLocal)
	peer.Handle(server, methodHello, n.takeHello)
	peer.Handle(server, methodAdvise, func(ctx context.Context, r adviseRequest) (adviseResponse, error) {
		tickets, err := n.options.Advisor.Advise(ctx, r.Job, r.Step, r.Workers)
		return adviseResponse{Tickets: tickets}, err
	})
	peer.Handle(server, methodProbe, func(ctx context.Context, _ probe) (probe, error) {
		return probe{Reached: n.reachesStore(ctx)}, nil
	})
	return server
}

// probe asks, and answers, whether a node reaches the store.
type probe struct {
	Reached bool `cbor:"1,keyasint,omitempty"`
}

// findConnected returns the address of a node that the store answers while it
// does not answer this one: the first of the others, if this node's own call takes
// more than twice as long. Without one it returns an empty string.
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
	for range addresses {
		if address := <-found; address != "" {
			return address
		}
	}
	return ""
}

// serveLocal answers a request if this node is the owner.
func (n *Node) serveLocal(ctx context.Context, r caller.Request) (caller.Response, error) {
	s := n.currentShard()
	if s == nil {
		return caller.Response{Status: caller.NotOwner}, nil
	}
	return s.Serve(ctx, r), nil
}

func (n *Node) takeHello(_ context.Context, h hello) (welcome, error) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if h.Leaving {
		delete(n.members, h.Node)
	} else {
		n.members[h.Node] = member{
			address:     h.Address,
			seen:        time.Now(),
			born:        time.Now().Add(-time.Duration(h.AgeMillis) * time.Millisecond),
			storeMillis: h.StoreMillis,
		}
	}
	if h.Released > 0 && h.Released == n.owner.Token {
		n.ownerSeen = time.Time{}
		n.nominee = h.Successor
		n.released = h.Released
		n.nominated = time.Now()
		n.raiseSuspicion()
	}
	w := welcome{
		Owner:   n.owner,
		Token:   n.owner.Token,
		Serving: n.shard != nil && n.shard.Valid(),
	}
	if n.shard == nil {
		w.OwnerAgeMillis = time.Since(n.ownerHeard).Milliseconds()
	}
	for _, m := range n.members {
		w.Members = append(w.Members, m.address)
	}
	return w, nil
}

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
			wait(ctx, helloInterval)
			continue
		}
		failures++
		n.peer(owner.Address).Reset()
		if failures < silentHellos {
			continue // the next hello, over a new connection, decides
		}
		if n.ownerIsSilent(ctx, owner) {
			n.replaceOwner(owner)
		}
		wait(ctx, helloInterval)
	}
}

// ownerIsSilent reports whether others have not heard of the owner of late either,
// and nobody has.
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

func (n *Node) hello() hello {
	n.mu.Lock()
	defer n.mu.Unlock()
	return hello{
		Node:        n.options.Name,
		Address:     n.options.Address,
		Leaving:     n.leaving.Load(),
		AgeMillis:   time.Since(n.born).Milliseconds(),
		StoreMillis: n.roundTrip.Seconds() * 1000,
	}
}

// successor returns the address of the node that should own the shard next: near
// the store, and the one that was started last, since machines are stopped and
// started in turn and it has had its turn.
func (n *Node) successor() string {
	n.mu.Lock()
	defer n.mu.Unlock()
	var fresh []member
	nearest := math.Inf(1)
	for _, m := range n.members {
		if time.Since(m.seen) > helloLimit || m.address == n.options.Address {
			continue
		}
		if m.storeMillis == 0 {
			m.storeMillis = math.Inf(1) // it has not reached the store yet
		}
		fresh = append(fresh, m)
		nearest = min(nearest, m.storeMillis)
	}
	var best member
	for _, m := range fresh {
		if m.storeMillis <= nearest*nearFactor && m.born.After(best.born) {
			best = m
		}
	}
	return best.address
}

// tellReleased tells the other nodes that this one has given ownership up, so
// that a successor need not wait for silence.
func (n *Node) tellReleased(successor string) {
	owner, _ := n.currentOwner()
	message := n.hello()
	message.Released = owner.Token
	message.Successor = successor
	n.log.Info("ownershipReleased", "token", owner.Token, "successor", message.Successor)
	for _, address := range n.addresses(n.options.Address) {
		go func() {
			ctx, cancel := context.WithTimeout(context.Background(), helloTimeout)
			defer cancel()
			_, err := peer.Call[welcome](ctx, n.peer(address), methodHello, message)
			if err != nil {
				n.log.Info("releaseNotTold", "address", address, "error", err)
			}
		}()
	}
}

func (n *Node) askOthers(ctx context.Context, except string) {
	for _, a := range n.addresses(except) {
		go n.greetOne(ctx, a, false)
	}
}

// addresses returns those of all other nodes that are known, but for one.
func (n *Node) addresses(except string) []string {
	n.mu.Lock()
	defer n.mu.Unlock()
	known := map[string]bool{}
	for _, a := range n.seeds {
		known[a] = true
	}
	for _, m := range n.members {
		known[m.address] = true
	}
	delete(known, except)
	delete(known, n.options.Address)
	return slices.Collect(maps.Keys(known))
}

// advisors returns this node and those that have reported of late.
func (n *Node) advisors() []shard.Advice {
	n.mu.Lock()
	defer n.mu.Unlock()
	list := []shard.Advice{{
		Node: n.options.Name,
		Ask:  n.options.Advisor.Advise,
	}}
	for name, m := range n.members {
		if name == n.options.Name || time.Since(m.seen) > helloLimit {
			continue
		}
		address := m.address
		list = append(list, shard.Advice{
			Node: name,
			Ask: func(ctx context.Context, job string, step int, workers []string) ([]worker.Ticket, error) {
				r, err := peer.Call[adviseResponse](ctx, n.peer(address), methodAdvise, adviseRequest{
					Job:     job,
					Step:    step,
					Workers: workers,
				})
				return r.Tickets, err
			},
		})
	}
	return list
}

func wait(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}
