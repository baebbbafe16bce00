package node

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"github.com/citronbay/citronbay/internal/api/traffic"
	"github.com/citronbay/citronbay/internal/cluster/shard"
	"github.com/citronbay/citronbay/internal/cluster/store"
)

const (
	// electInterval is how often a node that knows no live owner reads the owner from the
	// store.
	electInterval = 250 * time.Millisecond
	// ownerLivenessSlack plus the hello interval is how long the owner counts as live
	// after it last confirmed that it serves.
	ownerLivenessSlack = 500 * time.Millisecond
	// storeTimeout bounds a read of the store.
	storeTimeout = time.Second
	// claimDelayFactor times the round trip to the store is how long a node delays its
	// claim, so that a node in the store's region becomes the owner.
	claimDelayFactor = 20
	// maxRenewalAge is the age of the last successful lease renewal at which the owner
	// starts to ask other nodes whether they reach the store; renewalCheckInterval is how
	// often the age is checked. Renewals are sent every 300 ms, and a store eighty times
	// slower than usual takes about 300 ms to answer one.
	maxRenewalAge        = 500 * time.Millisecond
	renewalCheckInterval = 50 * time.Millisecond
	// successorClaimWindow is how long other nodes leave the claim to a named successor.
	successorClaimWindow = 600 * time.Millisecond
	// maxReadInterval bounds the time between two reads of the whole list of workers, or of the
	// agreement.
	maxReadInterval = 15 * time.Second
	// maxRoundTripClaimDelay bounds the part of the claim delay that is proportional to
	// the round trip to the store, in case the store is slow.
	maxRoundTripClaimDelay = time.Second
)

// elect claims the shard when there is no live owner, and runs the shard as its owner
// until ownership ends. It returns when the context ends.
func (n *Node) elect(ctx context.Context) {
	n.logStoreAvailability(ctx, n.campaign(ctx))
	for ctx.Err() == nil {
		if n.leaving.Load() || n.ownerIsLive() {
			n.waitForTrigger(ctx)
			continue
		}
		n.logStoreAvailability(ctx, n.campaign(ctx))
		n.waitForTrigger(ctx)
	}
}

// logStoreAvailability logs when calls to the store begin to fail and when they succeed
// again.
func (n *Node) logStoreAvailability(ctx context.Context, err error) {
	lost := err != nil && ctx.Err() == nil
	if n.storeLost.Swap(lost) == lost {
		return
	}
	if lost {
		n.log.Warn("storeLost", "error", err)
		return
	}
	n.log.Info("storeRegained")
}

// waitForTrigger waits until an election is triggered, but no longer than electInterval.
// After a trigger it waits for another half of electInterval, unless this node is the
// named successor.
func (n *Node) waitForTrigger(ctx context.Context) {
	select {
	case <-ctx.Done():
	case <-n.electionTrigger:
		if !n.isSuccessor() {
			sleep(ctx, electInterval/2)
		}
	case <-time.After(electInterval):
	}
}

// ownerIsLive reports whether the owner has confirmed recently that it serves.
func (n *Node) ownerIsLive() bool {
	limit := n.helloInterval() + ownerLivenessSlack
	n.mu.Lock()
	defer n.mu.Unlock()
	return time.Since(n.ownerServingAt) < limit
}

// campaign reads the owner from the store and claims ownership if there is none. It
// also ends the lease of an earlier incarnation of this node, and that of an owner that
// this node succeeds.
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
	if owner.Node == n.options.Name && owner.Incarnation != n.incarnation {
		n.log.Info("earlierLifeEnded", "token", owner.Token)
		if err := n.options.Store.EndLease(callCtx, owner.Lease); err != nil {
			return fmt.Errorf("node: end lease of the earlier incarnation: %w", err)
		}
		n.succeedItself()
		return n.claim(ctx)
	}
	if n.isSuccessor() && owner.Token == n.lastReleasedToken() {
		// The previous owner may be unable to reach the store and end the lease itself.
		if err := n.options.Store.EndLease(callCtx, owner.Lease); err != nil {
			return fmt.Errorf("node: end lease of the previous owner: %w", err)
		}
		return n.claim(ctx)
	}
	n.updateOwner(owner)
	return nil
}

// succeedItself names this node as the successor of its earlier incarnation: it was a suitable owner, and
// after a restart of all nodes every other would wait for its turn to claim.
func (n *Node) succeedItself() {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.successor, n.successorNamedAt = n.options.Address, time.Now()
}

