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
	// ownerLivenessSlack is how long beyond the interval of reports an owner's last word
	// spares a look at the store.
	ownerLivenessSlack = 500 * time.Millisecond
	// storeTimeout bounds a look at the store.
	storeTimeout = time.Second
	// claimDelayFactor times the round trip to the store is a node's handicap, so
	// that a node in the store's region becomes the owner.
	claimDelayFactor = 20
	// maxRenewalAge is the age of the last renewal from which an owner asks whether
	// the store serves others, and turnedAwayLook how often it looks. Renewals come
	// every 300 ms, and a store eighty times slower than usual answers in as much.
	maxRenewalAge        = 500 * time.Millisecond
	renewalCheckInterval = 50 * time.Millisecond
	// successorClaimWindow is how long the others leave the claim to a named successor.
	successorClaimWindow = 600 * time.Millisecond
	// maxClaimDelay bounds it while the store is slow.
	maxClaimDelay = time.Second
)

// elect watches for the absence of an owner, and owns the shard while it can.
func (n *Node) elect(ctx context.Context) {
	n.logStoreChange(ctx, n.campaign(ctx))
	for ctx.Err() == nil {
		if n.leaving.Load() || n.ownerIsLive() {
			n.waitForTrigger(ctx)
			continue
		}
		n.logStoreChange(ctx, n.campaign(ctx))
		n.waitForTrigger(ctx)
	}
}

