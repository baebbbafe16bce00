package node

import (
	"cmp"
	"context"
	"encoding/json"
	"maps"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
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
	n.options.ChangeInForce = maxAgreementAge
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
		Agreement:         func() shard.DatedAgreement { return n.awaitAgreement(term.Context()) },
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

// remoteStore is a node's path to a shared store. It delays calls as the function says, and
// the answers of watches as well.
type remoteStore struct {
	*sharedStore
	// delay returns how long a call for the key or prefix takes, or a negative time if it
	// gets no answer.
	delay func(operation, key string) time.Duration
	// leaseTime is the time of a new lease.
	leaseTime time.Duration
}

const (
	noAnswer = -1
	// usualDelay is a round trip to the store from another region.
	usualDelay = 50 * time.Millisecond
)

func (s *remoteStore) wait(ctx context.Context, operation, key string) error {
	var answered <-chan time.Time
	if d := s.delay(operation, key); d >= 0 {
		answered = time.After(d)
	}
	select {
	case <-answered:
		return nil
	case <-ctx.Done():
		return store.ErrOutcomeUnknown
	}
}

func (s *remoteStore) Get(ctx context.Context, key string) (store.Item, error) {
	if err := s.wait(ctx, "get", key); err != nil {
		return store.Item{}, err
	}
	return s.sharedStore.Get(ctx, key)
}

func (s *remoteStore) Range(ctx context.Context, prefix string) ([]store.Item, int64, error) {
	if err := s.wait(ctx, "range", prefix); err != nil {
		return nil, 0, err
	}
	return s.sharedStore.Range(ctx, prefix)
}

func (s *remoteStore) Watch(ctx context.Context, prefix string, after int64, wait time.Duration) ([]store.Item, int64, error) {
	items, revision, err := s.sharedStore.Watch(ctx, prefix, after, wait)
	if err == nil {
		err = s.wait(ctx, "watch", prefix)
	}
	return items, revision, err
}

func (s *remoteStore) Commit(ctx context.Context, txn store.Txn) (store.TxnResult, error) {
	if err := s.wait(ctx, "commit", ""); err != nil {
		return store.TxnResult{}, err
	}
	return s.sharedStore.Commit(ctx, txn)
}

func (s *remoteStore) GrantLease(ctx context.Context, ttl time.Duration) (int64, time.Duration, error) {
	lease, _, err := s.sharedStore.GrantLease(ctx, ttl)
	return lease, s.leaseTime, err
}

func (s *remoteStore) RenewLease(ctx context.Context, lease int64) error {
	if err := s.wait(ctx, "renew", ""); err != nil {
		return err
	}
	return s.sharedStore.RenewLease(ctx, lease)
}

// maxAgreementAge is the users' bound of the time from the acknowledgement of an agreement
// until no request is handled by the one before.
const maxAgreementAge = 2500 * time.Millisecond

// TestAgreementIsKnownInTime guards against an owner that serves by an agreement which the
// operators replaced more than maxAgreementAge ago, while the store answers its other calls.
func TestAgreementIsKnownInTime(t *testing.T) {
	for name, c := range map[string]struct {
		// delay is for calls about the agreement once the owner has read the first one,
		// and journalDelay for reading the journal.
		delay        func(operation string) time.Duration
		journalDelay time.Duration
		wait         time.Duration
	}{
		"watch without an answer": {
			delay: func(operation string) time.Duration {
				if operation == "watch" {
					return noAnswer
				}
				return usualDelay
			},
			journalDelay: usualDelay,
			wait:         maxAgreementAge,
		},
		"nothing read": {
			delay:        func(string) time.Duration { return noAnswer },
			journalDelay: usualDelay,
			wait:         10 * time.Second,
		},
		"journal read for long": {
			delay:        func(string) time.Duration { return usualDelay },
			journalDelay: maxAgreementAge + time.Second,
			wait:         maxAgreementAge + time.Second/2,
		},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				shared := newSharedStore()
				shared.putAgreement(t, testAgreement(1, oldKey))
				var read atomic.Bool
				n := newStoreNode(t, &remoteStore{
					sharedStore: shared,
					delay: func(operation, key string) time.Duration {
						switch {
						case key == agreementKey && read.Load():
							return c.delay(operation)
						case strings.HasPrefix(key, "citronbay/") && operation == "range":
							return c.journalDelay
						}
						return usualDelay
					},
					leaseTime: time.Hour,
				}, "owner")
				_, release := own(t, n)
				defer release()
				time.Sleep(4 * usualDelay)
				read.Store(true)
				shared.putAgreement(t, testAgreement(2, newKey))
				time.Sleep(c.wait)
				assert.Assert(t, n.Serve(t.Context(), submission(oldKey)).Status != caller.OK,
					"accepted by the agreement before")
			})
		})
	}
}

