package node

import (
	"context"
	"crypto/rand"
	"crypto/tls"
	"errors"
	"fmt"
	"log/slog"
	"sync"
	"sync/atomic"
	"time"

	"github.com/oklog/run"

	"github.com/citronbay/citronbay/internal/api/peer"
	"github.com/citronbay/citronbay/internal/api/traffic"
	"github.com/citronbay/citronbay/internal/cluster/operator"
	"github.com/citronbay/citronbay/internal/cluster/shard"
	"github.com/citronbay/citronbay/internal/cluster/store"
	"github.com/citronbay/citronbay/internal/cluster/worker"
	"github.com/citronbay/citronbay/internal/decide/evacuation"
	"github.com/citronbay/citronbay/internal/decide/owner"
)

// AgreementSource locates and decodes the operators' agreement in the store, that is,
// the configuration of teams, queues and routes.
type AgreementSource struct {
	Key    string
	Decode func([]byte) (*operator.Agreement, error)
}

// EvacuationSource locates and decodes the operators' requests to evacuate failure domains in the
// store. Without a prefix there are none.
type EvacuationSource struct {
	// Prefix is the common prefix of the keys.
	Prefix string
	// Decode returns the request of an item. It also returns the request beside an error: that the
	// key exists is what counts.
	Decode func(store.Item) (evacuation.Request, error)
}

// Options are the settings and dependencies of a node.
type Options struct {
	// Name is the node's name, which is unique in the cluster.
	Name string
	// Shard is the name of the shard that the node may own.
	Shard string
	// Address is the UDP address (IP:port) at which the node serves its peers; Seeds are
	// the addresses of other nodes.
	Address string
	Seeds   []string
	// Secret is shared by all nodes of the cluster and authenticates them to each other.
	// It has at least 16 bytes.
	Secret          string
	Store           store.Client
	Directory       Directory
	AgreementSource AgreementSource
	// ChangeInForce is the time after its acknowledgement within which a change of the
	// agreement has to be in force; zero means no limit.
	ChangeInForce time.Duration
	// EvacuationSource and EvacuationInForce, the time after its acknowledgement from which no task
	// may start in an evacuated failure domain, are zero if there are no evacuations.
	EvacuationSource  EvacuationSource
	EvacuationInForce time.Duration
	// Interference enables keeping tasks apart that slow each other down.
	Interference bool
	// NewWorkerClient returns a client of the worker that opens at most the given number of
	// connections, and the function that closes it.
	NewWorkerClient func(r worker.Registration, connections int) (worker.Client, func())
	// Advisor calls the policy service.
	Advisor worker.Advisor
	// JobStateRetention is how long the state of an ended job can be read.
	JobStateRetention time.Duration
	// WorkerLease is the duration of the worker lease: how long a worker keeps its
	// tasks running without contact with the owner.
	WorkerLease time.Duration
	// MaxWorkerLease is the longest worker lease that workers grant.
	MaxWorkerLease time.Duration
	// Cores is the processor capacity that the node may use, in cores of the usual speed.
	Cores float64
	// Link is the link of the node's VM. Descriptors is the number of file descriptors and
	// MemoryMB the memory in MiB that the node may use; zero means unknown.
	Link        traffic.Link
	Descriptors int
	MemoryMB    int64
	// PeerLimits are the limits of what other nodes pass on, and of peers that have not proved
	// the secret.
	PeerLimits peer.Limits
	Log        *slog.Logger
}

