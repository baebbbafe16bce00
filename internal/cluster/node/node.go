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
	"github.com/citronbay/citronbay/internal/cluster/operator"
	"github.com/citronbay/citronbay/internal/cluster/shard"
	"github.com/citronbay/citronbay/internal/cluster/store"
	"github.com/citronbay/citronbay/internal/cluster/worker"
)

// Agreements finds the operators' agreement in the store.
type Agreements struct {
	Key    string
	Decode func([]byte) (*operator.Agreement, error)
}

// Options are what a node needs from its surroundings.
type Options struct {
	Name string
	// Shard is the name of the shard that the node may own.
	Shard string
	// Address is the node's UDP address for its peers; Seeds are those of others.
	Address string
	Seeds   []string
	// Secret is known to all nodes of the cluster.
	Secret     string
	Store      store.Client
	Directory  Directory
	Agreements Agreements
	Dial       func(worker.Registration) (worker.Client, func())
	Advisor    worker.Advisor
	StatusTime time.Duration
	HoldTime   time.Duration
	// Cores is the processor time that the node may use, in cores.
	Cores float64
	Log   *slog.Logger
}

// Node is one process of the cluster. Create it with New.
type Node struct {
	options         Options
	incarnation     string
	started         time.Time
	identity        *tls.Config
	log             *slog.Logger
	leaving         atomic.Bool
	electionTrigger chan struct{}
	// storeLost is the election's last word on the store; only elect uses it.
	storeLost bool

	mu    sync.Mutex
	seeds []string
	owner store.Owner
	// ownerServingAt is when the owner last said that it serves, and ownerHeard when it
	// last said anything.
	ownerServingAt  time.Time
	ownerAnsweredAt time.Time
	// ownerChanged closes when another owner is learned, so that calls to the one
	// before are given up.
	ownerChanged   chan struct{}
	shard          *shard.Shard
	members        map[string]member
	clients        map[string]*peer.Client
	storeRoundTrip time.Duration
	// reportedMaxCores is the cores of the reportedMaxCores good owner that another node knows of.
	reportedMaxCores float64
	// successor is the address of the node that the last owner wants as its
	// successor, and nominated when it said so.
	successor string
	// releasedToken is the token of the tenure that the last owner has given up.
	releasedToken    int64
	successorNamedAt time.Time
}

// New returns a node that does nothing until Run.
func New(options Options) (*Node, error) {
	identity, err := peer.Identity(options.Secret)
	if err != nil {
		return nil, fmt.Errorf("node: %w", err)
	}
	return &Node{
		options:         options,
		seeds:           options.Seeds,
		incarnation:     rand.Text(),
		started:         time.Now(),
		identity:        identity,
		log:             options.Log,
		electionTrigger: make(chan struct{}, 1),

		ownerChanged: make(chan struct{}),
		members:      map[string]member{},
		clients:      map[string]*peer.Client{},
	}, nil
}

// Run serves peers and takes part in the election until the context ends.
func (n *Node) Run(ctx context.Context) error {
	listener, closeListener, err := peer.Listen(n.options.Address, n.identity)
	if err != nil {
		return fmt.Errorf("node: %w", err)
	}
	defer closeListener()
	server := n.peerServer()
	var group run.Group
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	group.Add(func() error {
		return server.Serve(ctx, listener)
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
	n.log.Info("nodeStarted", "life", n.incarnation, "address", n.options.Address)
	return group.Run()
}

// Leave gives ownership up and takes none again, so that the node can stop.
func (n *Node) Leave() {
	n.leaving.Store(true)
	n.triggerElection()
}

// SetSeeds replaces the addresses that are asked when no owner is known.
func (n *Node) SetSeeds(seeds []string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.seeds = seeds
}

// readyTimeout is how long a node without word from the owner stays ready: a
// takeover after a crash takes less.
const readyTimeout = 5 * time.Second

// Ready reports whether requests are likely to be answered.
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
		c, _ = peer.NewClient(address, n.identity)
		n.clients[address] = c
	}
	return c
}

func (n *Node) currentShard() *shard.Shard {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.shard
}

func (n *Node) currentOwner() (store.Owner, <-chan struct{}) {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.owner, n.ownerChanged
}

// updateOwner takes a newer owner over an older one.
func (n *Node) updateOwner(o store.Owner) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.updateOwnerLocked(o)
}

// updateOwnerLocked reports whether the owner is newer than the one known, and takes it then;
// the caller holds the lock.
func (n *Node) updateOwnerLocked(o store.Owner) bool {
	if o.Token <= n.owner.Token {
		return false
	}
	n.log.Info("ownerLearned", "owner", o.Node, "token", o.Token, "before", n.owner.Token)
	n.setOwnerLocked(o)
	return true
}

// setOwnerLocked is called under the lock.
func (n *Node) setOwnerLocked(o store.Owner) {
	n.owner = o
	close(n.ownerChanged)
	n.ownerChanged = make(chan struct{})
}

// triggerElection has the election look at the store soon.
func (n *Node) triggerElection() {
	select {
	case n.electionTrigger <- struct{}{}:
	default:
	}
}

var errNoOwner = errors.New("node: no owner is known")
