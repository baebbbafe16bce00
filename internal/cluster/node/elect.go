package node

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"github.com/citronbay/citronbay/internal/cluster/operator"
	"github.com/citronbay/citronbay/internal/cluster/shard"
	"github.com/citronbay/citronbay/internal/cluster/store"
)

const (
	// electInterval is how often a node without an owner looks at the store.
	electInterval = 250 * time.Millisecond
	// ownerFresh is how long beyond the interval of reports an owner's last word
	// spares a look at the store.
	ownerFresh = 500 * time.Millisecond
	// storeTimeout bounds a look at the store.
	storeTimeout = time.Second
	// distanceFactor times the round trip to the store is a node's handicap, so
	// that a node in the store's region becomes the owner.
	distanceFactor = 20
	// turnedAwayTime is the age of the last renewal from which an owner asks whether
	// the store serves others, and turnedAwayLook how often it looks. Renewals come
	// every 300 ms, and a store eighty times slower than usual answers in as much.
	turnedAwayTime = 500 * time.Millisecond
	turnedAwayLook = 50 * time.Millisecond
	// nomineeTime is how long the others leave the claim to a named successor.
	nomineeTime = 600 * time.Millisecond
	// maxHandicap bounds it while the store is slow.
	maxHandicap = time.Second
)

// elect watches for the absence of an owner, and owns the shard while it can.
func (n *Node) elect(ctx context.Context) {
	n.noteStore(ctx, n.contend(ctx))
	for ctx.Err() == nil {
		if n.leaving.Load() || n.ownerIsFresh() {
			n.idle(ctx)
			continue
		}
		n.noteStore(ctx, n.contend(ctx))
		n.idle(ctx)
	}
}

// noteStore logs when the store is lost and when it is regained.
func (n *Node) noteStore(ctx context.Context, err error) {
	lost := err != nil && ctx.Err() == nil
	if lost == n.storeLost {
		return
	}
	n.storeLost = lost
	if lost {
		n.log.Warn("storeLost", "error", err)
		return
	}
	n.log.Info("storeRegained")
}

func (n *Node) idle(ctx context.Context) {
	select {
	case <-ctx.Done():
	case <-n.suspect:
		if !n.isNominee() {
			wait(ctx, electInterval/2)
		}
	case <-time.After(electInterval):
	}
}

func (n *Node) ownerIsFresh() bool {
	limit := n.reportInterval() + ownerFresh
	n.mu.Lock()
	defer n.mu.Unlock()
	return time.Since(n.ownerSeen) < limit
}

// contend looks at the store and becomes the owner if there is none.
func (n *Node) contend(ctx context.Context) error {
	call, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	asked := time.Now()
	item, err := n.options.Store.Get(call, store.OwnerKey(n.options.Shard))
	n.measure(time.Since(asked), err)
	switch {
	case errors.Is(err, store.ErrNotFound):
		return n.claim(ctx)
	case err != nil:
		return fmt.Errorf("node: read owner: %w", err)
	}
	owner, err := store.DecodeOwner(item)
	if err != nil {
		return err
	}
	if owner.Node == n.options.Name && owner.Life != n.life {
		n.log.Info("earlierLifeEnded", "token", owner.Token)
		return n.options.Store.EndLease(call, owner.Lease)
	}
	if n.isNominee() && owner.Token == n.releasedToken() {
		// Its owner cannot reach the store to end the lease itself.
		if err := n.options.Store.EndLease(call, owner.Lease); err != nil {
			return fmt.Errorf("node: end lease of the last owner: %w", err)
		}
		return n.claim(ctx)
	}
	n.learnOwner(owner)
	return nil
}

// endWhenTurnedAway gives the tenure up when the store leaves this node without
// answers while it serves another, which then is the successor. It answers an
// outage for single machines, in which waiting for the lease to lapse would stop
// all work.
func (n *Node) endWhenTurnedAway(tenure *store.Tenure) {
	for tenure.Context().Err() == nil {
		wait(tenure.Context(), turnedAwayLook)
		if tenure.Remaining() > store.LeaseTime-turnedAwayTime {
			continue
		}
		successor := n.findConnected(tenure.Context())
		if successor == "" {
			continue
		}
		n.log.Warn("turnedAway", "token", tenure.Token(), "remaining", tenure.Remaining(), "successor", successor)
		tenure.Depose(errors.New("the store does not answer this node"))
		n.tellReleased(successor)
		return
	}
}

// reachesStore reports whether the store answers this node.
func (n *Node) reachesStore(ctx context.Context) bool {
	_, err := n.options.Store.Get(ctx, store.OwnerKey(n.options.Shard))
	return err == nil || errors.Is(err, store.ErrNotFound)
}

// releasedToken returns the token of the tenure that was given up last.
func (n *Node) releasedToken() int64 {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.released
}

func (n *Node) measure(d time.Duration, err error) {
	if err != nil && !errors.Is(err, store.ErrNotFound) {
		return
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.roundTrip == 0 || d < n.roundTrip {
		n.roundTrip = d
	}
}

// isNominee reports whether the last owner has named this node as its successor.
func (n *Node) isNominee() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.nominee == n.options.Address && time.Since(n.nominated) < nomineeTime
}

