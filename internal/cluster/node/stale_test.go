package node

import (
	"cmp"
	"context"
	"encoding/json"
	"maps"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/citronbay/citronbay/internal/api/peer"
	"github.com/citronbay/citronbay/internal/cluster/caller"
	"github.com/citronbay/citronbay/internal/cluster/operator"
	"github.com/citronbay/citronbay/internal/cluster/shard"
	"github.com/citronbay/citronbay/internal/cluster/store"
	"github.com/citronbay/citronbay/internal/cluster/worker"
	"github.com/citronbay/citronbay/internal/decide/job"
)

const (
	agreementKey = "op/config"
	oldKey       = "key of the first version"
	newKey       = "key of the second version"
	testJob      = "0123456789abcdef"
)

// sharedStore is a store in memory for several nodes. Its leases last until they are ended.
type sharedStore struct {
	mu       sync.Mutex
	revision int64
	items    map[string]store.Item
	leases   map[int64]bool
	changed  chan struct{} // closed at the next change
}

func newSharedStore() *sharedStore {
	return &sharedStore{
		items:   map[string]store.Item{},
		leases:  map[int64]bool{},
		changed: make(chan struct{}),
	}
}

// put writes an item; the caller holds s.mu.
func (s *sharedStore) put(p store.Put) {
	item := store.Item{
		Key:            p.Key,
		Value:          p.Value,
		Revision:       s.revision,
		CreateRevision: cmp.Or(s.items[p.Key].CreateRevision, s.revision),
		Lease:          p.Lease,
	}
	s.items[p.Key] = item
}

// advance starts the next revision and wakes the watches; the caller holds s.mu.
func (s *sharedStore) advance() {
	s.revision++
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *sharedStore) putAgreement(t *testing.T, a *operator.Agreement) {
	t.Helper()
	value, err := json.Marshal(a)
	assert.NilError(t, err)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.advance()
	s.put(store.Put{
		Key:   agreementKey,
		Value: value,
	})
}

func (s *sharedStore) Get(_ context.Context, key string) (store.Item, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	item, ok := s.items[key]
	if !ok {
		return item, store.ErrNotFound
	}
	return item, nil
}

func (s *sharedStore) Range(_ context.Context, prefix string) ([]store.Item, int64, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.itemsAfter(prefix, 0), s.revision, nil
}

// itemsAfter returns the items that were written after the revision. The caller holds s.mu.
func (s *sharedStore) itemsAfter(prefix string, revision int64) []store.Item {
	var items []store.Item
	for key, item := range s.items {
		if strings.HasPrefix(key, prefix) && item.Revision > revision {
			items = append(items, item)
		}
	}
	slices.SortFunc(items, func(a, b store.Item) int {
		return cmp.Compare(a.Revision, b.Revision)
	})
	return items
}

func (s *sharedStore) Watch(ctx context.Context, prefix string, after int64, wait time.Duration) ([]store.Item, int64, error) {
	timeout := time.After(wait)
	for {
		s.mu.Lock()
		items, revision, changed := s.itemsAfter(prefix, after), s.revision, s.changed
		s.mu.Unlock()
		if len(items) > 0 {
			return items, revision, nil
		}
		select {
		case <-changed:
		case <-timeout:
			return nil, revision, nil
		case <-ctx.Done():
			return nil, 0, store.ErrOutcomeUnknown
		}
	}
}

func (s *sharedStore) Commit(_ context.Context, txn store.Txn) (store.TxnResult, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for key, revision := range txn.Expect {
		if s.items[key].Revision != revision {
			return store.TxnResult{Current: maps.Clone(s.items)}, nil
		}
	}
	s.advance()
	for _, p := range txn.Puts {
		s.put(p)
	}
	return store.TxnResult{
		Applied:  true,
		Revision: s.revision,
	}, nil
}

func (s *sharedStore) GrantLease(context.Context, time.Duration) (int64, time.Duration, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	lease := int64(len(s.leases) + 1)
	s.leases[lease] = true
	return lease, time.Hour, nil
}

func (s *sharedStore) RenewLease(_ context.Context, lease int64) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.leases[lease] {
		return store.ErrNotFound
	}
	return nil
}

func (s *sharedStore) EndLease(_ context.Context, lease int64) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.leases[lease] = false
	for key, item := range s.items {
		if item.Lease == lease {
			delete(s.items, key)
		}
	}
	return nil
}

