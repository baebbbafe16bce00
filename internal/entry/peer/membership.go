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
	// farHeartbeat is how many heartbeats of the own domain go by for one to
	// an entry of another domain, since those may be billed.
	farHeartbeat = 3
	// maxFlapDelay bounds how long a peer that comes and goes must be steady
	// before it counts as alive again.
	maxFlapDelay = 30 * time.Second
)

// Membership watches the other entries. Create it with New.
type Membership struct {
	self     Member
	identity *tls.Config
	timings  settings.Timings
	registry *platform.Registry
	log      *slog.Logger
	beat     func() Heartbeat
	begin    time.Time

	mu    sync.Mutex
	peers map[string]*tracked
}

// tracked is one other entry with what was last heard of it.
type tracked struct {
	member Member
	client *peer.Client
	close  func()
	cancel context.CancelFunc

	beat      Heartbeat
	heard     time.Time
	steady    time.Time
	flapDelay time.Duration
	missing   bool
}

// New returns a membership of the entry itself; beat gives what it tells of
// itself. The clean-up function closes the connections to all peers.
func New(self Member, identity *tls.Config, timings settings.Timings, registry *platform.Registry, beat func() Heartbeat, log *slog.Logger) (*Membership, func()) {
	m := &Membership{
		self:     self,
		identity: identity,
		timings:  timings,
		registry: registry,
		log:      log,
		beat:     beat,
		begin:    time.Now(),
		peers:    map[string]*tracked{},
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

// Register serves the membership's methods.
func (m *Membership) Register(server *peer.Server) {
	peer.Handle(server, MethodHeartbeat, m.serveHeartbeat)
	peer.Handle(server, MethodSync, m.serveSync)
	peer.Handle(server, MethodWithdraw, m.serveWithdraw)
}

func (m *Membership) serveHeartbeat(_ context.Context, beat Heartbeat) (HeartbeatResponse, error) {
	m.mu.Lock()
	t, ok := m.peers[beat.Name]
	m.mu.Unlock()
	if ok {
		m.hear(t, beat)
	}
	return HeartbeatResponse{}, nil
}

func (m *Membership) ownBeat() Heartbeat {
	beat := m.beat()
	beat.Name = m.self.Name
	beat.Incarnation = m.self.Incarnation
	beat.Digest = m.registry.Digest()
	return beat
}

func (m *Membership) serveSync(_ context.Context, request SyncRequest) (SyncResponse, error) {
	m.registry.Withdraw(request.Withdrawn...)
	return SyncResponse{
		Entries:   m.registry.Newer(request.Revisions),
		Withdrawn: m.registry.Withdrawn(),
	}, nil
}

func (m *Membership) serveWithdraw(_ context.Context, request WithdrawRequest) (WithdrawResponse, error) {
	m.registry.Withdraw(request.Keys...)
	return WithdrawResponse{Entry: m.self.Name}, nil
}

// Run follows the lists of peers, from settings and directory, and exchanges
// heartbeats with each until the context ends.
func (m *Membership) Run(ctx context.Context, known []settings.Peer, directory func() []platform.Machine) {
	for _, p := range known {
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
		m.follow(ctx, directory())
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

func (m *Membership) follow(ctx context.Context, machines []platform.Machine) {
	for _, machine := range machines {
		if machine.VM.Role != apiplatform.RoleEntry {
			continue
		}
		if machine.Missing.IsZero() {
			m.track(ctx, Member{
				Name:    machine.VM.Name,
				Domain:  machine.VM.Domain,
				Region:  machine.VM.Region,
				Address: machine.VM.Address,
			})
		}
		m.setMissing(machine.VM.Name, !machine.Missing.IsZero())
	}
}

func (m *Membership) setMissing(name string, missing bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if t, ok := m.peers[name]; ok {
		t.missing = missing
	}
}

// track begins heartbeats with a peer that is new or has a new address.
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
	client, closeClient := peer.NewClient(member.Address, m.identity)
	ctx, cancel := context.WithCancel(ctx)
	t := &tracked{
		member: member,
		client: client,
		close:  closeClient,
		cancel: cancel,
	}
	m.peers[member.Name] = t
	go m.exchange(ctx, t)
}

// exchange sends heartbeats to one peer; a call that times out has its
// connection replaced.
func (m *Membership) exchange(ctx context.Context, t *tracked) {
	interval := m.timings.Heartbeat
	if t.member.Domain != m.self.Domain {
		interval *= farHeartbeat
	}
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	for {
		m.exchangeOnce(ctx, t)
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

func (m *Membership) exchangeOnce(ctx context.Context, t *tracked) {
	callCtx, cancel := context.WithTimeout(ctx, m.timings.PeerTimeout)
	defer cancel()
	_, err := peer.Call[HeartbeatResponse](callCtx, t.client, MethodHeartbeat, m.ownBeat())
	if err != nil {
		if ctx.Err() == nil {
			t.client.Reset()
		}
		return
	}
	if m.lacks(t) {
		m.pull(ctx, t)
	}
}

// lacks reports whether the peer may hold what this entry does not. Units are
// compared within the domain only, to spare the link between regions.
func (m *Membership) lacks(t *tracked) bool {
	m.mu.Lock()
	beat := t.beat
	m.mu.Unlock()
	own := m.registry.Digest()
	if own.Config != beat.Digest.Config || own.Withdrawn != beat.Digest.Withdrawn {
		return true
	}
	return t.member.Domain == m.self.Domain && own.Units != beat.Digest.Units
}

func (m *Membership) pull(ctx context.Context, t *tracked) {
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
	m.registry.Apply(response.Entries...)
}

func (m *Membership) hear(t *tracked, beat Heartbeat) {
	m.mu.Lock()
	defer m.mu.Unlock()
	now := time.Now()
	silent := !t.heard.IsZero() && now.Sub(t.heard) > m.timings.PeerTimeout
	restarted := t.beat.Incarnation != beat.Incarnation
	switch {
	case t.heard.IsZero() || restarted:
		t.steady = now
		m.log.Info("peer heard", "peer", t.member.Name, "incarnation", beat.Incarnation)
	case silent:
		t.flapDelay = min(maxFlapDelay, max(m.timings.PeerTimeout, 2*t.flapDelay))
		t.steady = now.Add(t.flapDelay)
		m.log.Info("peer heard again", "peer", t.member.Name, "aliveIn", t.flapDelay)
	case t.flapDelay > 0 && now.Sub(t.steady) > maxFlapDelay:
		t.flapDelay = 0
	}
	t.beat = beat
	t.heard = now
}

func (m *Membership) heardLately(t *tracked, now time.Time) bool {
	return !t.heard.IsZero() && now.Sub(t.heard) <= m.timings.PeerTimeout
}

// Status is one other entry as this one sees it.
type Status struct {
	Member Member
	Beat   Heartbeat
	// Heard tells whether a heartbeat came within the timeout.
	Heard bool
	// Steady tells whether it may be counted on to own a shard.
	Steady bool
	// Missing tells that the directory no longer lists it.
	Missing bool
	Client  *peer.Client
}

// Peers returns the other entries, sorted by name.
func (m *Membership) Peers() []Status {
	m.mu.Lock()
	defer m.mu.Unlock()
	now := time.Now()
	statuses := make([]Status, 0, len(m.peers))
	for _, t := range m.peers {
		heard := m.heardLately(t, now)
		statuses = append(statuses, Status{
			Member:  t.member,
			Beat:    t.beat,
			Heard:   heard,
			Steady:  heard && !now.Before(t.steady),
			Missing: t.missing,
			Client:  t.client,
		})
	}
	sort.Slice(statuses, func(i, j int) bool { return statuses[i].Member.Name < statuses[j].Member.Name })
	return statuses
}

// Warm reports whether enough time has passed since the start to have heard
// all peers that live.
func (m *Membership) Warm() bool {
	return time.Since(m.begin) > m.timings.PeerTimeout
}

// Owner returns the entry that owns the domain's shard as far as is known.
func (m *Membership) Owner(domain string) (Status, bool) {
	for _, status := range m.Peers() {
		if status.Member.Domain == domain && status.Heard && status.Beat.Owns() {
			return status, true
		}
	}
	return Status{}, false
}

// HearsDomain reports whether any other entry of the domain is heard, and
// whether there are any.
func (m *Membership) HearsDomain(domain string) (heard, exist bool) {
	for _, status := range m.Peers() {
		if status.Member.Domain != domain || status.Missing {
			continue
		}
		exist = true
		heard = heard || status.Heard
	}
	return heard, exist
}

// HearsOtherDomain reports whether an entry of another failure domain is heard
// and whether there are any.
func (m *Membership) HearsOtherDomain() (heard, exist bool) {
	for _, status := range m.Peers() {
		if status.Member.Domain == m.self.Domain {
			continue
		}
		exist = true
		heard = heard || status.Heard
	}
	return heard, exist
}

// ShouldOwn decides whether this entry, which holds so many leases, is to own
// its domain's shard: of those that own it, the one with most leases stays, and
// when none does, rendezvous hashing chooses among the steady entries.
func (m *Membership) ShouldOwn(held int) bool {
	candidates := []string{m.self.Name}
	most := held
	var owners []string
	if held > 0 {
		owners = candidates
	}
	for _, status := range m.Peers() {
		if status.Member.Domain != m.self.Domain || status.Beat.Draining {
			continue
		}
		if status.Steady {
			candidates = append(candidates, status.Member.Name)
		}
		if !status.Heard || !status.Beat.Owns() || status.Beat.Held < most {
			continue
		}
		if status.Beat.Held > most {
			owners = nil
			most = status.Beat.Held
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

// Withdraw tells all peers that the keys are withdrawn and returns the names of
// those that confirmed and of those that did not.
func (m *Membership) Withdraw(ctx context.Context, keys []string) (confirmed, unreached []string) {
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
