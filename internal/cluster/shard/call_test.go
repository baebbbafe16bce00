package shard

import (
	"context"
	"io"
	"log/slog"
	"maps"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
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

// memoryStore is a store in memory. Its leases end only by EndLease, but while expired is
// set, new ones are over from the start and cannot be renewed.
type memoryStore struct {
	mu       sync.Mutex
	items    map[string]store.Item
	revision int64
	expired  atomic.Bool
}

func newMemoryStore() *memoryStore {
	return &memoryStore{items: map[string]store.Item{}}
}

func (m *memoryStore) Get(_ context.Context, key string) (store.Item, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	item, ok := m.items[key]
	if !ok {
		return item, store.ErrNotFound
	}
	return item, nil
}

func (m *memoryStore) Range(_ context.Context, prefix string) ([]store.Item, int64, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	var items []store.Item
	for _, key := range slices.Sorted(maps.Keys(m.items)) {
		if strings.HasPrefix(key, prefix) {
			items = append(items, m.items[key])
		}
	}
	return items, m.revision, nil
}

func (m *memoryStore) Watch(ctx context.Context, _ string, after int64, wait time.Duration) ([]store.Item, int64, error) {
	select {
	case <-ctx.Done():
		return nil, 0, ctx.Err()
	case <-time.After(wait):
		return nil, after, nil
	}
}

func (m *memoryStore) Commit(_ context.Context, txn store.Txn) (store.TxnResult, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	result := store.TxnResult{
		Applied: true,
		Current: map[string]store.Item{},
	}
	for key, revision := range txn.Expect {
		item, ok := m.items[key]
		if ok {
			result.Current[key] = item
		}
		result.Applied = result.Applied && item.Revision == revision
	}
	if !result.Applied {
		return result, nil
	}
	m.revision++
	for _, p := range txn.Puts {
		created := m.revision
		if item, ok := m.items[p.Key]; ok {
			created = item.CreateRevision
		}
		m.items[p.Key] = store.Item{
			Key:            p.Key,
			Value:          p.Value,
			Revision:       m.revision,
			CreateRevision: created,
			Lease:          p.Lease,
		}
	}
	result.Revision = m.revision
	return result, nil
}

func (m *memoryStore) GrantLease(context.Context, time.Duration) (int64, time.Duration, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.revision++
	if m.expired.Load() {
		return m.revision, -time.Second, nil
	}
	return m.revision, time.Hour, nil
}

func (m *memoryStore) RenewLease(context.Context, int64) error {
	if m.expired.Load() {
		return store.ErrNotApplied
	}
	return nil
}

func (m *memoryStore) EndLease(_ context.Context, lease int64) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	maps.DeleteFunc(m.items, func(_ string, item store.Item) bool {
		return item.Lease == lease
	})
	return nil
}

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