// testAgreement returns an agreement with one queue, for the holder of the key.
func testAgreement(version int64, key string) *operator.Agreement {
	return &operator.Agreement{
		Version: version,
		Routes: []operator.Route{{
			Host:   "jobs.example",
			Prefix: "/queue/",
			Queue:  "queue",
		}},
		TeamByKey: map[string]string{key: "team"},
	}
}

func decodeAgreement(value []byte) (*operator.Agreement, error) {
	a := &operator.Agreement{}
	return a, json.Unmarshal(value, a)
}

// silentAdvisor answers no call.
type silentAdvisor struct{}

func (silentAdvisor) Advise(ctx context.Context, _ string, _ int, _ []string) ([]worker.Ticket, error) {
	<-ctx.Done()
	return nil, ctx.Err()
}

// newStoreNode returns a node that uses the store and no workers.
func newStoreNode(t *testing.T, client store.Client, name string) *Node {
	t.Helper()
	n := newTestNode(t, name, "127.0.0.1:1")
	n.options.Store = client
	n.options.Advisor = silentAdvisor{}
	n.options.Directory.Prefix = "servers/"
	n.options.JobStateRetention = time.Hour
	n.options.AgreementSource = AgreementSource{
		Key:    agreementKey,
		Decode: decodeAgreement,
	}
	return n
}

// own claims the shard for the node and runs it. It returns the term and a function that
// ends it.
func own(t *testing.T, n *Node) (*store.Term, func()) {
	t.Helper()
	term, release, err := store.Claim(t.Context(), n.options.Store, n.options.Shard, store.Owner{
		Node:        n.options.Name,
		Incarnation: n.incarnation,
	}, n.log)
	assert.NilError(t, err)
	done := make(chan struct{})
	go func() {
		defer close(done)
		_ = n.own(t.Context(), term)
	}()
	return term, func() {
		release()
		<-done
	}
}

// awaitShard waits until the node serves as the owner.
func awaitShard(n *Node) {
	for n.currentShard() == nil {
		time.Sleep(time.Millisecond)
	}
}

// testOwner is the owner of a shard. It has no node.
type testOwner struct {
	shard *shard.Shard
	owner store.Owner
}

// startOwner claims the shard and serves it on a loopback address. The answers that reach
// the entry are those of handle. The returned function ends the term.
func startOwner(t *testing.T, client store.Client, name string, handle func(context.Context, *shard.Shard, caller.Request) (caller.Response, error)) (*testOwner, func()) {
	t.Helper()
	s, term, release := openShard(t, client, name)
	server := peer.NewServer()
	peer.Handle(server, methodServe, func(ctx context.Context, r caller.Request) (caller.Response, error) {
		return handle(ctx, s, r)
	})
	return &testOwner{
		shard: s,
		owner: store.Owner{
			Node:    name,
			Address: servePeer(t, server),
			Token:   term.Token(),
		},
	}, release
}

// openShard claims the shard and runs it with the agreement in the store, which it does not
// follow.
func openShard(t *testing.T, client store.Client, name string) (*shard.Shard, *store.Term, func()) {
	t.Helper()
	n := newStoreNode(t, client, name)
	term, release, err := store.Claim(t.Context(), client, "fleet", store.Owner{Node: name}, n.log)
	assert.NilError(t, err)
	s, err := shard.Open(t.Context(), shard.Options{
		Store:             client,
		Term:              term,
		Agreement:         func() *operator.Agreement { return n.readAgreement(term.Context()) },
		Advisors:          func() []shard.AdvisorNode { return nil },
		JobStateRetention: n.options.JobStateRetention,
		Log:               n.log,
	})
	assert.NilError(t, err)
	go func() { _ = s.Run() }()
	return s, term, release
}

func submission(key string) caller.Request {
	return caller.Request{
		Verb:       caller.Submit,
		Host:       "jobs.example",
		Path:       "/queue/" + testJob,
		Key:        key,
		Submission: &job.Submission{Steps: []job.StepSpec{{Count: 1}}},
	}
}

func cancellation(key string) caller.Request {
	r := submission(key)
	r.Verb, r.Submission = caller.Cancel, nil
	return r
}

func query(key string) caller.Request {
	r := cancellation(key)
	r.Verb = caller.Read
	return r
}

