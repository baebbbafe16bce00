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
	// readHeaderTimeout is how long reading the header of a request may take.
	readHeaderTimeout = 5 * time.Second
	// readTimeout is how long reading a whole request may take.
	readTimeout = 30 * time.Second
	// writeTimeout bounds the time from reading the header of a request to the end
	// of the response. It exceeds the longest deadline of a request, 10 minutes
	// (MaxDeadlineMillis in the callers' API).
	writeTimeout = 11 * time.Minute
	// incarnationIDLength is the length of the incarnation's id, in characters.
	incarnationIDLength = 8
	// callerIdleTimeout is how long an idle connection of a caller is kept open.
	callerIdleTimeout = 60 * time.Second
)

// Node is an entry process. Create it with New.
type Node struct {
	settings       settings.Entry
	log            *slog.Logger
	self           peer.Member
	registry       *platform.Registry
	sync           *platform.Sync
	membership     *peer.Membership
	ownership      *shard.Ownership
	router         *shard.Router
	operatorServer *operator.Server
	peerServer     *apipeer.Server
	http           *http.Server
	metrics        *metrics.Set
	draining       atomic.Bool
	startTime      time.Time
}

// New returns an entry with the settings, and a function that closes its
// connections to peers and the platform. It returns an error if the peer secret is
// shorter than 16 bytes.
func New(entrySettings settings.Entry, log *slog.Logger) (*Node, func(), error) {
	tlsConfig, err := apipeer.TLSConfig(entrySettings.PeerSecret)
	if err != nil {
		return nil, nil, err
	}
	n := &Node{
		settings: entrySettings,
		log:      log,
		self: peer.Member{
			Name:        entrySettings.Name,
			Domain:      entrySettings.Domain,
			Region:      entrySettings.Region,
			Address:     entrySettings.PeerAddress,
			Incarnation: uuid.NewString()[:incarnationIDLength],
		},
		registry:   platform.NewRegistry(),
		peerServer: apipeer.NewServer(),
		metrics:    metrics.NewSet(),
		startTime:  time.Now(),
	}
	client, closePlatform := apiplatform.NewClient(entrySettings.PlatformAddress, entrySettings.Timings.StoreTimeout)
	n.sync = platform.NewSync(client, client, n.registry, entrySettings.Timings.DirectoryPoll, log)
	membership, closeMembership := peer.New(n.self, tlsConfig, entrySettings.Timings, n.registry, n.localState, log)
	n.membership = membership
	n.ownership = shard.NewOwnership(upstream.Options{
		Name:     entrySettings.Domain,
		Holder:   entrySettings.Name + "#" + n.self.Incarnation,
		Entry:    entrySettings.Name,
		Timings:  entrySettings.Timings,
		Store:    client,
		Sync:     n.sync,
		Registry: n.registry,
		Peers:    peerView{node: n},
		Log:      log,
	}, membership)
	n.router = shard.NewRouter(n.self, n.ownership, membership, n.sync, n.registry)
	n.operatorServer = operator.New(entrySettings, client, n.registry, membership, n.router, n.status, log)
	membership.Register(n.peerServer)
	n.router.Register(n.peerServer)
	n.http = n.newHTTPServer()
	return n, func() {
		closeMembership()
		closePlatform()
	}, nil
}

func (n *Node) newHTTPServer() *http.Server {
	mux := http.NewServeMux()
	caller.New(n.router, n.registry, admission{node: n}, n.settings, n.metrics, n.log).Register(mux)
	n.operatorServer.Register(mux)
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
		IdleTimeout:       callerIdleTimeout,
		MaxHeaderBytes:    n.settings.Limits.HeaderBytes,
	}
}

