package shard

import (
	"context"
	"fmt"
	"io"
	"log/slog"
	"sync"
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

// inForceWithin is the platform's bound for a change of the agreement, and maxReviewAge the
// age that settings.MaxAgreementAge derives from it.
const (
	inForceWithin = 2500 * time.Millisecond
	maxReviewAge  = 2 * time.Second
)

// runOwnerWithJob runs an owner that has a durable job, submitted with validKey, and reads the
// agreement with the function.
func runOwnerWithJob(t *testing.T, maxAge time.Duration, read func(ctx context.Context) (DatedAgreement, error)) (*Shard, func()) {
	t.Helper()
	owner, release := runOwner(t, newMemoryStore(), testAgreement(1, queueHost, validKey))
	assert.Equal(t, owner.Serve(t.Context(), submission(acceptedID, validKey, firstCall)).Status, caller.OK)
	owner.options.MaxAgreementAge = maxAge
	owner.options.ReadAgreement = read
	return owner, release
}

// newest returns a read of the agreement that takes the given time.
func newest(agreement DatedAgreement, delay time.Duration) func(ctx context.Context) (DatedAgreement, error) {
	return func(ctx context.Context) (DatedAgreement, error) {
		agreement.AsOf = store.Now()
		select {
		case <-time.After(delay):
			return agreement, nil
		case <-ctx.Done():
			return DatedAgreement{}, store.ErrOutcomeUnknown
		}
	}
}

// TestWithdrawnKeyIsNotConfirmedWhileLeaseIsValid guards against an owner that confirms a copy
// with a key that was withdrawn longer ago than a change may take, although its lease is
// valid, so that the store answers it: one read of the agreement was late, as on a node that
// gets too little processor time.
func TestWithdrawnKeyIsNotConfirmedWhileLeaseIsValid(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		withdrawn := testAgreement(2, queueHost, keptKey)
		owner, release := runOwnerWithJob(t, maxReviewAge, newest(withdrawn, agreementReadTimeout+10*time.Millisecond))
		defer release()
		time.Sleep(inForceWithin + time.Second)
		assert.Assert(t, owner.LeaseValid())
		response := owner.Serve(t.Context(), submission(acceptedID, validKey, secondCall))
		assert.Assert(t, response.Status != caller.OK, "confirmed by an agreement of %s ago", owner.agreement.AsOf.Age())
	})
}

// TestEndedCallIsNotDecidedByOutdatedAgreement guards against an answer by an outdated
// agreement because the call ends while the owner reads the newest one. An owner's own caller
// still gets that answer, within the margin of its deadline.
func TestEndedCallIsNotDecidedByOutdatedAgreement(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		withdrawn := testAgreement(2, queueHost, keptKey)
		owner, release := runOwnerWithJob(t, maxReviewAge, newest(withdrawn, 20*time.Millisecond))
		defer release()
		time.Sleep(inForceWithin + time.Second)
		ctx, cancel := context.WithTimeout(t.Context(), 10*time.Millisecond)
		defer cancel()
		response := owner.Serve(ctx, submission(acceptedID, validKey, secondCall))
		assert.Assert(t, response.Status != caller.OK, "confirmed by an agreement of %s ago", owner.agreement.AsOf.Age())
		time.Sleep(agreementReadTimeout) // until the read has ended
	})
}

// TestAgreementIsReadBeforeRequestsAreRefused guards against requests that are refused because
// of the agreement's age although the store would answer a read.
func TestAgreementIsReadBeforeRequestsAreRefused(t *testing.T) {
	for name, c := range map[string]struct {
		maxAge      time.Duration
		age         time.Duration
		failedReads int
	}{
		"changes may take longer than the limit": {maxAge: 8 * time.Second, age: 7500 * time.Millisecond},
		"the store has just come back":           {maxAge: maxReviewAge, age: 10 * time.Second, failedReads: 1},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				read := newest(testAgreement(1, queueHost, validKey), time.Millisecond)
				failures := c.failedReads
				owner, release := runOwnerWithJob(t, c.maxAge, func(ctx context.Context) (DatedAgreement, error) {
					if failures > 0 {
						failures--
						return DatedAgreement{}, store.ErrNotApplied
					}
					return read(ctx)
				})
				defer release()
				time.Sleep(c.age)
				query := submission(acceptedID, validKey, secondCall)
				query.Verb = caller.Read
				for range c.failedReads {
					owner.Serve(t.Context(), query)
					time.Sleep(100 * time.Millisecond)
				}
				assert.Equal(t, owner.Serve(t.Context(), query).Status, caller.OK)
			})
		})
	}
}

