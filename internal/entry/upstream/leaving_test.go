package upstream

import (
	"context"
	"encoding/json"
	"io"
	"log/slog"
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/citronbay/citronbay/internal/api/caller"
	"github.com/citronbay/citronbay/internal/api/operator"
	apiplatform "github.com/citronbay/citronbay/internal/api/platform"
	"github.com/citronbay/citronbay/internal/api/upstream"
	"github.com/citronbay/citronbay/internal/entry/platform"
	"github.com/citronbay/citronbay/internal/entry/settings"
)

// TestNewOwnerKnowsDrains guards against tasks that a new owner starts on a drained upstream before
// it looks at the drains for the second time.
func TestNewOwnerKnowsDrains(t *testing.T) {
	value, err := json.Marshal(apiplatform.Document[operator.Cell]{
		Body: operator.Cell{Drained: []string{"worker-0"}},
	})
	assert.NilError(t, err)
	registry := platform.NewRegistry()
	assert.Equal(t, registry.Apply(apiplatform.KeyValue{
		Key:      operator.CellKey,
		Value:    value,
		Revision: 1,
	}), 1)
	s := NewShard(Options{
		Registry: registry,
		Log:      slog.New(slog.NewTextHandler(io.Discard, nil)),
	})
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	s.mu.Lock()
	defer s.mu.Unlock()
	for name, want := range map[string]bool{
		"worker-0": true,
		"worker-1": false,
	} {
		s.updateLink(ctx, platform.Machine{VM: apiplatform.VM{
			Name:  name,
			Role:  apiplatform.RoleWorker,
			State: apiplatform.StateLive,
		}})
		assert.Equal(t, s.links[name].isLeaving(), want, name)
	}
}

// prepareStarts prepare the start of a run that has been placed, and return until when it can take
// effect in milliseconds of the upstream's clock.
var prepareStarts = map[string]func(*Shard, *run) (notAfter int64, ok bool){
	"task of a job": func(s *Shard, r *run) (int64, bool) {
		request, ok := s.prepareTaskStart(newJob(JobRecord{JobID: r.job}), r)
		return request.NotAfter, ok
	},
	"request": func(s *Shard, r *run) (int64, bool) {
		request, ok := s.prepareRequestStart(r, caller.Request{})
		return request.NotAfter, ok
	},
}

// newPlacedRun returns a run that is placed on the link's upstream, whose clock shows the given time.
func newPlacedRun(s *Shard, l *link, clockMillis int64) *run {
	r := &run{
		id:   "run",
		team: "team",
		link: l,
		size: upstream.Resources{Slots: 1},
		lost: make(chan struct{}),
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	l.epoch, l.claimed, l.leaseUntil = 1, true, clockMillis+s.timings.Lease.Milliseconds()
	now := time.Now()
	l.clock.observe(now, now, clockMillis)
	s.addRun(r)
	return r
}

// TestPlacedRunDoesNotStartOnLeavingUpstream guards against a start on a leaving upstream of a run that
// was placed there before, and has waited since for a record in the store.
func TestPlacedRunDoesNotStartOnLeavingUpstream(t *testing.T) {
	for name, prepare := range prepareStarts {
		for state, leave := range map[string]func(*link){
			"live":      func(*link) {},
			"leaving":   func(l *link) { l.leaving = true },
			"no longer": func(l *link) { l.missingSince = time.Now() },
		} {
			t.Run(name+"/"+state, func(t *testing.T) {
				s, l := newTestLink(t, func(http.ResponseWriter, *http.Request) {})
				r := newPlacedRun(s, l, 1000)
				leave(l)
				_, ok := prepare(s, r)
				assert.Equal(t, ok, state == "live")
			})
		}
	}
}

// TestDelayedStartOnLeavingUpstreamIsRefused guards against a start that is sent just before the owner
// learns that the upstream leaves, is delayed, and takes effect after the time in which a leaving
// upstream may still get work.
func TestDelayedStartOnLeavingUpstreamIsRefused(t *testing.T) {
	const (
		leaveLimit = 3 * time.Second
		answerTime = 300 * time.Millisecond // of the directory
		clock      = 1000
	)
	noticed := settings.Default().Timings.DirectoryPoll + answerTime + superviseInterval
	for name, prepare := range prepareStarts {
		t.Run(name, func(t *testing.T) {
			s, l := newTestLink(t, func(http.ResponseWriter, *http.Request) {})
			r := newPlacedRun(s, l, clock)
			before := time.Now()
			notAfter, ok := prepare(s, r)
			passed := time.Since(before)
			assert.Assert(t, ok)
			latest := noticed + time.Duration(notAfter-clock)*time.Millisecond
			assert.Assert(t, latest <= leaveLimit+passed, "a start takes effect %v after the change", latest)
		})
	}
}
