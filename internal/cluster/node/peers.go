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

	// fastHelloInterval is how often the first fastHelloNodes nodes, by address, send a
	// hello to the owner, and so detect its silence. The others send one every
	// slowHelloInterval, so that the owner's load hardly grows with their number. A node
	// whose last hello is older than memberTimeout is no candidate and is not asked to
	// call the policy service.
	fastHelloInterval = 200 * time.Millisecond
	slowHelloInterval = 900 * time.Millisecond
	memberTimeout     = 2200 * time.Millisecond
	// fastHelloNodes is the number of nodes that use fastHelloInterval. It covers all
	// nodes of the clusters deployed at present.
	fastHelloNodes = 7
	// helloTimeout bounds one hello exchange; a round trip between regions is 40 ms.
	helloTimeout = 300 * time.Millisecond
)

// helloRequest is a node's periodic message to the owner. It also announces to all
// nodes that ownership was taken or released, and asks them which owner they know of.
type helloRequest struct {
	Node    string `cbor:"1,keyasint"`
	Address string `cbor:"2,keyasint"`
	Leaving bool   `cbor:"3,keyasint,omitempty"`
	// ReleasedToken is the fencing token of a term of ownership that the node has
	// released, or that of a silent owner that it replaces, and Successor the address of
	// the node that should claim the next one.
	ReleasedToken int64  `cbor:"4,keyasint,omitempty"`
	Successor     string `cbor:"5,keyasint,omitempty"`
	// UptimeMillis is how long the node's process has run, in milliseconds.
	UptimeMillis int64 `cbor:"6,keyasint,omitempty"`
	// StoreRoundTripMillis is the node's shortest round trip to the store, or 0 if it
	// has not reached the store yet.
	StoreRoundTripMillis float64 `cbor:"7,keyasint,omitempty"`
	// Owner is the node itself when it has become the owner, with the fencing token
	// Token, which the encoding of Owner leaves out.
	Owner store.Owner `cbor:"8,keyasint"`
	Token int64       `cbor:"9,keyasint,omitempty"`
	// Cores is the processor capacity that the node may use, in cores of the usual speed.
	Cores float64 `cbor:"10,keyasint,omitempty"`
}

// helloResponse is what the receiver of a hello knows of the owner and the members.
type helloResponse struct {
	// Owner is the owner that the answering node knows of, with the fencing token Token.
	Owner store.Owner `cbor:"1,keyasint"`
	Token int64       `cbor:"2,keyasint"`
	// Serving is true if the answering node is the owner and its lease is valid.
	Serving bool `cbor:"3,keyasint"`
	// MemberAddresses are the addresses of the nodes that the answering node knows.
	MemberAddresses []string `cbor:"4,keyasint,omitempty"`
	// OwnerSilenceMillis is how long ago the owner last answered a hello or another call
	// of the answering node, in milliseconds. It is 0 if that node is the owner, and 292
	// years, the longest time.Duration, if no owner has ever answered it.
	OwnerSilenceMillis int64 `cbor:"5,keyasint,omitempty"`
	// MaxCandidateCores is the most cores of any candidate that the answering node knows
	// of.
	MaxCandidateCores float64 `cbor:"6,keyasint,omitempty"`
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
	peer.Handle(server, methodServe, n.serveAsOwner)
	peer.Handle(server, methodHello, n.handleHello)
	peer.Handle(server, methodAdvise, func(ctx context.Context, r adviseRequest) (adviseResponse, error) {
		tickets, err := n.options.Advisor.Advise(ctx, r.Job, r.Step, r.Workers)
		return adviseResponse{Tickets: tickets}, err
	})
	peer.Handle(server, methodProbe, func(ctx context.Context, _ probe) (probe, error) {
		return probe{Reached: n.reachesStore(ctx)}, nil
	})
	return server
}

// serveAsOwner serves a forwarded request if this node is the owner, and responds
// caller.NotOwner otherwise.
func (n *Node) serveAsOwner(ctx context.Context, r caller.Request) (caller.Response, error) {
	s := n.currentShard()
	if s == nil {
		return caller.Response{Status: caller.NotOwner}, nil
	}
	return s.Serve(ctx, r), nil
}

