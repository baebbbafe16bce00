package shard

import (
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/citronbay/citronbay/internal/cluster/caller"
	"github.com/citronbay/citronbay/internal/cluster/store"
	"github.com/citronbay/citronbay/internal/decide/job"
)

// TestMismatchedRecordEndsNoOwner guards against one record that ends every later term of ownership:
// the owner that wrote it had another state than the journal gives.
func TestMismatchedRecordEndsNoOwner(t *testing.T) {
	place := job.Record{
		Kind:    job.RecordPlace,
		Job:     acceptedID,
		Attempt: 1,
		Worker:  "w",
	}
	for name, c := range map[string]struct {
		records []job.Record
		// fails is set if the journal must not be used, since its meaning is not known.
		fails bool
	}{
		"acceptance of an open job": {
			records: []job.Record{{
				Kind:       job.RecordAccept,
				Job:        acceptedID,
				Submission: &job.Submission{Steps: []job.StepSpec{{Count: 2}}},
			}},
		},
		"two placements of a task": {
			records: []job.Record{place, place},
		},
		"end of an attempt that is not placed": {
			records: []job.Record{{
				Kind:           job.RecordAttemptEnd,
				Job:            acceptedID,
				Attempt:        3,
				AttemptOutcome: job.AttemptFailed,
			}},
		},
		"end of an unknown job": {
			records: []job.Record{{
				Kind:    job.RecordJobEnd,
				Job:     unknownID,
				Outcome: job.Completed,
			}},
		},
		"unknown task": {
			records: []job.Record{{
				Kind:  job.RecordTaskState,
				Job:   acceptedID,
				Index: 7,
			}},
		},
		"kind of a later version": {
			records: []job.Record{{
				Kind: job.RecordTaskState + 1,
				Job:  acceptedID,
			}},
			fails: true,
		},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				client := newMemoryStore()
				agreement := testAgreement(1, queueHost, validKey)
				owner, release := runOwner(t, client, agreement)
				submitTasks(t, owner, 1)
				owner.mu.Lock()
				owner.journal.Append(c.records, nil)
				owner.mu.Unlock()
				time.Sleep(time.Second)
				release()
				if c.fails {
					term, release, err := store.Claim(t.Context(), client, "fleet", store.Owner{}, owner.log)
					assert.NilError(t, err)
					defer release()
					options := owner.options
					options.Term = term
					_, err = Open(t.Context(), options)
					assert.ErrorIs(t, err, job.ErrUnknownKind)
					return
				}
				next, release := runOwner(t, client, agreement)
				defer release()
				response := next.Serve(t.Context(), jobCall(caller.Read))
				assert.Equal(t, response.State, caller.Queued)
				next.mu.Lock()
				assert.Equal(t, len(next.state.Job(acceptedID).Steps[0].Tasks), 1)
				next.mu.Unlock()
				assert.Equal(t, next.Serve(t.Context(), submission(unknownID, validKey, secondCall)).Status, caller.OK)
				assert.Equal(t, next.Serve(t.Context(), jobCall(caller.Cancel)).Status, caller.OK)
			})
		})
	}
}
