package node

import (
	"context"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"github.com/citronbay/citronbay/internal/cluster/caller"
)

// minDecisionTime is the least time in which a submission is passed to the owner and recorded, and the
// answer returns from another region. Of one that is passed on with less time left, the caller
// would mostly learn only that it may have been accepted.
const minDecisionTime = 100 * time.Millisecond

// endsTooSoon reports whether ctx ends before a submission can be decided.
func endsTooSoon(ctx context.Context, now time.Time) bool {
	deadline, ok := ctx.Deadline()
	return ok && deadline.Sub(now) < minDecisionTime
}

// refuseUnsent refuses a submission that was not passed on, and so certainly has no effect of this
// call.
func (n *Node) refuseUnsent(r caller.Request) caller.Response {
	metrics.GetOrCreateCounter("citronbay_requests_refused_total{reason=\"deadline\"}").Inc()
	n.log.Info("requestRefused", "path", r.Path, "verb", r.Verb, "call", r.Call, "reason", "deadline")
	return caller.Response{
		Status:      caller.Refused,
		Reason:      "the call ends before a submission can be decided",
		RetryMillis: retryAfterMillis,
	}
}
