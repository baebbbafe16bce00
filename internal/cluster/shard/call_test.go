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

const (
	validKey   = "a valid key"
	keptKey    = "another key"
	queueHost  = "jobs.example"
	queuePath  = "/queue/"
	firstCall  = 11
	secondCall = 22
)

// testAgreement returns an agreement with one queue and the keys of one team.
func testAgreement(version int64, host string, keys ...string) DatedAgreement {
	a := &operator.Agreement{
		Version: version,
		Routes: []operator.Route{{
			Host:   host,
			Prefix: queuePath,
			Queue:  "queue",
		}},
		TeamByKey: map[string]string{},
	}
	for _, key := range keys {
		a.TeamByKey[key] = "team"
	}
	return DatedAgreement{Agreement: a}
}

// runOwner claims the shard and runs it with the agreement, which is the newest, and with
// options that the functions change. The returned function ends the term and its lease.
func runOwner(t *testing.T, client store.Client, agreement DatedAgreement, changes ...func(*Options)) (*Shard, func()) {
	t.Helper()
	log := slog.New(slog.NewTextHandler(io.Discard, nil))
	agreement.AsOf = store.Now()
	term, release, err := store.Claim(t.Context(), client, "fleet", store.Owner{}, log)
	assert.NilError(t, err)
	options := Options{
		Store:             client,
		Term:              term,
		Agreement:         func() DatedAgreement { return agreement },
		NewWorkerClient:   func(worker.Registration) (worker.Client, func()) { return nil, func() {} },
		Advisors:          func() []AdvisorNode { return nil },
		JobStateRetention: time.Minute,
		Log:               log,
	}
	for _, change := range changes {
		change(&options)
	}
	s, err := Open(t.Context(), options)
	if err != nil {
		release()
	}
	assert.NilError(t, err)
	go func() { _ = s.Run() }()
	return s, release
}

// submission returns a submission of the job with the key, as part of the call.
func submission(id, key string, call uint64) caller.Request {
	return caller.Request{
		Verb:       caller.Submit,
		Host:       queueHost,
		Path:       queuePath + id,
		Key:        key,
		Call:       call,
		Submission: &job.Submission{Steps: []job.StepSpec{{Count: 1}}},
	}
}

// TestCopyWithWithdrawnKeyIsNotConfirmed guards against confirming a submission with a
// withdrawn key or route because another call had its job accepted before: an entry repeats
// the call at the next owner. The call that was accepted must not be rejected.
func TestCopyWithWithdrawnKeyIsNotConfirmed(t *testing.T) {
	withdrawnKey := testAgreement(2, queueHost, keptKey)
	withdrawnRoute := testAgreement(2, "other.example", validKey, keptKey)
	movedKey := testAgreement(2, queueHost, validKey)
	movedKey.TeamByKey[validKey] = "another team"
	for name, c := range map[string]struct {
		agreement DatedAgreement // of the next owner
		key       string
		call      uint64
		want      caller.Status
	}{
		"accepted call with withdrawn key": {agreement: withdrawnKey, key: validKey, call: firstCall, want: caller.OK},
		"accepted call on withdrawn route": {agreement: withdrawnRoute, key: validKey, call: firstCall, want: caller.OK},
		"copy with withdrawn key":          {agreement: withdrawnKey, key: validKey, call: secondCall, want: caller.BadKey},
		"copy on withdrawn route":          {agreement: withdrawnRoute, key: validKey, call: secondCall, want: caller.NoQueue},
		"accepted call with moved key":     {agreement: movedKey, key: validKey, call: firstCall, want: caller.OK},
		"copy with moved key":              {agreement: movedKey, key: validKey, call: secondCall, want: caller.Invalid},
		"copy with valid key":              {agreement: withdrawnKey, key: keptKey, call: secondCall, want: caller.OK},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				client := newMemoryStore()
				owner, release := runOwner(t, client, testAgreement(1, queueHost, validKey, keptKey))
				assert.Equal(t, owner.Serve(t.Context(), submission(acceptedID, validKey, firstCall)).Status, caller.OK)
				release()
				owner, release = runOwner(t, client, c.agreement)
				defer release()
				assert.Equal(t, owner.Serve(t.Context(), submission(acceptedID, c.key, c.call)).Status, c.want)
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