// Node is one process of the cluster. Create it with New.
type Node struct {
	options         Options
	incarnation     string
	started         time.Time
	tlsConfig       *tls.Config
	server          *peer.Server // of the calls of peers
	log             *slog.Logger
	leaving         atomic.Bool
	electionTrigger chan struct{}
	// agreementSeen is the newest version of the agreement in an owner's response.
	agreementSeen atomic.Int64
	// storeLost reports whether the election's last call to the store failed; only the
	// goroutine of elect sets it.
	storeLost atomic.Bool

	// agreementCopy is the last copy of the agreement that was read over a small link or with the
	// requests to evacuate, and decoded the agreement that was last decoded; either may be nil.
	agreementCopy atomic.Pointer[store.Copy]
	decoded       atomic.Pointer[decodedAgreement]
	// unreadableEvacuations holds the revisions of the requests that were logged as unreadable, by
	// their keys.
	unreadableEvacuations atomic.Pointer[map[string]int64]
	// fleetSize is the number of workers in the directory as last read.
	fleetSize atomic.Int64

	mu    sync.Mutex
	seeds []string
	owner store.Owner
	// ownerServingAt is when an owner last confirmed that it serves, or zero if its
	// ownership has ended since or this node is to replace it. ownerAnsweredAt is when
	// the owner known at that time last answered a hello of this node, whether or not it
	// served. Either may date from an owner before the present one.
	ownerServingAt  time.Time
	ownerAnsweredAt time.Time
	// ownerLearnedAt is when this node learned of the known owner.
	ownerLearnedAt time.Time
	// ownerLastServing is when any owner last confirmed that it serves.
	ownerLastServing time.Time
	// ownerChanged is closed when a new owner is known, so that calls to the previous
	// one are cancelled.
	ownerChanged chan struct{}
	// shard and term, the term of ownership in which it runs, are nil unless this node is
	// the owner.
	shard *shard.Shard
	term  *store.Term
	// contact is that of the requests of callers with the owner.
	contact owner.Contact
	// recovery is the term in which this node opens the shard, or nil.
	recovery *recovery
	// changes holds the unplanned changes of the owner, and plannedChange is set if the known
	// owner has announced the end of its term itself.
	changes       owner.Changes
	plannedChange bool
	// changeSeen is set once the owner has changed without a plan.
	changeSeen bool
	// members holds the nodes that have sent a hello, by name, and those that an owner
	// has listed in a response to a hello, by address. A node may be in it under both.
	members map[string]member
	// listedUntil is the last address that an owner has listed.
	listedUntil string
	// ownerLink is the link of the owner that last answered a hello of this node.
	ownerLink traffic.Link
	// heirs are the addresses that the owner has named as those of better owners than this node.
	heirs []string
	// clients are the connections to peers, by address.
	clients map[string]*peer.Client
	// storeRoundTrip is the shortest round trip to the store so far.
	storeRoundTrip time.Duration
	// reportedMaxCores is MaxCandidateCores of the last response to a hello of this
	// node.
	reportedMaxCores float64
	// successor is the address of the node that was named as the next owner: by the last
	// owner, or by this or another node that replaces a silent one. successorNamedAt is
	// when that happened.
	successor string
	// releasedToken is the fencing token of the term of ownership that the successor
	// may end: one that was released, or that of a silent owner.
	releasedToken    int64
	successorNamedAt time.Time
}

// New returns a node that is idle until Run is called. It returns an error if the secret
// has less than 16 bytes.
func New(options Options) (*Node, error) {
	tlsConfig, err := peer.TLSConfig(options.Secret)
	if err != nil {
		return nil, fmt.Errorf("node: %w", err)
	}
	n := &Node{
		options:         options,
		seeds:           options.Seeds,
		incarnation:     rand.Text(),
		started:         time.Now(),
		tlsConfig:       tlsConfig,
		log:             options.Log,
		electionTrigger: make(chan struct{}, 1),

		ownerChanged: make(chan struct{}),
		members:      map[string]member{},
		clients:      map[string]*peer.Client{},
	}
	n.server = n.peerServer()
	return n, nil
}

// Run serves peers and takes part in the election of the owner until the context ends.
// It returns an error if it cannot listen on its address or if serving fails.
func (n *Node) Run(ctx context.Context) error {
	listener, closeListener, err := peer.ListenLimited(n.options.Address, n.tlsConfig, n.options.PeerLimits)
	if err != nil {
		return fmt.Errorf("node: %w", err)
	}
	defer closeListener()
	var group run.Group
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	group.Add(func() error {
		return n.server.Serve(ctx, listener)
	}, func(error) {
		cancel()
	})
	group.Add(func() error {
		n.elect(ctx)
		return nil
	}, func(error) {
		cancel()
	})
	group.Add(func() error {
		n.sendHellos(ctx)
		return nil
	}, func(error) {
		cancel()
	})
	n.log.Info("nodeStarted", "life", n.incarnation, "address", n.options.Address, "cores", n.options.Cores,
		"linkMbps", n.options.Link.Mbps, "descriptors", n.options.Descriptors, "memoryMB", n.options.MemoryMB)
	return group.Run()
}

