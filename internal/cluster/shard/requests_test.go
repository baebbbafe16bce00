package shard

import (
	"context"
	"errors"
	"io"
	"log/slog"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/citronbay/citronbay/internal/cluster/caller"
	"github.com/citronbay/citronbay/internal/cluster/operator"
	"github.com/citronbay/citronbay/internal/cluster/store"
	"github.com/citronbay/citronbay/internal/cluster/worker"
	"github.com/citronbay/citronbay/internal/decide/job"
)

const (
	acceptedID = "0123456789abcdef"
	unknownID  = "fedcba9876543210"
)

// grantingStore grants each lease and commits each transaction.
type grantingStore struct {
	store.Client
}

func (grantingStore) GrantLease(context.Context, time.Duration) (int64, time.Duration, error) {
	return 1, time.Hour, nil
}

func (grantingStore) Commit(context.Context, store.Txn) (store.TxnResult, error) {
	return store.TxnResult{
		Applied:  true,
		Revision: 1,
	}, nil
}

// Get returns the owner key of the first claim.
func (grantingStore) Get(context.Context, string) (store.Item, error) {
	return store.Item{CreateRevision: 1}, nil
}

func (grantingStore) RenewLease(context.Context, int64) error {
	return nil
}

func (grantingStore) EndLease(context.Context, int64) error {
	return nil
}

// TestRepeatedSubmissionIsNotRejected checks a repeated submission whose first try was
// accepted by the previous owner, after which operators withdrew its key or its route.
// The caller must not be told that the job never runs; another call is rejected.
func TestRepeatedSubmissionIsNotRejected(t *testing.T) {
	for name, c := range map[string]struct {
		host string
		id   string
		call uint64
		want caller.Status
	}{
		"withdrawn key": {
			host: "jobs.example",
			id:   acceptedID,
			call: firstCall,
			want: caller.OK,
		},
		"withdrawn route": {
			host: "other.example",
			id:   acceptedID,
			call: firstCall,
			want: caller.OK,
		},
		"withdrawn key, new call": {
			host: "jobs.example",
			id:   acceptedID,
			call: secondCall,
			want: caller.BadKey,
		},
		"withdrawn route, new call": {
			host: "other.example",
			id:   acceptedID,
			call: secondCall,
			want: caller.NoQueue,
		},
		"withdrawn key, call of unknown identity": {
			host: "jobs.example",
			id:   acceptedID,
			want: caller.BadKey,
		},
		"withdrawn key, nothing accepted": {
			host: "jobs.example",
			id:   unknownID,
			call: firstCall,
			want: caller.BadKey,
		},
		"withdrawn route, nothing accepted": {
			host: "other.example",
			id:   unknownID,
			call: firstCall,
			want: caller.NoQueue,
		},
	} {
		t.Run(name, func(t *testing.T) {
			state := job.NewState()
			assert.NilError(t, state.Apply(job.Record{
				Kind:  job.RecordAccept,
				Job:   acceptedID,
				Team:  "team",
				Queue: "queue",
				Call:  firstCall,
			}))
			state.MarkRecorded()
			log := slog.New(slog.NewTextHandler(io.Discard, nil))
			term, release, err := store.Claim(t.Context(), grantingStore{}, "fleet", store.Owner{}, log)
			assert.NilError(t, err)
			defer release()
			s := &Shard{
				term:  term,
				state: state,
				log:   log,
				agreement: DatedAgreement{Agreement: &operator.Agreement{
					Routes: []operator.Route{{
						Host:   "jobs.example",
						Prefix: "/queue/",
						Queue:  "queue",
					}},
				}},
			}
			response := s.Serve(t.Context(), caller.Request{
				Verb: caller.Submit,
				Host: c.host,
				Path: "/queue/" + c.id,
				Key:  "withdrawn",
				Call: c.call,
			})
			assert.Equal(t, response.Status, c.want)
		})
	}
}

// stalledStore grants leases, has an empty journal, and after the claim answers no commit.
type stalledStore struct {
	grantingStore
	claimed bool
}

func (s *stalledStore) Commit(ctx context.Context, txn store.Txn) (store.TxnResult, error) {
	if !s.claimed {
		s.claimed = true
		return s.grantingStore.Commit(ctx, txn)
	}
	<-ctx.Done()
	return store.TxnResult{}, store.ErrOutcomeUnknown
}

func (*stalledStore) Range(context.Context, string) ([]store.Item, int64, error) {
	return nil, 1, nil
}

