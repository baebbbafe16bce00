package shard

import (
	"context"
	"errors"
	"io"
	"log/slog"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/citronbay/citronbay/internal/cluster/caller"
	"github.com/citronbay/citronbay/internal/cluster/store"
	"github.com/citronbay/citronbay/internal/cluster/worker"
	"github.com/citronbay/citronbay/internal/decide/job"
)

// inForceWithin is the platform's bound for a change of the agreement.
const inForceWithin = 2500 * time.Millisecond

// agreementReader is how reads of the agreement are answered.
type agreementReader func(ctx context.Context) (DatedAgreement, error)

// newest answers with the agreement after the delay.
func newest(agreement DatedAgreement, delay time.Duration) agreementReader {
	return func(ctx context.Context) (DatedAgreement, error) {
		agreement := agreement
		agreement.AsOf = store.Now()
		select {
		case <-time.After(delay):
			return agreement, nil
		case <-ctx.Done():
			return DatedAgreement{}, store.ErrOutcomeUnknown
		}
	}
}

// silent leaves a read without an answer.
func silent(ctx context.Context) (DatedAgreement, error) {
	<-ctx.Done()
	return DatedAgreement{}, store.ErrOutcomeUnknown
}

// frozenOwner is an owner with a durable job, which was submitted with validKey by firstCall.
type frozenOwner struct {
	*Shard
	mu    sync.Mutex
	read  agreementReader
	reads int // since the owner woke
}

// newFrozenOwner returns an owner that was frozen for the given time and wakes up now. Its
// agreement of before has validKey; reads are answered as the reader says. If leaseOver is
// set, its lease cannot be renewed. The returned function ends its term.
func newFrozenOwner(t *testing.T, changeInForce, frozen time.Duration, read agreementReader, leaseOver bool) (*frozenOwner, func()) {
	t.Helper()
	client := newMemoryStore()
	before := testAgreement(1, queueHost, validKey)
	previous, release := runOwner(t, client, before)
	assert.Equal(t, previous.Serve(t.Context(), submission(acceptedID, validKey, firstCall)).Status, caller.OK)
	release()
	client.expired.Store(leaseOver)
	owner := &frozenOwner{read: newest(before, time.Millisecond)}
	owner.Shard, release = runOwner(t, client, before, func(o *Options) {
		o.ChangeInForce = changeInForce
		o.ReadAgreement = owner.readAgreement
	})
	assert.Equal(t, owner.LeaseValid(), !leaseOver)
	readAt := store.Now()
	time.Sleep(frozen)
	owner.mu.Lock()
	owner.read, owner.reads = read, 0
	owner.mu.Unlock()
	owner.Shard.mu.Lock()
	defer owner.Shard.mu.Unlock()
	owner.agreement.AsOf = readAt
	return owner, release
}

func (o *frozenOwner) readAgreement(ctx context.Context) (DatedAgreement, error) {
	o.mu.Lock()
	o.reads++
	read := o.read
	o.mu.Unlock()
	return read(ctx)
}

// TestOutdatedAgreementIsReadAgain guards against answers by an outdated agreement, as those
// of an owner that was frozen: it would confirm copies of accepted submissions with keys that
// were withdrawn meanwhile, and reject keys and routes that were added. In an outage of the
// store, what is durable must still be answered, without waiting for the store each time.
func TestOutdatedAgreementIsReadAgain(t *testing.T) {
	const changeInForce = 2 * time.Second
	withdrawn := newest(testAgreement(2, queueHost, keptKey), time.Millisecond)
	added := newest(testAgreement(2, queueHost, validKey, keptKey), time.Millisecond)
	for name, c := range map[string]struct {
		age       time.Duration
		read      agreementReader
		leaseOver bool
		key       string
		want      caller.Status
		wantReads int
	}{
		"copy with withdrawn key":           {age: 2 * changeInForce, read: withdrawn, key: validKey, want: caller.BadKey, wantReads: 1},
		"copy with added key":               {age: 2 * changeInForce, read: added, key: keptKey, want: caller.OK, wantReads: 1},
		"withdrawn key after end of lease":  {age: 2 * changeInForce, read: withdrawn, leaseOver: true, key: validKey, want: caller.BadKey, wantReads: 1},
		"copy in an outage":                 {age: 2 * changeInForce, read: silent, leaseOver: true, key: validKey, want: caller.OK, wantReads: 1},
		"current agreement":                 {age: changeInForce / 2, read: withdrawn, key: validKey, want: caller.OK},
		"almost outdated, store unreadable": {age: changeInForce * 83 / 100, read: silent, key: validKey, want: caller.OK, wantReads: 1},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				owner, release := newFrozenOwner(t, changeInForce, c.age, c.read, c.leaseOver)
				defer release()
				start := time.Now()
				var requests sync.WaitGroup
				for call := range uint64(5) {
					requests.Go(func() {
						response := owner.Serve(t.Context(), submission(acceptedID, c.key, secondCall+call))
						assert.Check(t, response.Status == c.want, "%s", response.Status)
					})
				}
				requests.Wait()
				assert.Equal(t, owner.Serve(t.Context(), submission(acceptedID, c.key, secondCall)).Status, c.want)
				assert.Assert(t, time.Since(start) <= maxAgreementWait, "%s", time.Since(start))
				owner.mu.Lock()
				defer owner.mu.Unlock()
				assert.Equal(t, owner.reads, c.wantReads)
			})
		})
	}
}

