package node

import (
	"context"
	"encoding/json"
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
