package node

import (
	"context"
	"maps"
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

	// helloInterval is how often each of the first watchers among the nodes reports
	// to the owner, and so notices its silence; the others report every
	// slowHelloInterval, so that the owner's cost hardly grows with their number. The
	// owner takes a silence of helloLimit as a reason not to ask for advice.
	helloInterval     = 200 * time.Millisecond
	slowHelloInterval = 900 * time.Millisecond
	helloLimit        = 2200 * time.Millisecond
	// watchers is a whole cell of today's size.
	watchers = 7
	// helloTimeout bounds one report; a round trip between regions is 40 ms.
	helloTimeout = 300 * time.Millisecond
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
	// Owner is the node itself when it has become the owner, at Token.
	Owner store.Owner `cbor:"8,keyasint"`
	Token int64       `cbor:"9,keyasint,omitempty"`
	// Cores is the processor time that the node may use, in cores.
	Cores float64 `cbor:"10,keyasint,omitempty"`
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
	// Strongest is the cores of the strongest good owner that the node knows of.
	Strongest float64 `cbor:"6,keyasint,omitempty"`
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
			cores:       h.Cores,
		}
	}
	h.Owner.Token = h.Token
	if n.takeOwner(h.Owner) {
		n.ownerSeen = time.Now()
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

		Strongest: n.strongestKnown(),
	}
	if n.shard == nil {
		w.OwnerAgeMillis = time.Since(n.ownerHeard).Milliseconds()
	}
	for _, m := range n.members {
		w.Members = append(w.Members, m.address)
	}
	return w, nil
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
		Cores:       n.options.Cores,
	}
}

// watches reports whether this node is among the first by address, which notice
// first that the owner is silent.
func (n *Node) watches() bool {
	before := 0
	for _, address := range n.addresses("") {
		if address < n.options.Address {
			before++
		}
	}
	return before < watchers
}

// reportInterval returns how long the node waits between reports to the owner.
func (n *Node) reportInterval() time.Duration {
	if n.watches() {
		return helloInterval
	}
	return slowHelloInterval
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