// TestAcceptedCallIsFoundByTheIDOfItsJob guards against rejecting the accepted call because its
// route's prefix ends within a segment of the path, or refusing a copy of it.
func TestAcceptedCallIsFoundByTheIDOfItsJob(t *testing.T) {
	prefixed := func(version int64, keys ...string) DatedAgreement {
		a := testAgreement(version, queueHost, keys...)
		a.Routes = []operator.Route{{
			Host:   queueHost,
			Prefix: queuePath + "job-",
			Queue:  "queue",
		}}
		return a
	}
	synctest.Test(t, func(t *testing.T) {
		client := newMemoryStore()
		request := submission("job-"+acceptedID, validKey, firstCall)
		owner, release := runOwner(t, client, prefixed(1, validKey))
		assert.Equal(t, owner.Serve(t.Context(), request).Status, caller.OK)
		release()
		owner, release = runOwner(t, client, prefixed(2, keptKey))
		defer release()
		assert.Equal(t, owner.Serve(t.Context(), request).Status, caller.OK)
	})
}

// TestEndedAttemptIsNotAccepted guards against accepting a submission whose caller has given
// the attempt up: a later attempt at the call may have been refused by then, and the job would
// run all the same.
func TestEndedAttemptIsNotAccepted(t *testing.T) {
	const calls = 1000
	owner, release := runOwner(t, newMemoryStore(), testAgreement(1, queueHost, validKey))
	defer release()
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	var attempts sync.WaitGroup
	for call := range uint64(calls) {
		attempts.Go(func() {
			owner.Serve(ctx, submission(fmt.Sprintf("%016x", call), validKey, call+1))
		})
	}
	attempts.Wait()
	owner.mu.Lock()
	defer owner.mu.Unlock()
	assert.Equal(t, len(owner.state.OpenJobs()), 0, "accepted, of %d", calls)
}

// TestNothingStartsByUnconfirmedAgreement guards against an owner that starts tasks by the caps
// and queues of an agreement by which it may answer no request any more.
func TestNothingStartsByUnconfirmedAgreement(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		log := slog.New(slog.NewTextHandler(io.Discard, nil))
		client := newMemoryStore()
		agreement := testAgreement(1, queueHost, validKey)
		agreement.AsOf = store.Now()
		agreement.Rules.Queues = map[string]job.Queue{
			"queue": {
				Name:    "queue",
				Service: "service",
			},
		}
		term, release, err := store.Claim(t.Context(), client, "fleet", store.Owner{}, log)
		assert.NilError(t, err)
		defer release()
		workerClient := newRestartingWorker()
		owner, err := Open(t.Context(), Options{
			Store:     client,
			Term:      term,
			Agreement: func() DatedAgreement { return agreement },
			ReadAgreement: func(context.Context) (DatedAgreement, error) {
				return DatedAgreement{}, store.ErrNotApplied
			},
			MaxAgreementAge: maxReviewAge,
			Advisors:        func() []AdvisorNode { return nil },
			NewWorkerClient: func(worker.Registration) (worker.Client, func()) {
				return workerClient, func() {}
			},
			JobStateRetention: time.Minute,
			WorkerLease:       6500 * time.Millisecond,
			MaxWorkerLease:    maxTestLease,
			Log:               log,
		})
		assert.NilError(t, err)
		go func() { _ = owner.Run() }()
		assert.Equal(t, owner.Serve(t.Context(), submission(acceptedID, validKey, firstCall)).Status, caller.OK)
		time.Sleep(maxUnconfirmedAge + time.Second)
		assert.Equal(t, owner.Serve(t.Context(), submission(unknownID, validKey, secondCall)).Status, caller.Refused)
		registration := firstRegistration()
		registration.Service = "service"
		registration.Capacity = job.Resources{MilliCores: 1000}
		owner.SetWorkers([]worker.Registration{registration})
		time.Sleep(2 * pollsAnswered)
		workerClient.mu.Lock()
		defer workerClient.mu.Unlock()
		assert.Equal(t, workerClient.running[job.TaskKey{Job: acceptedID}], 0, "attempt")
	})
}
