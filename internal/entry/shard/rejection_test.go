package shard

import (
	"testing"

	"gotest.tools/v3/assert"

	"github.com/citronbay/citronbay/internal/api/caller"
	"github.com/citronbay/citronbay/internal/entry/upstream"
)

// TestRejectedRetryIsTriedAgainAndNotCalledNotRun guards against the fate notRun for a
// request that an earlier owner ran, when its retries reach only entries that do not own
// the shard or hand it over.
func TestRejectedRetryIsTriedAgainAndNotCalledNotRun(t *testing.T) {
	handover := func(fate caller.Fate) caller.Answer {
		return caller.Answer{
			Fate:   fate,
			Reason: "an earlier attempt may have run, and then: the entry hands over its upstreams",
		}
	}
	for name, c := range map[string]struct {
		answer        caller.Answer
		retry         bool
		wantFate      caller.Fate
		wantRetryable bool
	}{
		"first call to an entry that is not the owner": {
			answer:        notOwnerAnswer(upstream.ServeRequest{}),
			wantFate:      caller.FateNotRun,
			wantRetryable: true,
		},
		"retry at an entry that is not the owner": {
			answer:        notOwnerAnswer(upstream.ServeRequest{Retry: true}),
			retry:         true,
			wantFate:      caller.FateUnknown,
			wantRetryable: true,
		},
		"retry at an owner that hands over": {
			answer:        handover(caller.FateUnknown),
			retry:         true,
			wantFate:      caller.FateUnknown,
			wantRetryable: true,
		},
		"first call, dispatched by an owner that hands over": {
			answer:   handover(caller.FateUnknown),
			wantFate: caller.FateUnknown,
		},
	} {
		t.Run(name, func(t *testing.T) {
			assert.Equal(t, c.answer.Fate, c.wantFate)
			assert.Equal(t, isRetryableAnswer(c.answer, c.retry), c.wantRetryable)
		})
	}
}