// TestWithdrawnKeyIsNotConfirmedWhileLeaseIsValid guards against an owner that confirms a copy
// with a key that was withdrawn longer ago than a change may take, although its lease is
// valid, so that the store answers it: one read of the agreement was late, as on a node that
// gets too little processor time.
func TestWithdrawnKeyIsNotConfirmedWhileLeaseIsValid(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		withdrawn := testAgreement(2, queueHost, keptKey)
		owner, release := newFrozenOwner(t, inForceWithin, inForceWithin+time.Second, newest(withdrawn, maxAgreementWait+10*time.Millisecond), false)
		defer release()
		response := owner.Serve(t.Context(), submission(acceptedID, validKey, secondCall))
		assert.Assert(t, response.Status != caller.OK)
	})
}

// TestEndedCallIsNotDecidedByOutdatedAgreement guards against an answer by an outdated
// agreement because the call ends while the owner reads the newest one. An owner's own caller
// still gets that answer, within the margin of its deadline.
func TestEndedCallIsNotDecidedByOutdatedAgreement(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		withdrawn := testAgreement(2, queueHost, keptKey)
		owner, release := newFrozenOwner(t, inForceWithin, inForceWithin+time.Second, newest(withdrawn, 20*time.Millisecond), false)
		defer release()
		ctx, cancel := context.WithTimeout(t.Context(), 10*time.Millisecond)
		defer cancel()
		response := owner.Serve(ctx, submission(acceptedID, validKey, secondCall))
		assert.Assert(t, response.Status != caller.OK)
		time.Sleep(agreementReadTimeout) // until the read has ended
	})
}

// TestEntryIsNotAnsweredByOlderAgreement guards against an answer by an agreement older than
// one by which another owner has answered the entry before.
func TestEntryIsNotAnsweredByOlderAgreement(t *testing.T) {
	withdrawn := newest(testAgreement(2, queueHost, keptKey), time.Millisecond)
	restored := newest(testAgreement(1, queueHost, validKey), time.Millisecond)
	for name, c := range map[string]struct {
		seen      int64
		read      agreementReader
		want      caller.Status
		wantReads int
	}{
		"older version seen":                  {seen: 1, read: withdrawn, want: caller.OK},
		"newer version seen":                  {seen: 2, read: withdrawn, want: caller.BadKey, wantReads: 1},
		"newer version seen, read fails":      {seen: 2, read: silent, want: caller.NotOwner, wantReads: 1},
		"operators have restored the earlier": {seen: 2, read: restored, want: caller.OK, wantReads: 1},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				owner, release := newFrozenOwner(t, 2*time.Second, time.Millisecond, c.read, false)
				defer release()
				request := submission(acceptedID, validKey, secondCall)
				request.Agreement = c.seen
				assert.Equal(t, owner.Serve(t.Context(), request).Status, c.want)
				owner.mu.Lock()
				defer owner.mu.Unlock()
				assert.Equal(t, owner.reads, c.wantReads)
			})
		})
	}
}

// TestUnconfirmedAgreementDecidesNothing guards against requests that are answered by an
// agreement of unknown age while the store answers the owner's other calls. The caller of an
// accepted job must not be told that it was refused.
func TestUnconfirmedAgreementDecidesNothing(t *testing.T) {
	query := submission(acceptedID, validKey, secondCall)
	query.Verb = caller.Read
	for name, c := range map[string]struct {
		request caller.Request
		want    caller.Status
	}{
		"accepted call":  {request: submission(acceptedID, validKey, firstCall), want: caller.OK},
		"copy":           {request: submission(acceptedID, validKey, secondCall), want: caller.Unknown},
		"new submission": {request: submission(unknownID, validKey, secondCall), want: caller.Refused},
		"unknown key":    {request: submission(unknownID, keptKey, secondCall), want: caller.Refused},
		"query":          {request: query, want: caller.Refused},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				owner, release := newFrozenOwner(t, time.Second, 2*time.Second, silent, false)
				defer release()
				assert.Equal(t, owner.Serve(t.Context(), c.request).Status, c.want)
			})
		})
	}
}

// TestAgreementIsReadBeforeRequestsAreRefused guards against requests that are refused because
// of the agreement's age although the store would answer a read.
func TestAgreementIsReadBeforeRequestsAreRefused(t *testing.T) {
	for name, c := range map[string]struct {
		changeInForce time.Duration
		age           time.Duration
		failedReads   int
	}{
		"changes may take longer than the limit": {changeInForce: 8 * time.Second, age: 7500 * time.Millisecond},
		"the store has just come back":           {changeInForce: inForceWithin, age: 10 * time.Second, failedReads: 1},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				read := newest(testAgreement(1, queueHost, validKey), time.Millisecond)
				failures := c.failedReads
				owner, release := newFrozenOwner(t, c.changeInForce, c.age, func(ctx context.Context) (DatedAgreement, error) {
					if failures > 0 {
						failures--
						return DatedAgreement{}, store.ErrNotApplied
					}
					return read(ctx)
				}, false)
				defer release()
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
			ChangeInForce: inForceWithin,
			Advisors:      func() []AdvisorNode { return nil },
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
		time.Sleep(inForceWithin + time.Second)
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

// TestEndedTermDoesNotWaitForAgreement guards against a call that waits for a read of the
// agreement after the term of ownership has ended, when another owner could answer it.
func TestEndedTermDoesNotWaitForAgreement(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		owner, release := newFrozenOwner(t, time.Second, 2*time.Second, silent, false)
		defer release()
		time.AfterFunc(time.Millisecond, func() { owner.term.Revoke(errors.New("test")) })
		start := time.Now()
		assert.Equal(t, owner.Serve(t.Context(), submission(acceptedID, validKey, firstCall)).Status, caller.NotOwner)
		assert.Assert(t, time.Since(start) < maxAgreementWait)
	})
}
