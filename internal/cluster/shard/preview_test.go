package shard

import (
	"context"
	"encoding/json"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/citronbay/citronbay/internal/cluster/caller"
	"github.com/citronbay/citronbay/internal/cluster/worker"
	"github.com/citronbay/citronbay/internal/decide/job"
)

// TestPreviewChangesNothing previews submissions at an owner with and without a job that waits. The
// state, the team's rate and the store stay as they were, and the policy service is not asked; errors
// name what is wrong.
func TestPreviewChangesNothing(t *testing.T) {
	valid := &job.Submission{Steps: []job.StepSpec{{Count: 2}}}
	for name, c := range map[string]struct {
		request PreviewRequest
		want    caller.Status
		known   bool
	}{
		"new job":      {request: PreviewRequest{Path: queuePath, Team: "team", Submission: valid}, want: caller.OK},
		"without team": {request: PreviewRequest{Path: queuePath, Submission: valid}, want: caller.OK},
		"known job":    {request: PreviewRequest{Path: queuePath + acceptedID, Submission: valid}, want: caller.OK, known: true},
		"no route":     {request: PreviewRequest{Path: "/other/", Submission: valid}, want: caller.NoQueue},
		"no team":      {request: PreviewRequest{Path: queuePath, Team: "other", Submission: valid}, want: caller.BadKey},
		"no steps":     {request: PreviewRequest{Path: queuePath, Submission: &job.Submission{}}, want: caller.Invalid},
	} {
		t.Run(name, func(t *testing.T) {
			agreement := testAgreement(1, queueHost, validKey)
			agreement.Rules = job.Rules{
				Queues: map[string]job.Queue{"queue": {Name: "queue", Policy: &job.Policy{}}},
				Teams:  map[string]job.Team{"team": {Name: "team", JobsPerSecond: 1}},
			}
			memory := newMemoryStore()
			asked := 0
			s, release := runOwner(t, memory, agreement, func(o *Options) {
				o.Advisors = func() []AdvisorNode {
					return []AdvisorNode{{
						Node: "a",
						Ask: func(context.Context, string, int, []string) ([]worker.Ticket, error) {
							asked++
							return nil, nil
						},
					}}
				}
			})
			defer release()
			assert.Equal(t, s.Serve(t.Context(), submission(acceptedID, validKey, 1)).Status, caller.OK)
			revision, before := memory.revision, dumpShard(s)
			c.request.Host = queueHost
			for range 10 { // more than the team's rate permits
				response := s.Preview(t.Context(), c.request)
				assert.Equal(t, response.Status, c.want)
				assert.Equal(t, response.Reason == "", c.want == caller.OK)
				if c.want != caller.OK {
					continue
				}
				assert.Equal(t, response.Preview.Accepted, true)
				assert.Equal(t, response.Preview.KnownJob, c.known)
				assert.Equal(t, response.Preview.Steps[0].WaitCause, string(job.WaitPolicy))
			}
			assert.Equal(t, dumpShard(s), before)
			assert.Equal(t, memory.revision, revision)
			assert.Equal(t, asked, 0)
		})
	}
}

// TestPreviewsTakeTurns asks for a preview during another one: it must wait, and must not wait for ever.
func TestPreviewsTakeTurns(t *testing.T) {
	for name, c := range map[string]struct {
		other   time.Duration // until the end of the other preview
		patient bool          // the operator waits for the answer
		want    caller.Status
		waits   time.Duration
	}{
		"none":     {patient: true, want: caller.OK},
		"short":    {other: previewWait / 2, patient: true, want: caller.OK, waits: previewWait / 2},
		"long":     {other: 2 * previewWait, patient: true, want: caller.Refused, waits: previewWait},
		"given up": {other: previewWait / 2, want: caller.Refused},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				agreement := testAgreement(1, queueHost, validKey)
				agreement.Rules = job.Rules{Queues: map[string]job.Queue{"queue": {Name: "queue"}}}
				s, release := runOwner(t, newMemoryStore(), agreement)
				defer release()
				if c.other > 0 {
					s.previews <- struct{}{}
					time.AfterFunc(c.other, func() { <-s.previews })
				}
				ctx, cancel := context.WithCancel(t.Context())
				defer cancel()
				if !c.patient {
					cancel()
				}
				start := time.Now()
				response := s.Preview(ctx, PreviewRequest{
					Host:       queueHost,
					Path:       queuePath,
					Submission: &job.Submission{Steps: []job.StepSpec{{Count: 1}}},
				})
				assert.Equal(t, response.Status, c.want, response.Reason)
				assert.Equal(t, response.Reason == "", c.want == caller.OK)
				assert.Equal(t, time.Since(start), c.waits)
			})
		})
	}
}

// TestPauseAfterPreview checks that previews leave most of the time to others, and that those that wait
// get a turn.
func TestPauseAfterPreview(t *testing.T) {
	for name, c := range map[string]struct {
		took, want time.Duration
	}{
		"short":  {took: 5 * time.Millisecond, want: 100 * time.Millisecond},
		"halted": {took: time.Second, want: previewWait / 2},
	} {
		t.Run(name, func(t *testing.T) {
			assert.Equal(t, pauseAfterPreview(c.took), c.want)
		})
	}
}

// dumpShard returns the records that rebuild the state, the sizes of its groups, the calls in flight and
// the tokens of the teams. Passes of the owner change what is not in the records.
func dumpShard(s *Shard) string {
	s.mu.Lock()
	defer s.mu.Unlock()
	text := fmt.Sprintf("%v %v", s.slowCalls, len(s.links))
	for _, r := range s.state.Snapshot(0) {
		record, err := json.Marshal(r)
		text += fmt.Sprintf("\n%s %v", record, err)
	}
	for _, g := range s.state.Groups() {
		text += fmt.Sprintf("\n%+v", *g)
	}
	for team, b := range s.buckets {
		text += fmt.Sprintf("\n%s %+v", team, b)
	}
	return text
}
