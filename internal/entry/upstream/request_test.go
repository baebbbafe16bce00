package upstream

import (
	"context"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/citronbay/citronbay/internal/api/caller"
)

// TestRetryAfterLostAnswerIsNotCalledNotRun guards against the fate notRun for a
// request that an earlier owner ran before its answer was lost.
func TestRetryAfterLostAnswerIsNotCalledNotRun(t *testing.T) {
	for name, c := range map[string]struct {
		request ServeRequest
		want    caller.Fate
	}{
		"first call": {
			want: caller.FateNotRun,
		},
		"retry of a request that may run twice": {
			request: ServeRequest{
				Named: true,
				Retry: true,
			},
			want: caller.FateUnknown,
		},
		"retry of a request that must run at most once": {
			request: ServeRequest{
				Request: caller.Request{AtMostOnce: true},
				Named:   true,
				Retry:   true,
			},
			want: caller.FateUnknown,
		},
	} {
		t.Run(name, func(t *testing.T) {
			s := NewShard(Options{})
			s.links["runner-0"] = &link{reconciled: true}
			s.placementStopped = true // so that no attempt is placed
			c.request.Request.RequestID = "1"
			answer := s.Serve(t.Context(), c.request)
			assert.Equal(t, answer.Fate, c.want, answer.Reason)
			assert.Equal(t, answer.RequestID, "1")
		})
	}
}

// TestRetryDoesNotOutwaitRelease guards against a retry that waits until its deadline at an
// owner that has released the shard, while the next owner could answer it.
func TestRetryDoesNotOutwaitRelease(t *testing.T) {
	s := NewShard(Options{})
	s.links["runner-0"] = &link{}
	time.AfterFunc(2*pollInterval, func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.placementStopped = true
	})
	ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
	defer cancel()
	request := ServeRequest{Retry: true}
	request.Request.RequestID = "1"
	answer := s.Serve(ctx, request)
	assert.NilError(t, ctx.Err())
	assert.Equal(t, answer.Fate, caller.FateUnknown)
	assert.Assert(t, strings.Contains(answer.Reason, reasonHandover), answer.Reason)
}