// handicap returns how long the node waits before it claims.
func (n *Node) handicap() time.Duration {
	if n.isNominee() {
		return 0
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	d := min(maxHandicap, n.roundTrip*distanceFactor) + rand.N(electInterval/2)
	if n.isWeak() {
		d += weakHandicap
	}
	if n.nominee != "" && time.Since(n.nominated) < nomineeTime {
		d += nomineeTime
	}
	return d
}

func (n *Node) claim(ctx context.Context) error {
	wait(ctx, n.handicap())
	if n.ownerIsFresh() || n.leaving.Load() {
		return nil
	}
	tenure, release, err := store.Claim(ctx, n.options.Store, n.options.Shard, store.Owner{
		Node:    n.options.Name,
		Life:    n.life,
		Address: n.options.Address,
	}, n.log)
	if errors.Is(err, store.ErrNotDone) {
		return nil
	}
	if err != nil {
		return err
	}
	defer release()
	n.log.Info("ownershipTaken", "shard", n.options.Shard, "token", tenure.Token())
	err = n.own(ctx, tenure)
	n.log.Info("ownershipEnded", "shard", n.options.Shard, "token", tenure.Token(), "reason", err)
	return nil
}

// own runs the shard until the tenure ends or the node leaves.
func (n *Node) own(ctx context.Context, tenure *store.Tenure) error {
	taken := time.Now()
	agreed := make(chan *operator.Agreement, 1)
	go func() {
		agreed <- n.readAgreement(tenure.Context())
	}()
	s, err := shard.Open(tenure.Context(), shard.Options{
		Store:      n.options.Store,
		Tenure:     tenure,
		Agreement:  func() *operator.Agreement { return <-agreed },
		Dial:       n.options.Dial,
		Advisors:   n.advisors,
		StatusTime: n.options.StatusTime,
		HoldTime:   n.options.HoldTime,
		Log:        n.log,
	})
	if err != nil {
		return err
	}
	directory := newDirectoryReader(n.options.Directory, n.log)
	go store.Follow(tenure.Context(), n.options.Store, n.options.Directory.Prefix, n.log, func(items map[string]store.Item) {
		s.SetWorkers(directory.read(items))
	})
	go store.Follow(tenure.Context(), n.options.Store, n.options.Agreements.Key, n.log, func(items map[string]store.Item) {
		n.takeAgreement(s, items)
	})
	self := store.Owner{
		Node:    n.options.Name,
		Life:    n.life,
		Address: n.options.Address,
		Token:   tenure.Token(),
	}
	n.setShard(s, self)
	defer n.setShard(nil, store.Owner{})
	n.announce(self)
	metrics.GetOrCreateHistogram("citronbay_takeover_seconds").Update(time.Since(taken).Seconds())
	n.log.Info("takeoverDone", "token", tenure.Token(), "took", time.Since(taken))
	go n.endWhenLeaving(ctx, tenure)
	go n.endWhenTurnedAway(tenure)
	go n.endWhenBetter(tenure)
	return s.Run()
}

// endWhenLeaving ends the tenure when the node stops.
func (n *Node) endWhenLeaving(ctx context.Context, tenure *store.Tenure) {
	const look = 50 * time.Millisecond
	for tenure.Context().Err() == nil {
		if n.leaving.Load() || ctx.Err() != nil {
			n.handOver(tenure, n.successor())
			return
		}
		wait(tenure.Context(), look)
	}
}

// handOver ends the tenure and names the successor. The lease ends beside the message;
// whichever comes first will do.
func (n *Node) handOver(tenure *store.Tenure, successor string) {
	go tenure.Release()
	n.tellReleased(successor)
}

func (n *Node) setShard(s *shard.Shard, owner store.Owner) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.shard = s
	if s == nil {
		n.ownerSeen = time.Time{}
		return
	}
	n.ownerSeen = time.Now()
	n.setOwner(owner)
}

// readAgreement returns the agreement in force, or nil when the context ends
// first.
func (n *Node) readAgreement(ctx context.Context) *operator.Agreement {
	for ctx.Err() == nil {
		call, cancel := context.WithTimeout(ctx, storeTimeout)
		item, err := n.options.Store.Get(call, n.options.Agreements.Key)
		cancel()
		if err == nil {
			a, err := n.options.Agreements.Decode(item.Value)
			if err == nil {
				return a
			}
			n.log.Error("agreementUnreadable", "revision", item.Revision, "error", err)
		}
		wait(ctx, electInterval)
	}
	return nil
}

func (n *Node) takeAgreement(s *shard.Shard, items map[string]store.Item) {
	item, ok := items[n.options.Agreements.Key]
	if !ok {
		return
	}
	a, err := n.options.Agreements.Decode(item.Value)
	if err != nil {
		n.log.Error("agreementUnreadable", "revision", item.Revision, "error", err)
		return
	}
	s.SetAgreement(a)
}