// TestUnsentSubmissionIsNotUnknownAtEndOfTerm checks submissions that are being recorded
// when the owner loses its ownership. The outcome of one whose record is on its way to the
// store is unknown. One whose record has not been sent can never be accepted by this owner,
// so the next one is asked.
func TestUnsentSubmissionIsNotUnknownAtEndOfTerm(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		log := slog.New(slog.NewTextHandler(io.Discard, nil))
		client := &stalledStore{}
		term, release, err := store.Claim(t.Context(), client, "fleet", store.Owner{}, log)
		assert.NilError(t, err)
		defer release()
		s, err := Open(t.Context(), Options{
			Store: client,
			Term:  term,
			Agreement: func() DatedAgreement {
				return DatedAgreement{Agreement: &operator.Agreement{
					Routes: []operator.Route{{
						Host:       "jobs.example",
						Prefix:     "/queue/",
						Queue:      "queue",
						AuthExempt: true,
					}},
				}}
			},
			Advisors: func() []AdvisorNode { return nil },
			Log:      log,
		})
		assert.NilError(t, err)
		go func() { _ = s.Run() }()
		submit := func(id string) <-chan caller.Status {
			status := make(chan caller.Status, 1)
			go func() {
				status <- s.Serve(t.Context(), caller.Request{
					Verb:       caller.Submit,
					Host:       "jobs.example",
					Path:       "/queue/" + id,
					Submission: &job.Submission{Steps: []job.StepSpec{{Count: 1}}},
				}).Status
			}()
			return status
		}
		sent := submit(acceptedID)
		time.Sleep(storeStallLimit - 2*time.Millisecond) // later writes wait by now
		unsent := submit(unknownID)
		time.Sleep(time.Millisecond)
		term.Revoke(errors.New("test"))
		assert.Equal(t, <-sent, caller.Unknown)
		assert.Equal(t, <-unsent, caller.NotOwner)
	})
}

// TestJobIsPendingUntilWorkerReportsIt checks that a job whose start was ordered counts as
// pending, since the order may be carried out late or never, until its worker has reported
// an attempt of it.
func TestJobIsPendingUntilWorkerReportsIt(t *testing.T) {
	task := job.TaskKey{Job: acceptedID}
	for name, c := range map[string]struct {
		report func(*Shard, *link)
		want   caller.JobState
	}{
		"no answer": {
			report: func(s *Shard, l *link) {
				s.reconcile(nil, l, worker.Report{}, nil, time.Now(), false)
			},
			want: caller.Queued,
		},
		"answer to the order": {
			report: func(s *Shard, l *link) {
				s.handleStartAnswer(l, s.state.Placement(task), worker.Started, false)
			},
			want: caller.Running,
		},
		"running": {
			report: func(s *Shard, l *link) {
				running := []worker.Running{{
					Task:    task,
					Attempt: 2,
				}}
				s.reconcile(nil, l, worker.Report{Running: running}, nil, time.Now(), false)
			},
			want: caller.Running,
		},
		"earlier attempt that is running": {
			report: func(s *Shard, l *link) {
				running := []worker.Running{{
					Task:    task,
					Attempt: 1,
				}}
				s.reconcile(nil, l, worker.Report{Running: running}, nil, time.Now(), false)
			},
			want: caller.Running,
		},
		"ended": {
			report: func(s *Shard, l *link) {
				s.recordEnded(l, []worker.Ended{{
					Number:  1,
					Task:    task,
					Attempt: 2,
					Outcome: worker.Stopped,
				}})
			},
			want: caller.Running,
		},
	} {
		t.Run(name, func(t *testing.T) {
			log := slog.New(slog.NewTextHandler(io.Discard, nil))
			s := newShardWithClient(&store.Term{}, nil, log)
			s.agreement = DatedAgreement{Agreement: &operator.Agreement{}}
			for _, r := range []job.Record{
				{
					Kind:  job.RecordAccept,
					Job:   acceptedID,
					Queue: "queue",
					Submission: &job.Submission{
						Steps: []job.StepSpec{{Count: 1}},
					},
				},
				{
					Kind:    job.RecordPlace,
					Job:     acceptedID,
					Attempt: 2,
					Worker:  "w",
				},
			} {
				assert.NilError(t, s.state.Apply(r))
			}
			l := s.newLink(t.Context(), worker.Registration{ID: "w"}, true)
			defer l.cancel()
			s.state.Placement(task).Uncertain = true
			c.report(s, l)
			assert.Equal(t, jobState(s.state.Job(acceptedID)), c.want)
			assert.Equal(t, s.countPending("queue") == 1, c.want == caller.Queued)
		})
	}
}
