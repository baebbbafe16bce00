package shard

import (
	"strings"

	"github.com/citronbay/citronbay/internal/api/caller"
	"github.com/citronbay/citronbay/internal/entry/upstream"
)

// reasonNotOwner is the reason given by an entry that rejects work because it does
// not own the shard. Other entries compare it, so its text must not change.
const reasonNotOwner = "the entry does not own the shard"

// notOwnerAnswer returns the answer of an entry that does not own the shard. It cannot
// rule out that an owner has run the request before.
func notOwnerAnswer(request upstream.ServeRequest) caller.Answer {
	answer := caller.Answer{
		RequestID: request.Request.RequestID,
		Fate:      caller.FateNotRun,
		Reason:    reasonNotOwner,
	}
	if request.Retry {
		answer.Fate = caller.FateUnknown
	}
	return answer
}

// isRetryableAnswer reports whether the call that got the answer has not run the request
// and another one may. After a lost answer, given as retry, the fate of such a call is
// FateUnknown too, since an earlier owner may have run the request.
func isRetryableAnswer(answer caller.Answer, retry bool) bool {
	rejected := answer.Fate == caller.FateNotRun || (retry && answer.Fate == caller.FateUnknown)
	return rejected && isRetryable(answer.Reason)
}

// isRetryable reports whether work that was rejected for the reason may be accepted
// by another shard, or by the same one later. An owner that releases its upstreams
// gives a reason that contains "hands over".
func isRetryable(reason string) bool {
	return reason == reasonNotOwner || reason == upstream.ReasonBusy || strings.Contains(reason, "hands over")
}
