package node

import (
	"context"
	"errors"
	"maps"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/citronbay/citronbay/internal/api/peer"
	"github.com/citronbay/citronbay/internal/api/traffic"
	"github.com/citronbay/citronbay/internal/cluster/caller"
	"github.com/citronbay/citronbay/internal/cluster/shard"
	"github.com/citronbay/citronbay/internal/cluster/store"
	"github.com/citronbay/citronbay/internal/cluster/worker"
	"github.com/citronbay/citronbay/internal/decide/owner"
)

const (
	methodServe  = "serve"
	methodHello  = "hello"
	methodAdvise = "advise"
	methodProbe  = "probe"

	// fastHelloInterval is how often the nodes that watch the owner send it a hello, and so
	// detect its silence. The others send one every slowHelloInterval, so that the owner's
	// load hardly grows with their number. A node whose last hello is older than
	// memberTimeout is no candidate and is not asked to call the policy service.
	fastHelloInterval = 200 * time.Millisecond
	slowHelloInterval = 900 * time.Millisecond
	memberTimeout     = 2200 * time.Millisecond
	// memberMemory is how long a node stays known that an owner has listed. In that time an
	// owner lists 500 nodes.
	memberMemory = time.Minute
	// membersPerHello is the number of addresses in the response to a hello.
	membersPerHello = 8
	// maxHeirs is the number of nodes that an owner names to others as its heirs.
	maxHeirs = 3
	// sampleSize is the number of peers that a node asks when it does not know the owner.
	sampleSize = 3
	// announceFanOut is the number of peers to which each node passes an announcement on, and
	// maxRelayAttempts how many silent ones it skips for each of these.
	announceFanOut   = 4
	maxRelayAttempts = 4
	// helloTimeout bounds one hello exchange. Its packets are repeated in that time if they are
	// lost, and the owner gets further hellos meanwhile.
	helloTimeout = time.Second
	// questionTimeout bounds the exchange with another node about a silent owner; a round trip
	// between regions is 40 ms.
	questionTimeout = 300 * time.Millisecond
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
	// Forward lists the addresses to which the receiver passes an announcement on.
	Forward []string `cbor:"11,keyasint,omitempty"`
	// ListedUntil is the last address in the response to the last hello; the next response
	// continues after it.
	ListedUntil string `cbor:"12,keyasint,omitempty"`
	// Link is the node's link, and Descriptors and MemoryMB are the file descriptors and the
	// memory in MiB that its process may use; zero means unknown.
	Link        traffic.Link `cbor:"13,keyasint,omitempty"`
	Descriptors int          `cbor:"14,keyasint,omitempty"`
	MemoryMB    int64        `cbor:"15,keyasint,omitempty"`
}

