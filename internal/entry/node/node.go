package node

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/google/uuid"
	"github.com/oklog/run"

	apioperator "github.com/citronbay/citronbay/internal/api/operator"
	apipeer "github.com/citronbay/citronbay/internal/api/peer"
	apiplatform "github.com/citronbay/citronbay/internal/api/platform"
	"github.com/citronbay/citronbay/internal/entry/caller"
	"github.com/citronbay/citronbay/internal/entry/operator"
	"github.com/citronbay/citronbay/internal/entry/peer"
	"github.com/citronbay/citronbay/internal/entry/platform"
	"github.com/citronbay/citronbay/internal/entry/settings"
	"github.com/citronbay/citronbay/internal/entry/shard"
	"github.com/citronbay/citronbay/internal/entry/upstream"
)

const (
	// readHeaderTimeout bounds the reading of a request's header.
	readHeaderTimeout = 5 * time.Second
	// readTimeout bounds the reading of a whole request.
	readTimeout = 30 * time.Second
	// writeTimeout bounds a whole exchange, the longest deadline included.
	writeTimeout = 11 * time.Minute
	// incarnationLength is the length of the name of a process's run.
	incarnationLength = 8
	// idleTimeout is how long an idle connection of a caller is kept.
	idleTimeout = 60 * time.Second
)

// Node is one entry process. Create it with New.
type Node struct {
	settings   settings.Entry
	log        *slog.Logger
	self       peer.Member
	registry   *platform.Registry
	sync       *platform.Sync
	membership *peer.Membership
	keeper     *shard.Ownership
	router     *shard.Router
	operator   *operator.Server
	peers      *apipeer.Server
	http       *http.Server
	metrics    *metrics.Set
	draining   atomic.Bool
	begun      time.Time
}

// New returns an entry with the settings, and a clean-up function that closes
// its connections.
func New(entry settings.Entry, log *slog.Logger) (*Node, func(), error) {
	identity, err := apipeer.Identity(entry.PeerSecret)
	if err != nil {
		return nil, nil, err
	}
	n := &Node{
		settings: entry,
		log:      log,
		self: peer.Member{
			Name:        entry.Name,
			Domain:      entry.Domain,
			Region:      entry.Region,
			Address:     entry.PeerAddress,
			Incarnation: uuid.NewString()[:incarnationLength],
		},
		registry: platform.NewRegistry(),
		peers:    apipeer.NewServer(),
		metrics:  metrics.NewSet(),
		begun:    time.Now(),
	}
	client, closePlatform := apiplatform.NewClient(entry.PlatformAddress, entry.Timings.StoreTimeout)
	n.sync = platform.NewSync(client, client, n.registry, entry.Timings.DirectoryPoll, log)
	membership, closeMembership := peer.New(n.self, identity, entry.Timings, n.registry, n.beat, log)
	n.membership = membership
	n.keeper = shard.NewOwnership(upstream.Options{
		Name:     entry.Domain,
		Holder:   entry.Name + "#" + n.self.Incarnation,
		Entry:    entry.Name,
		Timings:  entry.Timings,
		Store:    client,
		Sync:     n.sync,
		Registry: n.registry,
		Peers:    neighbours{node: n},
		Log:      log,
	}, membership)
	n.router = shard.NewRouter(n.self, n.keeper, membership, n.sync, n.registry)
	n.operator = operator.New(entry, client, n.registry, membership, n.router, n.status, log)
	membership.Register(n.peers)
	n.router.Register(n.peers)
	n.http = n.httpServer()
	return n, func() {
		closeMembership()
		closePlatform()
	}, nil
}

func (n *Node) httpServer() *http.Server {
	mux := http.NewServeMux()
	caller.New(n.router, n.registry, gate{node: n}, n.settings, n.metrics, n.log).Register(mux)
	n.operator.Register(mux)
	mux.HandleFunc("GET /health", func(w http.ResponseWriter, _ *http.Request) {
		_, _ = w.Write([]byte("ok\n"))
	})
	mux.HandleFunc("GET /ready", n.serveReady)
	mux.HandleFunc("GET /metrics", n.serveMetrics)
	return &http.Server{
		Handler:           mux,
		ReadHeaderTimeout: readHeaderTimeout,
		ReadTimeout:       readTimeout,
		WriteTimeout:      writeTimeout,
		IdleTimeout:       idleTimeout,
		MaxHeaderBytes:    n.settings.Limits.HeaderBytes,
	}
}