// handOverWhenStoreUnreachable ends the term of ownership when the store does not answer
// this node but does answer another, which is named as the successor. In an outage that
// cuts off single machines, waiting for the lease to expire would stop all work. While
// this process gets too little processor time, its timeouts prove nothing about the
// store, and another owner would be as busy.
func (n *Node) handOverWhenStoreUnreachable(term *store.Term, lag *lagMeter) {
	for term.Context().Err() == nil {
		sleep(term.Context(), renewalCheckInterval)
		if isRenewed(term) {
			continue
		}
		successor := n.findNodeReachingStore(term.Context())
		if term.Context().Err() != nil {
			return // the read may have ended with the term
		}
		if successor == "" || isRenewed(term) || lag.longest() > maxTimerLag {
			continue
		}
		n.log.Warn("turnedAway", "token", term.Token(), "remaining", term.Remaining(), "successor", successor,
			"candidate", n.candidateAddresses()[successor], "lag", lag.longest())
		term.Revoke(errors.New("the store does not answer this node"))
		n.announceRelease(term.Token(), successor)
		return
	}
}

// isRenewed reports whether the last renewal of the term's lease is recent.
func isRenewed(term *store.Term) bool {
	return term.Remaining() > store.OwnershipLeaseTime-maxRenewalAge
}

// reachesStore reports whether the store answers a read by this node.
func (n *Node) reachesStore(ctx context.Context) bool {
	_, err := n.options.Store.Get(ctx, store.OwnerKey(n.options.Shard))
	return err == nil || errors.Is(err, store.ErrNotFound)
}

// lastReleasedToken returns releasedToken, for callers that do not hold n.mu.
func (n *Node) lastReleasedToken() int64 {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.releasedToken
}

// recordStoreRoundTrip keeps the shortest time of a call that the store has answered.
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

// isSuccessor reports whether this node has been the named successor for less than
// successorClaimWindow.
func (n *Node) isSuccessor() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.successor == n.options.Address && time.Since(n.successorNamedAt) < successorClaimWindow
}