// TestOwnerThatWakesReadsAgreement guards against an owner that was frozen, or cut off, until
// its lease was over and that answers by the agreement of before, once it can read the present
// one. It cannot know whether the operators have changed it. While it cannot reach the store,
// and so nobody may have changed it, it confirms what is durable.
func TestOwnerThatWakesReadsAgreement(t *testing.T) {
	for name, c := range map[string]struct {
		request caller.Request
		outage  bool
		wrong   caller.Status
	}{
		"copy with a withdrawn key": {
			request: submission(oldKey),
			wrong:   caller.OK,
		},
		"query with a withdrawn key": {
			request: query(oldKey),
			wrong:   caller.OK,
		},
		"cancellation with a withdrawn key": {
			request: cancellation(oldKey),
			wrong:   caller.OK,
		},
		"submission with an added key": {
			request: submission(newKey),
			wrong:   caller.BadKey,
		},
		"copy in an outage of the store": {
			request: submission(oldKey),
			outage:  true,
			wrong:   caller.Refused,
		},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				shared := newSharedStore()
				shared.putAgreement(t, testAgreement(1, oldKey))
				s, _, releaseFirst := openShard(t, shared, "first")
				assert.Equal(t, s.Serve(t.Context(), submission(oldKey)).Status, caller.OK)
				assert.Equal(t, s.Serve(t.Context(), cancellation(oldKey)).Status, caller.OK)
				releaseFirst()
				var silent atomic.Bool
				n := newStoreNode(t, &remoteStore{
					sharedStore: shared,
					delay: func(operation, _ string) time.Duration {
						if silent.Load() || operation == "renew" {
							return noAnswer
						}
						return usualDelay
					},
				}, "owner")
				_, release := own(t, n)
				defer release()
				awaitShard(n)
				time.Sleep(4 * usualDelay)
				silent.Store(true)
				if !c.outage {
					shared.putAgreement(t, testAgreement(2, newKey))
				}
				time.Sleep(2 * maxAgreementAge)
				silent.Store(c.outage)
				start := time.Now()
				assert.Assert(t, n.Serve(t.Context(), c.request).Status != c.wrong)
				assert.Assert(t, !c.outage || time.Since(start) < time.Second/2)
			})
		})
	}
}

// TestOwnerReplacedDuringRecoveryDoesNotServe guards against a node that opens the shard after
// it has learned of the next owner, and then takes itself for the owner.
func TestOwnerReplacedDuringRecoveryDoesNotServe(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		shared := newSharedStore()
		shared.putAgreement(t, testAgreement(1, oldKey))
		n := newStoreNode(t, &remoteStore{
			sharedStore: shared,
			delay: func(operation, _ string) time.Duration {
				if operation == "renew" {
					return noAnswer
				}
				return usualDelay
			},
			leaseTime: time.Hour,
		}, "replaced")
		term, release := own(t, n)
		defer release()
		time.Sleep(usualDelay / 2)
		next := helloRequest{
			Node:  "next",
			Owner: store.Owner{Node: "next"},
			Token: term.Token() + 1,
		}
		_, err := n.handleHello(t.Context(), next)
		assert.NilError(t, err)
		time.Sleep(4 * usualDelay)
		owner, _ := n.currentOwner()
		assert.Equal(t, owner.Node, "next")
		response, err := n.serveAsOwner(t.Context(), submission(oldKey))
		assert.NilError(t, err)
		assert.Equal(t, response.Status, caller.NotOwner)
	})
}

// TestEarlierOwnerDoesNotStandForPresentOne guards against a dead owner that counts as live,
// so that no node replaces it, because an earlier owner still believes that it serves.
func TestEarlierOwnerDoesNotStandForPresentOne(t *testing.T) {
	const earlierToken, token = 7, 9
	for name, c := range map[string]struct {
		answerToken int64
		live        bool
	}{
		"present owner": {answerToken: token, live: true},
		"earlier owner": {answerToken: earlierToken},
	} {
		t.Run(name, func(t *testing.T) {
			server := peer.NewServer()
			peer.Handle(server, methodHello, func(context.Context, helloRequest) (helloResponse, error) {
				return helloResponse{
					Owner:   store.Owner{Node: "answering"},
					Token:   c.answerToken,
					Serving: true,
				}, nil
			})
			n := newTestNode(t, "node", "127.0.0.1:1")
			n.updateOwner(store.Owner{
				Node:  "present",
				Token: token,
			})
			n.sendHello(t.Context(), servePeer(t, server), false)
			assert.Equal(t, n.ownerIsLive(), c.live)
		})
	}
}
