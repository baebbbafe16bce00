package upstream

import (
	"encoding/json"
	"io"
	"log/slog"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/citronbay/citronbay/internal/api/caller"
	apiplatform "github.com/citronbay/citronbay/internal/api/platform"
	"github.com/citronbay/citronbay/internal/api/upstream"
	"github.com/citronbay/citronbay/internal/entry/platform"
	"github.com/citronbay/citronbay/internal/entry/settings"
)

// newTestLink returns a link of a new shard to an upstream with the handler.
func newTestLink(t *testing.T, handler http.HandlerFunc) (*Shard, *link) {
	server := httptest.NewServer(handler)
	t.Cleanup(server.Close)
	s := NewShard(Options{
		Holder: "entry#1",
		Timings: settings.Timings{
			Lease:     2 * time.Second,
			TaskLease: 6 * time.Second,
		},
		Log: slog.New(slog.NewTextHandler(io.Discard, nil)),
	})
	s.placementStopped = true
	client, closeClient := upstream.NewClient("worker-0", strings.TrimPrefix(server.URL, "http://"), 1)
	t.Cleanup(closeClient)
	l := &link{
		shard:  s,
		client: client,
		close:  closeClient,
		vm: apiplatform.VM{
			Name: "worker-0",
			Role: apiplatform.RoleWorker,
		},
		clock: newRemoteClock(),
		runs:  map[string]*run{},
	}
	s.links[l.vm.Name] = l
	return s, l
}

// TestClaimAcrossRestart guards against a claim whose ends are times on the clock of an
// upstream that has restarted since it was read: on the new clock, which starts at zero, they
// are an hour away. The owner would count the tasks as stopped long before they are.
func TestClaimAcrossRestart(t *testing.T) {
	const uptimeMillis = 3_600_000
	calls := 0
	var granted upstream.LeaseRequest
	s, l := newTestLink(t, func(w http.ResponseWriter, r *http.Request) {
		var request upstream.LeaseRequest
		_ = json.NewDecoder(r.Body).Decode(&request)
		calls++
		response := upstream.LeaseResponse{
			Incarnation: "a",
			Clock:       uptimeMillis,
		}
		if calls > 1 { // it has restarted
			response.Incarnation, response.Clock = "b", 5
		}
		if request.Until != 0 && request.Incarnation != response.Incarnation {
			w.WriteHeader(http.StatusConflict)
			_ = json.NewEncoder(w).Encode(upstream.TaskResponse{Reason: upstream.ReasonRestarted})
			return
		}
		if request.Until != 0 {
			granted = request
			response.Holder, response.Epoch, response.Until = request.Holder, 1, request.Until
		}
		_ = json.NewEncoder(w).Encode(response)
	})
	assert.ErrorIs(t, l.claim(t.Context()), upstream.ErrRefused)
	assert.Equal(t, granted, upstream.LeaseRequest{})
	assert.Assert(t, !l.claimed)

	assert.NilError(t, l.claim(t.Context()))
	now := l.clock.upperBound(time.Now())
	assert.Check(t, l.leaseValid(time.Now()))
	assert.Check(t, l.leaseUntil <= now+s.timings.Lease.Milliseconds(), "lease held for %d ms", l.leaseUntil-now)
	assert.Check(t, granted.TasksUntil <= now+s.timings.TaskLease.Milliseconds(), "tasks run for %d ms", granted.TasksUntil-now)
	assert.Check(t, l.taskLeaseUntil >= granted.TasksUntil, "the owner assumes until %d", l.taskLeaseUntil)
}

// TestRetryAfterRestartIsNotCalledNotRun guards against the fate notRun for a request that
// ran, because the upstream has restarted since and does not know its task any more, or
// refuses it.
func TestRetryAfterRestartIsNotCalledNotRun(t *testing.T) {
	for name, c := range map[string]struct {
		incarnation string
		state       string
		want        caller.Fate
	}{
		"unknown after a restart": {
			incarnation: "b",
			state:       upstream.StateUnknown,
			want:        caller.FateUnknown,
		},
		"refused after a restart": {
			incarnation: "b",
			state:       upstream.StateRefused,
			want:        caller.FateUnknown,
		},
		"unknown without a restart": {
			incarnation: "a",
			state:       upstream.StateUnknown,
			want:        caller.FateNotRun,
		},
	} {
		t.Run(name, func(t *testing.T) {
			s, l := newTestLink(t, func(w http.ResponseWriter, _ *http.Request) {
				_ = json.NewEncoder(w).Encode(upstream.TaskResponse{
					Incarnation: c.incarnation,
					Task:        "1",
					State:       c.state,
				})
			})
			l.incarnation = "a" // the owner has not learned of the restart yet
			l.epoch = 2
			l.clock.observe(time.Now(), time.Now(), 1000)
			l.leaseUntil = 3000
			answer := s.earlierAnswer(t.Context(), &platform.RecordedIntent{
				Intent: platform.Intent{
					Task:        "1",
					Upstream:    l.vm.Name,
					Incarnation: "a",
					Epoch:       1,
					Begun:       time.Now(),
					Answer:      caller.Answer{Fate: caller.FateInProgress},
				},
			}, caller.Answer{})
			assert.Equal(t, answer.Fate, c.want, answer.Reason)
		})
	}
}