// TestCancellationIsAnsweredByItsOwnEffect checks a cancellation that an entry repeats at the
// next owner, when the operators have withdrawn its key or its route. If its first try has
// taken effect, the caller must not be told that it was rejected. If not, the key decides,
// also if another call has cancelled the job before.
func TestCancellationIsAnsweredByItsOwnEffect(t *testing.T) {
	withoutRoute := testAgreement(2, oldKey)
	withoutRoute.Routes = nil
	for name, c := range map[string]struct {
		agreement *operator.Agreement // of the second owner
		// lost is set if the first try does not take effect.
		lost bool
		want caller.Status
	}{
		"withdrawn key": {
			agreement: testAgreement(2, newKey),
			want:      caller.OK,
		},
		"withdrawn route": {
			agreement: withoutRoute,
			want:      caller.OK,
		},
		"withdrawn key and cancelled by another call": {
			agreement: testAgreement(2, newKey),
			lost:      true,
			want:      caller.BadKey,
		},
		"withdrawn route and cancelled by another call": {
			agreement: withoutRoute,
			lost:      true,
			want:      caller.NoQueue,
		},
	} {
		t.Run(name, func(t *testing.T) {
			client := newSharedStore()
			client.putAgreement(t, testAgreement(1, oldKey))
			tried := make(chan struct{})
			first, release := startOwner(t, client, "first", func(ctx context.Context, s *shard.Shard, r caller.Request) (caller.Response, error) {
				if !c.lost {
					s.Serve(ctx, r)
				}
				close(tried)
				<-ctx.Done()
				return caller.Response{}, ctx.Err()
			})
			assert.Equal(t, first.shard.Serve(t.Context(), submission(oldKey)).Status, caller.OK)
			if c.lost {
				assert.Equal(t, first.shard.Serve(t.Context(), cancellation(oldKey)).Status, caller.OK)
			}
			n := newTestNode(t, "entry", "127.0.0.1:1")
			n.updateOwner(first.owner)
			status := make(chan caller.Status)
			go func() { status <- n.Serve(t.Context(), cancellation(oldKey)).Status }()
			<-tried
			release()
			client.putAgreement(t, c.agreement)
			second, release := startOwner(t, client, "second", func(ctx context.Context, s *shard.Shard, r caller.Request) (caller.Response, error) {
				return s.Serve(ctx, r), nil
			})
			defer release()
			n.updateOwner(second.owner)
			assert.Equal(t, <-status, c.want)
			again := n.Serve(t.Context(), cancellation(oldKey))
			assert.Assert(t, again.Status != caller.OK, "a new call is confirmed")
		})
	}
}

// TestReplacedOwnerDoesNotAnswer guards against an owner that goes on answering as such after
// it has learned of the next one: its agreement and its jobs may be out of date, although its
// lease may still be valid by its own clock.
func TestReplacedOwnerDoesNotAnswer(t *testing.T) {
	client := newSharedStore()
	client.putAgreement(t, testAgreement(1, oldKey))
	n := newStoreNode(t, client, "replaced")
	term, release := own(t, n)
	defer release()
	awaitShard(n)
	assert.Equal(t, n.Serve(t.Context(), submission(oldKey)).Status, caller.OK)
	server := peer.NewServer()
	peer.Handle(server, methodServe, func(context.Context, caller.Request) (caller.Response, error) {
		return caller.Response{Status: caller.BadKey}, nil
	})
	next := helloRequest{
		Node: "next",
		Owner: store.Owner{
			Node:    "next",
			Address: servePeer(t, server),
		},
		Token: term.Token() + 1,
	}
	hello, err := n.handleHello(t.Context(), next)
	assert.NilError(t, err)
	for name, r := range map[string]caller.Request{
		"submission":   submission(oldKey),
		"query":        query(oldKey),
		"cancellation": cancellation(oldKey),
	} {
		t.Run(name+" of a peer", func(t *testing.T) {
			response, err := n.serveAsOwner(t.Context(), r)
			assert.NilError(t, err)
			assert.Equal(t, response.Status, caller.NotOwner)
		})
		t.Run(name+" of a caller", func(t *testing.T) {
			assert.Equal(t, n.Serve(t.Context(), r).Status, caller.BadKey, "not the answer of the next owner")
		})
	}
	t.Run("hello", func(t *testing.T) {
		assert.Assert(t, !hello.Serving)
	})
}
