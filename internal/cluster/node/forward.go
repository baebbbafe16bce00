package node

import (
	"context"
	"errors"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"github.com/citronbay/citronbay/internal/api/peer"
	"github.com/citronbay/citronbay/internal/cluster/caller"
)

const (
	// attemptTimeout bounds one try at an owner.
	attemptTimeout = 1500 * time.Millisecond
	// maxOwnerWait is how long a request waits for an owner: most takeovers after a
	// planned stop take less.
	maxOwnerWait = 900 * time.Millisecond
	// retryPause is between tries.
	retryPause = 40 * time.Millisecond
	// retryAfterMillis is when a caller that met no owner should return.
	retryAfterMillis = 1000
)

// Explain tells why a job waits, one fact a line, if this node is the owner, and
// otherwise which node is.
func (n *Node) Explain(job string) []string {
	if s := n.currentShard(); s != nil {
		return s.Explain(job)
	}
	owner, _ := n.currentOwner()
	return []string{"this node does not own the shard; ask " + owner.Node}
}

// Serve answers a request through the owner, before the context's deadline.
func (n *Node) Serve(ctx context.Context, r caller.Request) caller.Response {
	uncertain := false
	start := time.Now()
	for ctx.Err() == nil {
		r.Repeated = uncertain
		response, err := n.attempt(ctx, r)
		if err == nil && response.Status != caller.NotOwner && response.Status != caller.Unknown {
			return response
		}
		if err == nil && response.Status == caller.Unknown {
			uncertain = true
		}
		if err != nil && !errors.Is(err, peer.ErrNotSent) && !errors.Is(err, errNoOwner) {
			uncertain = true
		}
		n.triggerElection()
		if !uncertain && time.Since(start) > maxOwnerWait {
			break
		}
		wait(ctx, retryPause)
	}
	if uncertain {
		metrics.GetOrCreateCounter("citronbay_requests_unknown_total").Inc()
		n.log.Warn("requestUnknown", "path", r.Path, "verb", r.Verb, "waited", time.Since(start))
		return caller.Response{
			Status: caller.Unknown,
			Reason: "the owner has not answered in time",
		}
	}
	metrics.GetOrCreateCounter("citronbay_requests_refused_total{reason=\"noOwner\"}").Inc()
	n.log.Warn("requestRefused", "path", r.Path, "verb", r.Verb, "reason", "noOwner", "waited", time.Since(start))
	return caller.Response{
		Status:      caller.Refused,
		Reason:      "no owner of the shard can be reached",
		RetryMillis: retryAfterMillis,
	}
}

func (n *Node) attempt(ctx context.Context, r caller.Request) (caller.Response, error) {
	if s := n.currentShard(); s != nil {
		return s.Serve(ctx, r), nil
	}
	owner, ownerChanged := n.currentOwner()
	if owner.Address == "" || owner.Life == n.incarnation {
		return caller.Response{}, errNoOwner
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
