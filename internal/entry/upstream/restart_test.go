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

	apiplatform "github.com/citronbay/citronbay/internal/api/platform"
	"github.com/citronbay/citronbay/internal/api/upstream"
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