// Run serves until the context ends, then drains: requests in progress are given
// the drain time of the settings to complete. It returns an error if it cannot
// listen on an address or a server fails.
func (n *Node) Run(ctx context.Context) error {
	tlsConfig, err := apipeer.TLSConfig(n.settings.PeerSecret)
	if err != nil {
		return err
	}
	peerListener, closePeerListener, err := apipeer.Listen(n.settings.PeerAddress, tlsConfig)
	if err != nil {
		return err
	}
	defer closePeerListener()
	callerListener, err := net.Listen("tcp", n.settings.CallerAddress)
	if err != nil {
		return fmt.Errorf("caller: listen on %s: %w", n.settings.CallerAddress, err)
	}
	callerListener = limitConnections(callerListener, n.settings.Limits.Connections)
	n.log.Info("entry started", "entry", n.self.Name, "domain", n.self.Domain, "callerAddress", n.settings.CallerAddress, "peerAddress", n.settings.PeerAddress, "incarnation", n.self.Incarnation)

	// The servers and loops keep running after ctx ends, until the drain is over.
	runCtx, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	var group run.Group
	n.addLoop(runCtx, &group, n.sync.Run)
	n.addLoop(runCtx, &group, n.operatorServer.Run)
	n.addLoop(runCtx, &group, func(c context.Context) { n.membership.Run(c, n.settings.Peers, n.sync.Machines) })
	n.addLoop(runCtx, &group, n.ownership.Run)
	group.Add(func() error { return n.peerServer.Serve(runCtx, peerListener) }, func(error) { stop() })
	group.Add(func() error { return n.serveCallers(runCtx, callerListener) }, func(error) { _ = n.http.Close() })
	group.Add(func() error {
		<-ctx.Done()
		n.drain()
		return nil
	}, func(error) { stop() })
	err = group.Run()
	n.log.Info("entry stopped", "entry", n.self.Name, "error", err)
	return err
}

func (n *Node) addLoop(parent context.Context, group *run.Group, loop func(context.Context)) {
	ctx, cancel := context.WithCancel(parent)
	group.Add(func() error {
		loop(ctx)
		return nil
	}, func(error) { cancel() })
}

func (n *Node) serveCallers(ctx context.Context, listener net.Listener) error {
	err := n.http.Serve(listener)
	if errors.Is(err, http.ErrServerClosed) {
		// Serve returns as soon as the shutdown begins. Returning here too would stop
		// the whole group before the requests in progress have completed.
		<-ctx.Done()
		return nil
	}
	return fmt.Errorf("caller: serve: %w", err)
}

// drain rejects new work, releases the leases of the upstreams, and waits for the
// requests of callers and calls of peers in progress. Those that have not completed
// within the drain time, counted from the start of drain, are aborted.
func (n *Node) drain() {
	n.log.Info("draining", "entry", n.self.Name)
	n.draining.Store(true)
	ctx, cancel := context.WithTimeout(context.Background(), n.settings.Timings.Drain)
	defer cancel()
	n.ownership.Drain()
	if err := n.http.Shutdown(ctx); err != nil {
		n.log.Warn("aborting requests in progress", "step", "drain", "error", err)
	}
	if err := n.peerServer.Wait(ctx); err != nil {
		n.log.Warn("aborting calls of peers in progress", "step", "drain", "error", err)
	}
}

// localState returns the heartbeat's fields that the node knows. The membership
// adds the name, the incarnation and the digest before it sends the heartbeat.
func (n *Node) localState() peer.Heartbeat {
	heartbeat := peer.Heartbeat{
		Draining: n.draining.Load(),
		Preset:   n.registry.Cell().PresetInForce,
	}
	if owned := n.ownership.OwnedShard(); owned != nil {
		heartbeat.HeldLeases = owned.HeldLeases()
		heartbeat.UnitDemand = owned.UnitDemand()
	}
	return heartbeat
}

func (n *Node) status() apioperator.EntryStatus {
	heartbeat := n.localState()
	return apioperator.EntryStatus{
		Name:        n.self.Name,
		Domain:      n.self.Domain,
		Region:      n.self.Region,
		Alive:       true,
		OwnsShard:   heartbeat.OwnsShard(),
		Draining:    heartbeat.Draining,
		Revision:    n.registry.Digest().Revision,
		Preset:      heartbeat.Preset,
		Incarnation: n.self.Incarnation,
	}
}

func (n *Node) serveReady(w http.ResponseWriter, _ *http.Request) {
	if reason := (admission{node: n}).RejectReason(); reason != "" {
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