// handleHello records the sender as a member, or removes it if it is leaving. If the
// request announces that ownership was taken or released, it updates the known owner or
// the named successor.
func (n *Node) handleHello(_ context.Context, request helloRequest) (helloResponse, error) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if request.Leaving {
		delete(n.members, request.Node)
	} else {
		n.members[request.Node] = member{
			address:              request.Address,
			lastHello:            time.Now(),
			started:              time.Now().Add(-time.Duration(request.UptimeMillis) * time.Millisecond),
			storeRoundTripMillis: request.StoreRoundTripMillis,
			cores:                request.Cores,
		}
	}
	request.Owner.Token = request.Token
	if n.updateOwnerLocked(request.Owner) {
		n.markOwnerServing()
	}
	if request.ReleasedToken > 0 && request.ReleasedToken == n.owner.Token {
		n.ownerServingAt = time.Time{}
		n.successor = request.Successor
		n.releasedToken = request.ReleasedToken
		n.successorNamedAt = time.Now()
		n.triggerElection()
	}
	response := helloResponse{
		Owner:   n.owner,
		Token:   n.owner.Token,
		Serving: n.shard != nil && n.shard.LeaseValid(),

		MaxCandidateCores: n.maxCandidateCores(),
	}
	if n.shard == nil {
		response.OwnerSilenceMillis = time.Since(n.lastAnswerOfOwner()).Milliseconds()
	}
	for _, m := range n.members {
		response.MemberAddresses = append(response.MemberAddresses, m.address)
	}
	return response, nil
}

// lastAnswerOfOwner returns when the owner last answered this node. The caller holds
// n.mu.
func (n *Node) lastAnswerOfOwner() time.Time {
	client := n.clients[n.owner.Address]
	if client == nil || client.LastReply().Before(n.ownerAnsweredAt) {
		return n.ownerAnsweredAt
	}
	return client.LastReply()
}

func (n *Node) newHello() helloRequest {
	n.mu.Lock()
	defer n.mu.Unlock()
	return helloRequest{
		Node:                 n.options.Name,
		Address:              n.options.Address,
		Leaving:              n.leaving.Load(),
		UptimeMillis:         time.Since(n.started).Milliseconds(),
		StoreRoundTripMillis: n.storeRoundTrip.Seconds() * 1000,
		Cores:                n.options.Cores,
	}
}

// sendsFastHellos reports whether this node is one of the first fastHelloNodes nodes by
// address, which are the first to detect that the owner is silent.
func (n *Node) sendsFastHellos() bool {
	lowerAddresses := 0
	for _, address := range n.peerAddresses("") {
		if address < n.options.Address {
			lowerAddresses++
		}
	}
	return lowerAddresses < fastHelloNodes
}

// helloInterval returns how often this node sends a hello to the owner.
func (n *Node) helloInterval() time.Duration {
	if n.sendsFastHellos() {
		return fastHelloInterval
	}
	return slowHelloInterval
}

func (n *Node) sendHelloToOthers(ctx context.Context, except string) {
	for _, a := range n.peerAddresses(except) {
		go n.sendHello(ctx, a, false)
	}
}

// peerAddresses returns the addresses of all other known nodes except one.
func (n *Node) peerAddresses(except string) []string {
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

// advisors returns this node and those whose last hello is at most memberTimeout old.
// Each calls the policy service for the owner.
func (n *Node) advisors() []shard.AdvisorNode {
	n.mu.Lock()
	defer n.mu.Unlock()
	advisors := []shard.AdvisorNode{{
		Node: n.options.Name,
		Ask:  n.options.Advisor.Advise,
	}}
	for name, m := range n.members {
		if name == n.options.Name || time.Since(m.lastHello) > memberTimeout {
			continue
		}
		address := m.address
		advisors = append(advisors, shard.AdvisorNode{
			Node: name,
			Ask: func(ctx context.Context, job string, step int, workers []string) ([]worker.Ticket, error) {
				r, err := peer.Call[adviseResponse](ctx, n.peerClient(address), methodAdvise, adviseRequest{
					Job:     job,
					Step:    step,
					Workers: workers,
				})
				return r.Tickets, err
			},
		})
	}
	return advisors
}

func sleep(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}
