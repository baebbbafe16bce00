package peer

import (
	"context"
	"crypto/tls"
	"log/slog"
	"slices"
	"sort"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/dgryski/go-rendezvous"

	"github.com/citronbay/citronbay/internal/api/peer"
	apiplatform "github.com/citronbay/citronbay/internal/api/platform"
	"github.com/citronbay/citronbay/internal/entry/platform"
	"github.com/citronbay/citronbay/internal/entry/settings"
)

const (
	// crossDomainHeartbeatFactor multiplies the heartbeat interval for peers in
	// other failure domains, since traffic between domains may be billed.
	crossDomainHeartbeatFactor = 3
	// maxFlapDelay limits how long a peer whose heartbeats have timed out and
	// resumed must wait before it counts as stable again.
	maxFlapDelay = 30 * time.Second
)

// Membership tracks the other entries of the system. Create it with New.
type Membership struct {
	self       Member
	tlsConfig  *tls.Config
	timings    settings.Timings
	registry   *platform.Registry
	log        *slog.Logger
	localState func() Heartbeat
	startTime  time.Time

	mu    sync.Mutex
	peers map[string]*trackedPeer
}

// trackedPeer is another entry with the state from its last heartbeat.
type trackedPeer struct {
	member Member
	client *peer.Client
	close  func()
	cancel context.CancelFunc

	lastHeartbeat     Heartbeat
	lastHeartbeatTime time.Time
	// stableAt is the time from which the peer counts as stable, and flapDelay the
	// delay set at its last timeout; see recordHeartbeat.
	stableAt  time.Time
	flapDelay time.Duration
	// missing is set while the directory no longer lists the peer.
	missing bool
}

// New returns the membership of the entry self. localState returns the local
// fields of outgoing heartbeats; name, incarnation and digest are filled in by
// the membership. The clean-up function closes the connections to all peers.
func New(self Member, tlsConfig *tls.Config, timings settings.Timings, registry *platform.Registry, localState func() Heartbeat, log *slog.Logger) (*Membership, func()) {
	m := &Membership{
		self:       self,
		tlsConfig:  tlsConfig,
		timings:    timings,
		registry:   registry,
		log:        log,
		localState: localState,
		startTime:  time.Now(),
		peers:      map[string]*trackedPeer{},
	}
	return m, m.close
}

func (m *Membership) close() {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, t := range m.peers {
		t.close()
	}
}

// Register adds the membership's method handlers to the server.
func (m *Membership) Register(server *peer.Server) {
	peer.Handle(server, MethodHeartbeat, m.serveHeartbeat)
	peer.Handle(server, MethodSync, m.serveSync)
	peer.Handle(server, MethodWithdraw, m.serveWithdraw)
}

// serveHeartbeat ignores a heartbeat from an entry that is not tracked, because
// neither the settings nor the directory has listed it yet. One that is may be called
// at once, also after connections to it have failed: it is alive.
func (m *Membership) serveHeartbeat(_ context.Context, heartbeat Heartbeat) (HeartbeatResponse, error) {
	m.mu.Lock()
	t, ok := m.peers[heartbeat.Name]
	m.mu.Unlock()
	if ok {
		t.client.Resume()
		m.recordHeartbeat(t, heartbeat)
	}
	return HeartbeatResponse{}, nil
}

func (m *Membership) ownHeartbeat() Heartbeat {
	heartbeat := m.localState()
	heartbeat.Name = m.self.Name
	heartbeat.Incarnation = m.self.Incarnation
	heartbeat.Digest = m.registry.Digest()
	return heartbeat
}

func (m *Membership) serveSync(_ context.Context, request SyncRequest) (SyncResponse, error) {
	m.registry.Withdraw(request.Withdrawn...)
	return SyncResponse{
		KeyValues: m.registry.Newer(request.Revisions),
		Withdrawn: m.registry.Withdrawn(),
	}, nil
}

func (m *Membership) serveWithdraw(_ context.Context, request WithdrawRequest) (WithdrawResponse, error) {
	m.registry.Withdraw(request.Keys...)
	return WithdrawResponse{Entry: m.self.Name}, nil
}