// Run serves until the context ends, and then drains: no request in progress
// is cut, within the drain time of the settings.
func (n *Node) Run(ctx context.Context) error {
	identity, err := apipeer.Identity(n.settings.PeerSecret)
	if err != nil {
		return err
	}
	peers, closePeers, err := apipeer.Listen(n.settings.PeerAddress, identity)
	if err != nil {
		return err
	}
	defer closePeers()
	callers, err := net.Listen("tcp", n.settings.CallerAddress)
	if err != nil {
		return fmt.Errorf("caller: listen on %s: %w", n.settings.CallerAddress, err)
	}
	callers = limitConnections(callers, n.settings.Limits.Connections)
	n.log.Info("entry started", "entry", n.self.Name, "domain", n.self.Domain, "callerAddress", n.settings.CallerAddress, "peerAddress", n.settings.PeerAddress, "incarnation", n.self.Incarnation)

	// The parts outlive ctx until the drain is over.
	background, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	var group run.Group
	n.add(background, &group, n.sync.Run)
	n.add(background, &group, n.operator.Run)
	n.add(background, &group, func(c context.Context) { n.membership.Run(c, n.settings.Peers, n.sync.Machines) })
	n.add(background, &group, n.keeper.Run)
	group.Add(func() error { return n.peers.Serve(background, peers) }, func(error) { stop() })
	group.Add(func() error { return n.serveCallers(background, callers) }, func(error) { _ = n.http.Close() })
	group.Add(func() error {
		<-ctx.Done()
		n.drain()
		return nil
	}, func(error) { stop() })
	err = group.Run()
	n.log.Info("entry stopped", "entry", n.self.Name, "error", err)
	return err
}

func (n *Node) add(background context.Context, group *run.Group, loop func(context.Context)) {
	ctx, cancel := context.WithCancel(background)
	group.Add(func() error {
		loop(ctx)
		return nil
	}, func(error) { cancel() })
}

func (n *Node) serveCallers(background context.Context, listener net.Listener) error {
	err := n.http.Serve(listener)
	if errors.Is(err, http.ErrServerClosed) {
		// The shutdown goes on until the drain ends the group.
		<-background.Done()
		return nil
	}
	return fmt.Errorf("caller: serve: %w", err)
}

// drain refuses new work, hands over the upstreams, and waits for the requests
// in progress.
func (n *Node) drain() {
	n.log.Info("draining", "entry", n.self.Name)
	n.draining.Store(true)
	ctx, cancel := context.WithTimeout(context.Background(), n.settings.Timings.Drain)
	defer cancel()
	n.keeper.Drain()
	if err := n.http.Shutdown(ctx); err != nil {
		n.log.Warn("requests were cut", "step", "drain", "error", err)
	}
	if err := n.peers.Wait(ctx); err != nil {
		n.log.Warn("calls of peers were cut", "step", "drain", "error", err)
	}
}

// beat returns what the entry tells its peers of itself.
func (n *Node) beat() peer.Heartbeat {
	beat := peer.Heartbeat{
		Draining: n.draining.Load(),
		Preset:   n.registry.Cell().InForce,
	}
	if owned := n.keeper.OwnedShard(); owned != nil {
		beat.Held = owned.Held()
		beat.Wants = owned.Wants()
	}
	return beat
}

func (n *Node) status() apioperator.EntryStatus {
	beat := n.beat()
	return apioperator.EntryStatus{
		Name:        n.self.Name,
		Domain:      n.self.Domain,
		Region:      n.self.Region,
		Alive:       true,
		Owns:        beat.Owns(),
		Draining:    beat.Draining,
		Revision:    n.registry.Digest().Revision,
		Preset:      beat.Preset,
		Incarnation: n.self.Incarnation,
	}
}

func (n *Node) serveReady(w http.ResponseWriter, _ *http.Request) {
	if reason := (gate{node: n}).RejectReason(); reason != "" {
		http.Error(w, reason, http.StatusServiceUnavailable)
		return
	}
	_, _ = w.Write([]byte("ready\n"))
}

func (n *Node) serveMetrics(w http.ResponseWriter, _ *http.Request) {
	n.metrics.WritePrometheus(w)
	metrics.WriteProcessMetrics(w)
	n.writeShardMetrics(w)
}