// claimDelay returns how long the node waits before it claims ownership. The named
// successor does not wait; other nodes wait longer if they are farther from the store,
// if they are much weaker than a candidate, or if another node is the named successor.
// A random part keeps nodes from claiming at the same time.
func (n *Node) claimDelay() time.Duration {
	if n.isSuccessor() {
		return 0
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	d := min(maxRoundTripClaimDelay, n.storeRoundTrip*claimDelayFactor) + rand.N(electInterval/2)
	if n.isMuchWeaker() {
		d += weakClaimDelay
	}
	if n.successor != "" && time.Since(n.successorNamedAt) < successorClaimWindow {
		d += successorClaimWindow
	}
	return d
}

// claimKnowledge returns what this node knows of itself and the others when it decides
// to claim ownership, for the log.
func (n *Node) claimKnowledge() slog.Attr {
	isSuccessor := n.isSuccessor()
	n.mu.Lock()
	defer n.mu.Unlock()
	return slog.Group("claim",
		"successor", isSuccessor,
		"cores", n.options.Cores,
		"storeRoundTrip", n.storeRoundTrip,
		"liveMembers", len(n.liveMembers()),
		"candidateCores", n.maxCandidateCores(),
		"reportedCores", n.reportedMaxCores,
		"ownerServingAgo", time.Since(n.ownerServingAt).Round(time.Millisecond),
	)
}

// readOwner reads the owner from the store, and reports whether there is one.
func (n *Node) readOwner(ctx context.Context) (known bool, err error) {
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	item, err := n.options.Store.Get(ctx, store.OwnerKey(n.options.Shard))
	if errors.Is(err, store.ErrNotFound) {
		return false, nil
	}
	if err != nil {
		return false, fmt.Errorf("node: read owner: %w", err)
	}
	o, err := store.DecodeOwner(item)
	if err != nil {
		return false, err
	}
	n.updateOwner(o)
	return true, nil
}

// claim waits for claimDelay and then tries to become the owner, unless there is a live
// one or this node is leaving. If that succeeds, it runs the shard until ownership ends.
// It returns nil after that, and also if the store has not applied the claim, as when
// another node is the owner.
func (n *Node) claim(ctx context.Context) error {
	knowledge := n.claimKnowledge()
	delay := n.claimDelay()
	sleep(ctx, delay)
	if n.ownerIsLive() || n.leaving.Load() {
		return nil
	}
	if delay > 0 {
		// Another node may have claimed ownership meanwhile. A read costs the store less than a
		// claim that fails, and in a large cluster all nodes get here.
		if known, err := n.readOwner(ctx); err != nil || known {
			return err
		}
	}
	term, release, err := store.Claim(ctx, n.options.Store, n.options.Shard, store.Owner{
		Node:        n.options.Name,
		Incarnation: n.incarnation,
		Address:     n.options.Address,
	}, n.log)
	if errors.Is(err, store.ErrNotApplied) {
		return nil
	}
	if err != nil {
		return err
	}
	defer release()
	n.log.Info("ownershipTaken", "shard", n.options.Shard, "token", term.Token(), "delay", delay, knowledge)
	started, before := time.Now(), traffic.Read()
	err = n.own(ctx, term)
	n.log.Info("ownershipEnded", "shard", n.options.Shard, "token", term.Token(), "reason", err,
		"lasted", time.Since(started), traffic.Since(before))
	return nil
}

// own runs the shard until the term of ownership ends or the node leaves, and returns
// why it ended.
func (n *Node) own(ctx context.Context, term *store.Term) error {
	start, before := time.Now(), traffic.Read()
	self := store.Owner{
		Node:        n.options.Name,
		Incarnation: n.incarnation,
		Address:     n.options.Address,
		Token:       term.Token(),
	}
	if !n.beginRecovery(term, self) {
		return context.Cause(term.Context())
	}
	defer n.abandonRecovery()
	n.announceOwnership(self)
	agreement := make(chan shard.DatedAgreement, 1)
	go func() {
		agreement <- n.awaitAgreement(term.Context())
	}()
	s, err := shard.Open(term.Context(), shard.Options{
		Store:             n.options.Store,
		Term:              term,
		Agreement:         func() shard.DatedAgreement { return n.renewAgreement(term.Context(), <-agreement) },
		ReadAgreement:     n.readAgreement,
		ChangeInForce:     n.options.ChangeInForce,
		EvacuationInForce: n.options.EvacuationInForce,
		Interference:      n.options.Interference,
		NewWorkerClient:   n.newWorkerClient,
		Link:              n.options.Link,
		Advisors:          n.advisors,
		JobStateRetention: n.options.JobStateRetention,
		WorkerLease:       n.options.WorkerLease,
		MaxWorkerLease:    n.options.MaxWorkerLease,
		Log:               n.log,
	})
	if err != nil {
		return err
	}
	directory := newDirectoryReader(n.options.Directory, n.log)
	go store.Follow(term.Context(), n.options.Store, store.FollowOptions{
		Prefix:          n.options.Directory.Prefix,
		Link:            n.options.Link,
		MaxReadInterval: maxReadInterval,
	}, n.log, func(c store.Copy) {
		workers := directory.read(c.Items)
		n.fleetSize.Store(int64(len(workers)))
		s.SetWorkers(workers)
	})
	go store.Follow(term.Context(), n.options.Store, store.FollowOptions{
		Prefix:          n.agreementPrefix(),
		Link:            n.options.Link,
		MaxReadInterval: maxReadInterval,
		MaxUndated:      n.agreementReadInterval(),
		Initial:         n.agreementCopy.Load(),
	}, n.log, func(c store.Copy) {
		n.applyAgreement(s, c)
	})
	if !n.setShard(s, term, self) {
		return context.Cause(term.Context())
	}
	defer n.releaseShard(s)
	metrics.GetOrCreateHistogram("citronbay_takeover_seconds").Update(time.Since(start).Seconds())
	n.log.Info("takeoverDone", "token", term.Token(), "took", time.Since(start), traffic.Since(before))
	go n.handOverWhenLeaving(ctx, term)
	lag, stopLag := startLagMeter()
	defer stopLag()
	go n.handOverWhenStoreUnreachable(term, lag)
	go n.handOverToBetterOwner(term)
	return s.Run()
}

// handOverWhenLeaving hands ownership over when the node leaves or the context ends.
func (n *Node) handOverWhenLeaving(ctx context.Context, term *store.Term) {
	const checkInterval = 50 * time.Millisecond
	for term.Context().Err() == nil {
		if n.leaving.Load() || ctx.Err() != nil {
			n.handOver(term, n.chooseSuccessor())
			return
		}
		sleep(term.Context(), checkInterval)
	}
}

// handOver ends the term and announces the successor. The lease is ended concurrently
// with the announcement; the successor can claim after either of them.
func (n *Node) handOver(term *store.Term, successor string) {
	go term.Release()
	n.announceRelease(term.Token(), successor)
}

// setShard sets the shard that this node runs in the term, and makes owner, which is this
// node, the known owner. If a newer one is known already, it ends the term and reports
// false.
func (n *Node) setShard(s *shard.Shard, term *store.Term, owner store.Owner) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.owner.Token > owner.Token {
		term.Revoke(fmt.Errorf("%s is the owner with token %d", n.owner.Node, n.owner.Token))
		return false
	}
	n.shard, n.term = s, term
	n.endRecoveryLocked()
	n.markOwnerServing()
	n.setOwnerLocked(owner)
	return true
}

// releaseShard notes that this node no longer runs the shard.
func (n *Node) releaseShard(s *shard.Shard) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.shard != s {
		return // a newer owner is known
	}
	n.shard, n.term = nil, nil
	n.ownerServingAt = time.Time{}
}