// Run tracks the peers listed in the settings and in the directory, and sends
// heartbeats to each until the context ends.
func (m *Membership) Run(ctx context.Context, configured []settings.Peer, directory func() []platform.Machine) {
	for _, p := range configured {
		m.track(ctx, Member{
			Name:    p.Name,
			Domain:  p.Domain,
			Region:  p.Region,
			Address: p.Address,
		})
	}
	ticker := time.NewTicker(m.timings.Heartbeat)
	defer ticker.Stop()
	for {
		m.applyDirectory(ctx, directory())
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

func (m *Membership) applyDirectory(ctx context.Context, machines []platform.Machine) {
	for _, machine := range machines {
		if machine.VM.Role != apiplatform.RoleEntry {
			continue
		}
		if machine.MissingSince.IsZero() {
			m.track(ctx, Member{
				Name:    machine.VM.Name,
				Domain:  machine.VM.Domain,
				Region:  machine.VM.Region,
				Address: machine.VM.Address,
			})
		}
		m.setMissing(machine.VM.Name, !machine.MissingSince.IsZero())
	}
}

func (m *Membership) setMissing(name string, missing bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if t, ok := m.peers[name]; ok {
		t.missing = missing
	}
}

// track starts sending heartbeats to a peer that is new or has changed its
// address.
func (m *Membership) track(ctx context.Context, member Member) {
	m.mu.Lock()
	defer m.mu.Unlock()
	known, ok := m.peers[member.Name]
	if member.Name == m.self.Name || (ok && known.member.Address == member.Address) {
		return
	}
	if ok {
		known.cancel()
		known.close()
	}
	client, closeClient := peer.NewClient(member.Address, m.tlsConfig, nil)
	ctx, cancel := context.WithCancel(ctx)
	t := &trackedPeer{
		member: member,
		client: client,
		close:  closeClient,
		cancel: cancel,
	}
	m.peers[member.Name] = t
	go m.runHeartbeats(ctx, t)
}

// runHeartbeats sends heartbeats to one peer until the context ends.
func (m *Membership) runHeartbeats(ctx context.Context, t *trackedPeer) {
	interval := m.timings.Heartbeat
	if t.member.Domain != m.self.Domain {
		interval *= crossDomainHeartbeatFactor
	}
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	for {
		m.sendHeartbeat(ctx, t)
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

// sendHeartbeat sends one heartbeat and, if the peer may hold newer revisions,
// pulls them. If the heartbeat fails, the connection is closed, so that the next
// heartbeat opens another.
func (m *Membership) sendHeartbeat(ctx context.Context, t *trackedPeer) {
	callCtx, cancel := context.WithTimeout(ctx, m.timings.PeerTimeout)
	defer cancel()
	_, err := peer.Call[HeartbeatResponse](callCtx, t.client, MethodHeartbeat, m.ownHeartbeat())
	if err != nil {
		if ctx.Err() == nil {
			t.client.Reset()
		}
		return
	}
	if m.shouldPull(t) {
		m.pull(ctx, t)
	}
}

// shouldPull reports whether the peer may hold revisions or withdrawn keys that this
// entry lacks, because their digests differ. Units are compared within the failure
// domain only, which saves traffic between domains and thus between regions.
func (m *Membership) shouldPull(t *trackedPeer) bool {
	m.mu.Lock()
	heartbeat := t.lastHeartbeat
	m.mu.Unlock()
	own := m.registry.Digest()
	if own.Config != heartbeat.Digest.Config || own.Withdrawn != heartbeat.Digest.Withdrawn {
		return true
	}
	return t.member.Domain == m.self.Domain && own.Units != heartbeat.Digest.Units
}

func (m *Membership) pull(ctx context.Context, t *trackedPeer) {
	ctx, cancel := context.WithTimeout(ctx, m.timings.PeerTimeout)
	defer cancel()
	response, err := peer.Call[SyncResponse](ctx, t.client, MethodSync, SyncRequest{
		Revisions: m.registry.Revisions(),
		Withdrawn: m.registry.Withdrawn(),
	})
	if err != nil {
		return
	}
	m.registry.Withdraw(response.Withdrawn...)
	m.registry.Apply(response.KeyValues...)
}

// recordHeartbeat stores the heartbeat. A new incarnation counts as stable at once,
// and a peer that resumes after a timeout only after its flapDelay. That delay is the
// peer timeout at first, doubles with each further timeout up to maxFlapDelay, and
// returns to zero once the peer has been stable for maxFlapDelay.
func (m *Membership) recordHeartbeat(t *trackedPeer, heartbeat Heartbeat) {
	m.mu.Lock()
	defer m.mu.Unlock()
	now := time.Now()
	timedOut := !t.lastHeartbeatTime.IsZero() && now.Sub(t.lastHeartbeatTime) > m.timings.PeerTimeout
	restarted := t.lastHeartbeat.Incarnation != heartbeat.Incarnation
	switch {
	case t.lastHeartbeatTime.IsZero() || restarted:
		t.stableAt = now
		m.log.Info("heartbeat received from new peer incarnation", "peer", t.member.Name, "incarnation", heartbeat.Incarnation)
	case timedOut:
		t.flapDelay = min(maxFlapDelay, max(m.timings.PeerTimeout, 2*t.flapDelay))
		t.stableAt = now.Add(t.flapDelay)
		m.log.Info("peer heartbeats resumed", "peer", t.member.Name, "aliveIn", t.flapDelay)
	case t.flapDelay > 0 && now.Sub(t.stableAt) > maxFlapDelay:
		t.flapDelay = 0
	}
	t.lastHeartbeat = heartbeat
	t.lastHeartbeatTime = now
}

func (m *Membership) isAlive(t *trackedPeer, now time.Time) bool {
	return !t.lastHeartbeatTime.IsZero() && now.Sub(t.lastHeartbeatTime) <= m.timings.PeerTimeout
}

// Status is the state of another entry as seen by this one.
type Status struct {
	Member Member
	// LastHeartbeat is the last heartbeat received; zero if there was none.
	LastHeartbeat Heartbeat
	// Alive reports whether a heartbeat arrived within the peer timeout.
	Alive bool
	// Stable reports whether the peer is alive and no flap delay is pending, so
	// that it is a candidate to own a shard.
	Stable bool
	// Missing reports that the directory no longer lists the peer.
	Missing bool
	Client  *peer.Client
}

// Peers returns the status of all other entries, sorted by name.
func (m *Membership) Peers() []Status {
	m.mu.Lock()
	defer m.mu.Unlock()
	now := time.Now()
	statuses := make([]Status, 0, len(m.peers))
	for _, t := range m.peers {
		alive := m.isAlive(t, now)
		statuses = append(statuses, Status{
			Member:        t.member,
			LastHeartbeat: t.lastHeartbeat,
			Alive:         alive,
			Stable:        alive && !now.Before(t.stableAt),
			Missing:       t.missing,
			Client:        t.client,
		})
	}
	sort.Slice(statuses, func(i, j int) bool { return statuses[i].Member.Name < statuses[j].Member.Name })
	return statuses
}

// WarmedUp reports whether the peer timeout has passed since the start, by which time
// each live peer should have sent a heartbeat.
func (m *Membership) WarmedUp() bool {
	return time.Since(m.startTime) > m.timings.PeerTimeout
}

// Owner returns the live peer that reports that it owns the domain's shard, and false
// if none does. If several do, it returns the one whose name sorts first. It does not
// consider this entry itself.
func (m *Membership) Owner(domain string) (Status, bool) {
	for _, status := range m.Peers() {
		if status.Member.Domain == domain && status.Alive && status.LastHeartbeat.OwnsShard() {
			return status, true
		}
	}
	return Status{}, false
}

// DomainPeerAlive reports whether another entry of the failure domain is alive,
// and whether any exists, leaving out those that the directory no longer lists.
func (m *Membership) DomainPeerAlive(domain string) (alive, exist bool) {
	for _, status := range m.Peers() {
		if status.Member.Domain != domain || status.Missing {
			continue
		}
		exist = true
		alive = alive || status.Alive
	}
	return alive, exist
}

// OtherDomainPeerAlive reports whether an entry of another failure domain is
// alive, and whether any is known, listed by the directory or not.
func (m *Membership) OtherDomainPeerAlive() (alive, exist bool) {
	for _, status := range m.Peers() {
		if status.Member.Domain == m.self.Domain {
			continue
		}
		exist = true
		alive = alive || status.Alive
	}
	return alive, exist
}

// ShouldOwn reports whether this entry, which holds heldLeases leases, should own
// its domain's shard. If entries already own the shard, the one with the most
// leases keeps it; rendezvous hashing breaks ties, and chooses among all stable
// entries if the shard has no owner. Draining peers are left out.
func (m *Membership) ShouldOwn(heldLeases int) bool {
	candidates := []string{m.self.Name}
	maxHeldLeases := heldLeases
	var owners []string
	if heldLeases > 0 {
		owners = candidates
	}
	for _, status := range m.Peers() {
		if status.Member.Domain != m.self.Domain || status.LastHeartbeat.Draining {
			continue
		}
		if status.Stable {
			candidates = append(candidates, status.Member.Name)
		}
		if !status.Alive || !status.LastHeartbeat.OwnsShard() || status.LastHeartbeat.HeldLeases < maxHeldLeases {
			continue
		}
		if status.LastHeartbeat.HeldLeases > maxHeldLeases {
			owners = nil
			maxHeldLeases = status.LastHeartbeat.HeldLeases
		}
		owners = append(owners, status.Member.Name)
	}
	if len(owners) > 0 {
		candidates = owners
	}
	slices.Sort(candidates)
	chosen := rendezvous.New(candidates, xxhash.Sum64String).Lookup(m.self.Domain)
	return chosen == m.self.Name
}

// SendWithdrawals sends the ids of withdrawn API keys to all peers. It returns the
// names of the peers that confirmed within the peer timeout and of those that did not,
// each sorted. It does not withdraw the keys in this entry's own registry.
func (m *Membership) SendWithdrawals(ctx context.Context, keys []string) (confirmed, unreached []string) {
	ctx, cancel := context.WithTimeout(ctx, m.timings.PeerTimeout)
	defer cancel()
	var mu sync.Mutex
	var calls sync.WaitGroup
	for _, status := range m.Peers() {
		calls.Go(func() {
			_, err := peer.Call[WithdrawResponse](ctx, status.Client, MethodWithdraw, WithdrawRequest{Keys: keys})
			mu.Lock()
			defer mu.Unlock()
			if err != nil {
				unreached = append(unreached, status.Member.Name)
				return
			}
			confirmed = append(confirmed, status.Member.Name)
		})
	}
	calls.Wait()
	slices.Sort(confirmed)
	slices.Sort(unreached)
	return confirmed, unreached
}