// Leave makes the node hand over its ownership and claim none from then on, so that
// the process can stop. It does not wait for the handover.
func (n *Node) Leave() {
	n.leaving.Store(true)
	n.triggerElection()
}

// SetSeeds replaces the addresses of other nodes that are known from the settings.
func (n *Node) SetSeeds(seeds []string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.seeds = seeds
}

// readyTimeout is how long a node stays ready without confirmation that the owner
// serves; a takeover after a crash takes less.
const readyTimeout = 5 * time.Second

// Ready reports whether requests sent to this node are likely to be served.
func (n *Node) Ready() bool {
	if n.leaving.Load() {
		return false
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.shard != nil || time.Since(n.ownerServingAt) < readyTimeout
}

func (n *Node) peerClient(address string) *peer.Client {
	n.mu.Lock()
	defer n.mu.Unlock()
	c := n.clients[address]
	if c == nil {
		c, _ = peer.NewClient(address, n.tlsConfig, n.server)
		n.clients[address] = c
	}
	return c
}

func (n *Node) currentShard() *shard.Shard {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.shard
}

// holdsLease reports whether this node is certainly still the owner.
func (n *Node) holdsLease() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.term != nil && n.term.Remaining() > 0
}

func (n *Node) currentOwner() (store.Owner, <-chan struct{}) {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.owner, n.ownerChanged
}

// markOwnerServing records that the known owner serves now. The caller holds n.mu.
func (n *Node) markOwnerServing() {
	n.ownerServingAt = time.Now()
	n.ownerLastServing = n.ownerServingAt
}

// updateOwner replaces the known owner if o has a higher fencing token. If that was this
// node, its term of ownership ends.
func (n *Node) updateOwner(o store.Owner) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.updateOwnerLocked(o)
}

// updateOwnerLocked is updateOwner for callers that hold n.mu. It reports whether the
// known owner was replaced.
func (n *Node) updateOwnerLocked(o store.Owner) bool {
	if o.Token <= n.owner.Token {
		return false
	}
	n.log.Info("ownerLearned", "owner", o.Node, "token", o.Token, "before", n.owner.Token)
	replaced := fmt.Errorf("%s is the owner with token %d", o.Node, o.Token)
	if n.shard != nil {
		// The lease may still be valid by this node's clock.
		n.term.Revoke(replaced)
		n.shard, n.term = nil, nil
	}
	if n.recovery != nil {
		n.recovery.term.Revoke(replaced)
		n.endRecoveryLocked()
	}
	n.setOwnerLocked(o)
	return true
}

// setOwnerLocked replaces the known owner and cancels calls to the previous one. The
// caller holds n.mu.
func (n *Node) setOwnerLocked(o store.Owner) {
	if n.owner.Token != 0 && n.owner.Token != o.Token && !n.plannedChange {
		// The first change is no sign of a series if no owner has served since this process
		// started: all nodes may have started with it.
		if n.changeSeen || !n.ownerLastServing.IsZero() {
			n.changes = n.changes.With(time.Now())
		}
		n.changeSeen = true
	}
	n.plannedChange = false
	if n.owner.Token != o.Token {
		n.ownerLearnedAt = time.Now()
	}
	n.owner = o
	close(n.ownerChanged)
	n.ownerChanged = make(chan struct{})
}

// triggerElection makes elect check again whether the owner is live, without waiting
// for the rest of electInterval.
func (n *Node) triggerElection() {
	select {
	case n.electionTrigger <- struct{}{}:
	default:
	}
}

var (
	errNoOwner     = errors.New("node: no owner is known")
	errOwnerSilent = errors.New("node: no packets arrive from the owner")
)
