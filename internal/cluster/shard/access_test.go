package shard

import (
	"io"
	"log/slog"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/citronbay/citronbay/internal/cluster/caller"
	"github.com/citronbay/citronbay/internal/cluster/operator"
	"github.com/citronbay/citronbay/internal/cluster/store"
	"github.com/citronbay/citronbay/internal/decide/job"
)

// teamsAgreement returns an agreement with a queue of the teams a and b, and an open one.
func teamsAgreement() *operator.Agreement {
	return &operator.Agreement{
		Routes: []operator.Route{
			{
				Host:   "jobs.example",
				Prefix: "/queue/",
				Queue:  "queue",
			},
			{
				Host:       "jobs.example",
				Prefix:     "/open/",
				Queue:      "open",
				AuthExempt: true,
			},
		},
		TeamByKey: map[string]string{
			"key of a": "a",
			"key of b": "b",
		},
	}
}

// newAcceptedJob returns a shard with a durable open job of team a in the queue, and a
// function that ends its term.
func newAcceptedJob(t *testing.T) (*Shard, func()) {
	t.Helper()
	log := slog.New(slog.NewTextHandler(io.Discard, nil))
	term, release, err := store.Claim(t.Context(), emptyStore{}, "fleet", store.Owner{}, log)
	assert.NilError(t, err)
	s := newShardWithClient(term, nil, log)
	s.agreement = DatedAgreement{Agreement: teamsAgreement()}
	s.journal, _, err = store.OpenJournal(t.Context(), emptyStore{}, term, s.snapshot, log)
	assert.NilError(t, err)
	assert.NilError(t, s.state.Apply(job.Record{
		Kind:  job.RecordAccept,
		Job:   acceptedID,
		Team:  "a",
		Queue: "queue",
		Submission: &job.Submission{
			Steps: []job.StepSpec{{Count: 1}},
		},
	}))
	s.state.MarkRecorded()
	go func() {
		_ = s.journal.Run(&s.mu)
	}()
	return s, release
}

// TestJobOfAnotherTeamIsNotConfirmed guards against a submission that is confirmed because
// another team's job has its ID: the caller's job is not stored and never runs. The team of a
// key may also have changed since the key's owner submitted the job.
func TestJobOfAnotherTeamIsNotConfirmed(t *testing.T) {
	for name, c := range map[string]struct {
		path, key string
		confirmed bool
	}{
		"same team":  {path: "/queue/", key: "key of a", confirmed: true},
		"other team": {path: "/queue/", key: "key of b"},
		"open queue": {path: "/open/"},
	} {
		t.Run(name, func(t *testing.T) {
			s, release := newAcceptedJob(t)
			defer release()
			response := s.Serve(t.Context(), caller.Request{
				Verb:       caller.Submit,
				Host:       "jobs.example",
				Path:       c.path + acceptedID,
				Key:        c.key,
				Submission: &job.Submission{Steps: []job.StepSpec{{Count: 1}}},
			})
			assert.Equal(t, response.Status == caller.OK, c.confirmed, "status %d", response.Status)
		})
	}
}

// TestOpenQueueGivesNoAccessToOtherJobs guards against reading and cancelling the jobs of
// other queues, which need a key, through a queue that needs none.
func TestOpenQueueGivesNoAccessToOtherJobs(t *testing.T) {
	for name, verb := range map[string]caller.Verb{
		"read":   caller.Read,
		"cancel": caller.Cancel,
	} {
		t.Run(name, func(t *testing.T) {
			s, release := newAcceptedJob(t)
			defer release()
			response := s.Serve(t.Context(), caller.Request{
				Verb: verb,
				Host: "jobs.example",
				Path: "/open/" + acceptedID,
			})
			assert.Equal(t, response.Status, caller.NoJob)
			assert.Equal(t, s.state.Job(acceptedID).Outcome, job.Open)
		})
	}
}

// TestOpenQueueGivesAccessToItsJobs checks that jobs of a queue that needs no key can be read
// without one, whether or not they were submitted with a key.
func TestOpenQueueGivesAccessToItsJobs(t *testing.T) {
	for name, team := range map[string]string{
		"submitted without a key": "",
		"submitted with a key":    "a",
	} {
		t.Run(name, func(t *testing.T) {
			s, release := newAcceptedJob(t)
			defer release()
			assert.NilError(t, s.state.Apply(job.Record{
				Kind:  job.RecordAccept,
				Job:   unknownID,
				Team:  team,
				Queue: "open",
			}))
			response := s.Serve(t.Context(), caller.Request{
				Verb: caller.Read,
				Host: "jobs.example",
				Path: "/open/" + unknownID,
			})
			assert.Equal(t, response.Status, caller.OK)
		})
	}
}