// logStoreChange logs when the store is lost and when it is regained.
func (n *Node) logStoreChange(ctx context.Context, err error) {
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

func (n *Node) waitForTrigger(ctx context.Context) {
	select {
	case <-ctx.Done():
	case <-n.electionTrigger:
		if !n.isSuccessor() {
			wait(ctx, electInterval/2)
		}
	case <-time.After(electInterval):
	}
}

func (n *Node) ownerIsLive() bool {
	limit := n.helloInterval() + ownerLivenessSlack
	n.mu.Lock()
	defer n.mu.Unlock()
	return time.Since(n.ownerServingAt) < limit
}

// campaign looks at the store and becomes the owner if there is none.
func (n *Node) campaign(ctx context.Context) error {
	callCtx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	start := time.Now()
	item, err := n.options.Store.Get(callCtx, store.OwnerKey(n.options.Shard))
	n.recordStoreRoundTrip(time.Since(start), err)
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
	if owner.Node == n.options.Name && owner.Life != n.incarnation {
		n.log.Info("earlierLifeEnded", "token", owner.Token)
		return n.options.Store.EndLease(callCtx, owner.Lease)
	}
	if n.isSuccessor() && owner.Token == n.lastReleasedToken() {
		// Its owner cannot reach the store to end the lease itself.
		if err := n.options.Store.EndLease(callCtx, owner.Lease); err != nil {
			return fmt.Errorf("node: end lease of the last owner: %w", err)
		}
		return n.claim(ctx)
	}
	n.updateOwner(owner)
	return nil
}

// handOverWhenStoreUnreachable gives the tenure up when the store leaves this node without
// answers while it serves another, which then is the successor. It answers an
// outage for single machines, in which waiting for the lease to lapse would stop
// all work.
func (n *Node) handOverWhenStoreUnreachable(term *store.Tenure) {
	for term.Context().Err() == nil {
		wait(term.Context(), renewalCheckInterval)
		if term.Remaining() > store.LeaseTime-maxRenewalAge {
			continue
		}
		successor := n.findNodeReachingStore(term.Context())
		if successor == "" {
			continue
		}
		n.log.Warn("turnedAway", "token", term.Token(), "remaining", term.Remaining(), "successor", successor)
		term.Depose(errors.New("the store does not answer this node"))
		n.announceRelease(successor)
		return
	}
}

// reachesStore reports whether the store answers this node.
func (n *Node) reachesStore(ctx context.Context) bool {
	_, err := n.options.Store.Get(ctx, store.OwnerKey(n.options.Shard))
	return err == nil || errors.Is(err, store.ErrNotFound)
}

// lastReleasedToken returns the token of the tenure that was given up last.
func (n *Node) lastReleasedToken() int64 {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.releasedToken
}

func (n *Node) recordStoreRoundTrip(d time.Duration, err error) {
	if err != nil && !errors.Is(err, store.ErrNotFound) {
		return
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.storeRoundTrip == 0 || d < n.storeRoundTrip {
		n.storeRoundTrip = d
	}
}

// isSuccessor reports whether the last owner has named this node as its successor.
func (n *Node) isSuccessor() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.successor == n.options.Address && time.Since(n.successorNamedAt) < successorClaimWindow
}

// claimDelay returns how long the node waits before it claims.
func (n *Node) claimDelay() time.Duration {
	if n.isSuccessor() {
		return 0
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	d := min(maxClaimDelay, n.storeRoundTrip*claimDelayFactor) + rand.N(electInterval/2)
	if n.isMuchWeaker() {
		d += weakClaimDelay
	}
	if n.successor != "" && time.Since(n.successorNamedAt) < successorClaimWindow {
		d += successorClaimWindow
	}
	return d
}

func (n *Node) claim(ctx context.Context) error {
	wait(ctx, n.claimDelay())
	if n.ownerIsLive() || n.leaving.Load() {
		return nil
	}
	term, release, err := store.Claim(ctx, n.options.Store, n.options.Shard, store.Owner{
		Node:    n.options.Name,
		Life:    n.incarnation,
		Address: n.options.Address,
	}, n.log)
	if errors.Is(err, store.ErrNotDone) {
		return nil
	}
	if err != nil {
		return err
	}
	defer release()
	n.log.Info("ownershipTaken", "shard", n.options.Shard, "token", term.Token())
	err = n.own(ctx, term)
	n.log.Info("ownershipEnded", "shard", n.options.Shard, "token", term.Token(), "reason", err)
	return nil
}

// own runs the shard until the tenure ends or the node leaves.
func (n *Node) own(ctx context.Context, term *store.Tenure) error {
	start := time.Now()
	agreement := make(chan *operator.Agreement, 1)
	go func() {
		agreement <- n.readAgreement(term.Context())
	}()
	s, err := shard.Open(term.Context(), shard.Options{
		Store:      n.options.Store,
		Tenure:     term,
		Agreement:  func() *operator.Agreement { return <-agreement },
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
	go store.Follow(term.Context(), n.options.Store, n.options.Directory.Prefix, n.log, func(items map[string]store.Item) {
		s.SetWorkers(directory.read(items))
	})
	go store.Follow(term.Context(), n.options.Store, n.options.Agreements.Key, n.log, func(items map[string]store.Item) {
		n.applyAgreement(s, items)
	})
	self := store.Owner{
		Node:    n.options.Name,
		Life:    n.incarnation,
		Address: n.options.Address,
		Token:   term.Token(),
	}
	n.setShard(s, self)
	defer n.setShard(nil, store.Owner{})
	n.announceOwnership(self)
	metrics.GetOrCreateHistogram("citronbay_takeover_seconds").Update(time.Since(start).Seconds())
	n.log.Info("takeoverDone", "token", term.Token(), "took", time.Since(start))
	go n.handOverWhenLeaving(ctx, term)
	go n.handOverWhenStoreUnreachable(term)
	go n.handOverToBetterOwner(term)
	return s.Run()
}

// handOverWhenLeaving ends the tenure when the node stops.
func (n *Node) handOverWhenLeaving(ctx context.Context, term *store.Tenure) {
	const checkInterval = 50 * time.Millisecond
	for term.Context().Err() == nil {
		if n.leaving.Load() || ctx.Err() != nil {
			n.handOver(term, n.chooseSuccessor())
			return
		}
		wait(term.Context(), checkInterval)
	}
}

// handOver ends the tenure and names the successor. The lease ends beside the message;
// whichever comes first will do.
func (n *Node) handOver(term *store.Tenure, successor string) {
	go term.Release()
	n.announceRelease(successor)
}

func (n *Node) setShard(s *shard.Shard, owner store.Owner) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.shard = s
	if s == nil {
		n.ownerServingAt = time.Time{}
		return
	}
	n.ownerServingAt = time.Now()
	n.setOwnerLocked(owner)
}

// readAgreement returns the agreement in force, or nil when the context ends
// first.
func (n *Node) readAgreement(ctx context.Context) *operator.Agreement {
	for ctx.Err() == nil {
		callCtx, cancel := context.WithTimeout(ctx, storeTimeout)
		item, err := n.options.Store.Get(callCtx, n.options.Agreements.Key)
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

func (n *Node) applyAgreement(s *shard.Shard, items map[string]store.Item) {
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
