package node

import (
	"context"
	"errors"
	"math/rand/v2"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"github.com/citronbay/citronbay/internal/api/peer"
	"github.com/citronbay/citronbay/internal/cluster/caller"
	"github.com/citronbay/citronbay/internal/cluster/store"
)

const (
	// attemptTimeout bounds one attempt to pass a request to the owner.
	attemptTimeout = 1500 * time.Millisecond
	// maxOwnerWait is how long a request waits for an owner; most takeovers after a
	// planned stop take less.
	maxOwnerWait = 900 * time.Millisecond
	// retryDelay is the time between attempts after one that failed.
	retryDelay = 40 * time.Millisecond
	// ownerChangeWait is how long a request waits for news of the next owner after one that
	// does not own the shard has answered, or if no owner is known.
	ownerChangeWait = 200 * time.Millisecond
	// retryAfterMillis is the delay in milliseconds after which a caller should retry if
	// no owner was reached.
	retryAfterMillis = 1000
)

// Explain describes the job with the ID and why its tasks wait, one fact per line, if
// this node is the owner. Otherwise it returns a line that names the owner, if known.
func (n *Node) Explain(job string) []string {
	if s := n.currentShard(); s != nil {
		return s.Explain(job)
	}
	owner, _ := n.currentOwner()
	return []string{"this node does not own the shard; ask " + owner.Node}
}

// Serve passes the request to the owner and returns its response, retrying as needed. If
// the outcome of an attempt is unknown, it retries until the context ends, and then
// responds caller.Unknown. As long as no attempt can have taken effect, which is always
// so for a read, it retries for at most about maxOwnerWait, and then refuses the request.
// It refuses it at once if no owner is to be expected. While messages do not seem to reach the
// owner, a submission or cancellation is not sent, so that it can be refused, or sent to the next owner.
func (n *Node) Serve(ctx context.Context, r caller.Request) caller.Response {
	outcomeUnknown := false
	start := time.Now()
	r.Call = newCall()
	for ctx.Err() == nil {
		owner, _ := n.currentOwner()
		r.Agreement = n.agreementSeen.Load()
		response, err := n.attempt(ctx, r)
		n.noteAgreement(response.Agreement)
		if err == nil && response.Status != caller.NotOwner && response.Status != caller.Unknown {
			if outcomeUnknown {
				n.log.Info("requestRepeated", "path", r.Path, "verb", r.Verb, "call", r.Call, "status", response.Status,
					"owner", owner.Node, "token", owner.Token, "waited", time.Since(start))
			}
			return response
		}
		if !outcomeUnknown && r.Verb != caller.Read && mayHaveTakenEffect(response, err) {
			outcomeUnknown = true
			n.log.Info("attemptUnanswered", "path", r.Path, "verb", r.Verb, "call", r.Call,
				"owner", owner.Node, "token", owner.Token, "waited", time.Since(start), "error", err)
		}
		if errors.Is(err, peer.ErrRefused) && !outcomeUnknown {
			metrics.GetOrCreateCounter("citronbay_requests_refused_total{reason=\"ownerMemory\"}").Inc()
			return caller.Response{
				Status:      caller.Refused,
				Reason:      "the owner has no memory left for the request",
				RetryMillis: retryAfterMillis,
			}
		}
		n.triggerElection()
		if !outcomeUnknown && (time.Since(start) > maxOwnerWait || n.expectsNoOwner()) {
			break
		}
		n.awaitNextAttempt(ctx, owner, err)
	}
	if outcomeUnknown {
		metrics.GetOrCreateCounter("citronbay_requests_unknown_total").Inc()
		n.log.Warn("requestUnknown", "path", r.Path, "verb", r.Verb, "call", r.Call, "waited", time.Since(start))
		return caller.Response{
			Status: caller.Unknown,
			Reason: "the owner has not answered in time",
		}
	}
	metrics.GetOrCreateCounter("citronbay_requests_refused_total{reason=\"noOwner\"}").Inc()
	n.log.Warn("requestRefused", "path", r.Path, "verb", r.Verb, "call", r.Call, "reason", "noOwner", "waited", time.Since(start))
	return caller.Response{
		Status:      caller.Refused,
		Reason:      "no owner of the shard can be reached",
		RetryMillis: retryAfterMillis,
	}
}

// awaitNextAttempt waits until it makes sense to try again, after an attempt at the owner that
// has returned the error. One that does not own the shard will go on to say so.
func (n *Node) awaitNextAttempt(ctx context.Context, asked store.Owner, err error) {
	known, changed := n.currentOwner()
	if err != nil && !errors.Is(err, errNoOwner) || known.Token != asked.Token || n.isRecovering() {
		sleep(ctx, retryDelay)
		return
	}
	select {
	case <-changed:
	case <-time.After(ownerChangeWait):
	case <-ctx.Done():
	}
}

// noteAgreement notes the version of the agreement by which an owner has answered.
func (n *Node) noteAgreement(version int64) {
	for {
		seen := n.agreementSeen.Load()
		if version <= seen || n.agreementSeen.CompareAndSwap(seen, version) {
			return
		}
	}
}

// newCall returns the identity of a caller's call.
func newCall() uint64 {
	return max(1, rand.Uint64())
}

// mayHaveTakenEffect reports whether an attempt without a definite response may have taken
// effect or may still do so.
func mayHaveTakenEffect(response caller.Response, err error) bool {
	if err == nil {
		return response.Status == caller.Unknown
	}
	return !errors.Is(err, peer.ErrNotSent) && !errors.Is(err, peer.ErrRefused) && !errors.Is(err, errNoOwner) && !errors.Is(err, errOwnerSilent)
}

// losesContact reports whether a message to the owner would probably get no answer, and otherwise notes
// that one is sent. Over a small link packets may be late for longer.
func (n *Node) losesContact(o store.Owner) bool {
	packets := n.packetsOf(o.Address)
	now := time.Now()
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.contact.IsLost(o.Token, packets, now) && !n.ownerLink.IsSmall() {
		return true
	}
	n.contact = n.contact.WithMessage(o.Token, packets, now)
	return false
}

// expectsNoOwner reports whether requests need not wait for an owner: this node does not
// reach the store, and no owner has served for longer than a handover takes.
func (n *Node) expectsNoOwner() bool {
	if !n.storeLost.Load() {
		return false
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	return time.Since(n.ownerLastServing) > maxOwnerWait
}

// attempt passes the request to the owner once, and gives up when the owner changes.
func (n *Node) attempt(ctx context.Context, r caller.Request) (caller.Response, error) {
	if s := n.awaitShard(ctx); s != nil {
		return s.Serve(ctx, r), nil
	}
	owner, ownerChanged := n.currentOwner()
	if owner.Address == "" || owner.Incarnation == n.incarnation {
		return caller.Response{}, errNoOwner
	}
	if r.Verb != caller.Read && n.losesContact(owner) {
		metrics.GetOrCreateCounter("citronbay_attempts_held_total").Inc()
		return caller.Response{}, errOwnerSilent
	}
	callCtx, cancel := context.WithTimeout(ctx, attemptTimeout)
	defer cancel()
	go func() {
		select {
		case <-ownerChanged:
			cancel()
		case <-callCtx.Done():
		}
	}()
	return peer.Call[caller.Response](callCtx, n.peerClient(owner.Address), methodServe, r)
}