// helloResponse is what the receiver of a hello knows of the owner and the members.
type helloResponse struct {
	// Owner is the owner that the answering node knows of, with the fencing token Token.
	Owner store.Owner `cbor:"1,keyasint"`
	Token int64       `cbor:"2,keyasint"`
	// Serving is true if the answering node is the owner and its lease is valid.
	Serving bool `cbor:"3,keyasint"`
	// MemberAddresses are the addresses of some of the nodes whose hellos the answering node
	// has received lately, from the one after ListedUntil of the request.
	MemberAddresses []string `cbor:"4,keyasint,omitempty"`
	// OwnerSilenceMillis is how long ago the owner last answered a hello or another call
	// of the answering node, in milliseconds. It is 0 if that node is the owner, and 292
	// years, the longest time.Duration, if no owner has ever answered it.
	OwnerSilenceMillis int64 `cbor:"5,keyasint,omitempty"`
	// MaxCandidateCores is the most cores of any candidate that the answering node knows
	// of.
	MaxCandidateCores float64 `cbor:"6,keyasint,omitempty"`
	// Recovering is true if the answering node is the owner, but reads the journal first.
	Recovering bool `cbor:"7,keyasint,omitempty"`
	// Heirs are the addresses of nodes that would be better owners than the one that has sent
	// the hello.
	Heirs []string `cbor:"8,keyasint,omitempty"`
	// Link is the link of the owner.
	Link traffic.Link `cbor:"9,keyasint,omitempty"`
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
	server.Limit(n.options.PeerLimits, methodServe)
	peer.Handle(server, methodPreview, n.previewAsOwner)
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
// caller.NotOwner otherwise. If the node is about to be the owner, it waits for that, since the
// request would otherwise be sent again and again.
func (n *Node) serveAsOwner(ctx context.Context, r caller.Request) (caller.Response, error) {
	s := n.awaitShard(ctx)
	if s == nil {
		return caller.Response{Status: caller.NotOwner}, nil
	}
	return s.Serve(ctx, r), nil
}

// handleHello records the sender as a member, or removes it if it is leaving. If the
// request announces that ownership was taken or released, it updates the known owner or
// the named successor, and passes the announcement on.
func (n *Node) handleHello(ctx context.Context, request helloRequest) (helloResponse, error) {
	if len(request.Forward) > 0 {
		message := request
		message.Forward = nil
		n.announce(message, request.Forward)
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	n.noteMember(request, peer.RemoteOf(ctx))
	request.Owner.Token = request.Token
	if n.updateOwnerLocked(request.Owner) {
		n.markOwnerServing()
	}
	if request.ReleasedToken > 0 && request.ReleasedToken == n.owner.Token {
		n.ownerServingAt = time.Time{}
		n.successor = request.Successor
		n.releasedToken = request.ReleasedToken
		n.successorNamedAt = time.Now()
		n.plannedChange = request.Node == n.owner.Node
		n.triggerElection()
	}
	response := helloResponse{
		Owner:   n.owner,
		Token:   n.owner.Token,
		Serving: n.shard != nil && n.shard.LeaseValid(),

		Recovering:        n.recovery != nil && n.recovery.term.Remaining() > 0,
		MaxCandidateCores: n.maxCandidateCores(),
	}
	if n.shard == nil && n.recovery == nil {
		response.OwnerSilenceMillis = time.Since(n.lastAnswerOfOwner()).Milliseconds()
		return response, nil
	}
	response.MemberAddresses = owner.Page(n.liveAddresses(), request.ListedUntil, membersPerHello)
	response.Heirs = n.heirsFor(request)
	response.Link = n.options.Link
	return response, nil
}

// noteMember records the sender of a hello as a member, or removes it if it is leaving. The
// caller holds n.mu.
func (n *Node) noteMember(request helloRequest, remote *peer.Remote) {
	if request.Token != 0 || request.ReleasedToken != 0 {
		remote = n.members[request.Node].remote // another node may have passed the announcement on
	}
	if request.Leaving {
		delete(n.members, request.Node)
		return
	}
	if c := n.clients[request.Address]; c != nil {
		c.Resume()
	}
	n.members[request.Node] = member{
		address:              request.Address,
		remote:               remote,
		lastHello:            time.Now(),
		started:              time.Now().Add(-time.Duration(request.UptimeMillis) * time.Millisecond),
		storeRoundTripMillis: request.StoreRoundTripMillis,
		cores:                request.Cores,
		link:                 request.Link,
		descriptors:          request.Descriptors,
		memoryMB:             request.MemoryMB,
	}
}

// liveAddresses returns the sorted addresses of this node and of those whose last hello is
// recent. The caller holds n.mu.
func (n *Node) liveAddresses() []string {
	addresses := []string{n.options.Address}
	for _, m := range n.liveMembers() {
		addresses = append(addresses, m.address)
	}
	slices.Sort(addresses)
	return slices.Compact(addresses)
}

// lastAnswerOfOwner returns when the owner last answered this node, or when this node learned of
// it if that was later. The caller holds n.mu.
func (n *Node) lastAnswerOfOwner() time.Time {
	last := n.ownerAnsweredAt
	if client := n.clients[n.owner.Address]; client != nil && client.LastReply().After(last) {
		last = client.LastReply()
	}
	if n.ownerLearnedAt.After(last) {
		last = n.ownerLearnedAt
	}
	return last
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
		ListedUntil:          n.listedUntil,
		Link:                 n.options.Link,
		Descriptors:          n.options.Descriptors,
		MemoryMB:             n.options.MemoryMB,
	}
}

// watchesOwner reports whether this node is one of those that send the owner frequent hellos
// and replace it when it is silent.
func (n *Node) watchesOwner() bool {
	return owner.IsWatcher(n.options.Address, n.peerAddresses(""))
}

// helloInterval returns how often this node sends a hello to the owner.
func (n *Node) helloInterval() time.Duration {
	if n.watchesOwner() {
		return fastHelloInterval
	}
	return slowHelloInterval
}

// sendHelloToSample sends hellos to some of the other nodes, to learn of a newer owner.
func (n *Node) sendHelloToSample(ctx context.Context, except string) {
	for _, a := range n.samplePeers(sampleSize, except) {
		go n.sendHello(ctx, a, false)
	}
}

// samplePeers returns the addresses of at most count other nodes except one, at random. What
// a node sends while it looks for an owner must not grow with the number of nodes: all of them
// do so at once.
func (n *Node) samplePeers(count int, except string) []string {
	addresses := n.peerAddresses(except)
	rand.Shuffle(len(addresses), func(i, j int) {
		addresses[i], addresses[j] = addresses[j], addresses[i]
	})
	return addresses[:min(count, len(addresses))]
}

// peerAddresses returns the addresses of all other known nodes except one.
func (n *Node) peerAddresses(except string) []string {
	n.mu.Lock()
	defer n.mu.Unlock()
	known := map[string]bool{}
	for _, a := range n.seeds {
		known[a] = true
	}
	for name, m := range n.members {
		if time.Since(m.lastKnown()) > memberMemory {
			delete(n.members, name)
			continue
		}
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
		advisors = append(advisors, shard.AdvisorNode{
			Node: name,
			Ask:  n.askThrough(m),
		})
	}
	return advisors
}

// askThrough returns a function that has the member call the policy service. It uses the
// connection over which the member sends its hellos, if that is open.
func (n *Node) askThrough(m member) func(context.Context, string, int, []string) ([]worker.Ticket, error) {
	return func(ctx context.Context, job string, step int, workers []string) ([]worker.Ticket, error) {
		request := adviseRequest{
			Job:     job,
			Step:    step,
			Workers: workers,
		}
		var p peer.Peer = m.remote
		if !m.remote.IsOpen() {
			p = n.peerClient(m.address)
		}
		r, err := peer.Call[adviseResponse](ctx, p, methodAdvise, request)
		if err != nil && !errors.Is(err, peer.ErrRemote) {
			err = errors.Join(shard.ErrAdvisorUnreachable, err)
		}
		return r.Tickets, err
	}
}

func sleep(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}
