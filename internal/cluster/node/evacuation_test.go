package node

import (
	"context"
	"encoding/json"
	"log/slog"
	"slices"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/citronbay/citronbay/internal/cluster/caller"
	"github.com/citronbay/citronbay/internal/cluster/store"
	"github.com/citronbay/citronbay/internal/decide/evacuation"
)

const (
	evacuationKeys  = "op/evacuate/"
	evacuatedWithin = 5 * time.Second
	// readWithin is the longest time until a read finds what no watch has told, and a second.
	readWithin = 1800 * time.Millisecond
)

func decodeEvacuation(item store.Item) (evacuation.Request, error) {
	var value struct{}
	return evacuation.Request{
		Domain:   strings.TrimPrefix(item.Key, evacuationKeys),
		Key:      item.Key,
		Revision: item.Revision,
	}, json.Unmarshal(item.Value, &value)
}

// forgetfulStore is a remoteStore that may forget its history: watches then fail.
type forgetfulStore struct {
	*remoteStore
	forgets bool
}

func (s *forgetfulStore) Watch(ctx context.Context, prefix string, after int64, wait time.Duration) ([]store.Item, int64, error) {
	if s.forgets {
		return nil, 0, store.ErrCompacted
	}
	return s.remoteStore.Watch(ctx, prefix, after, wait)
}

// setRequest makes the request with the value, or takes it back if the value is empty.
func (s *sharedStore) setRequest(domain, value string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.advance()
	if value == "" {
		delete(s.items, evacuationKeys+domain)
		return
	}
	s.put(store.Put{
		Key:   evacuationKeys + domain,
		Value: []byte(value),
	})
}

// evacuated returns the failure domains that the node, which owns the shard, knows as evacuated.
func evacuated(t *testing.T, n *Node) []string {
	t.Helper()
	var domains []string
	for _, line := range n.Explain(testJob) {
		if domain, ok := strings.CutPrefix(line, "failure domain "); ok {
			domains = append(domains, strings.Fields(domain)[0])
		}
	}
	slices.Sort(domains)
	return domains
}

// TestEvacuationReachesTheOwner guards against an owner that does not learn of a request, or of its end,
// in time, or from a value or an agreement that it cannot read.
func TestEvacuationReachesTheOwner(t *testing.T) {
	for name, c := range map[string]struct {
		before map[string]string // values of the requests before the takeover, by domain
		play   func(shared *sharedStore, path *forgetfulStore)
		want   []string
		wantIn string // the log
	}{
		"requests before the takeover": {
			before: map[string]string{"a": "{}", "b": "{}"},
			want:   []string{"a", "b"},
		},
		"request": {
			play: func(shared *sharedStore, _ *forgetfulStore) {
				shared.setRequest("a", "{}")
			},
			want: []string{"a"},
		},
		"history forgotten": {
			play: func(shared *sharedStore, path *forgetfulStore) {
				path.forgets = true
				shared.setRequest("a", "{}")
			},
			want: []string{"a"},
		},
		"taken back": {
			before: map[string]string{"a": "{}", "b": "{}"},
			play: func(shared *sharedStore, _ *forgetfulStore) {
				shared.setRequest("a", "")
			},
			want: []string{"b"},
		},
		"taken back and made again": {
			before: map[string]string{"a": "{}"},
			play: func(shared *sharedStore, _ *forgetfulStore) {
				shared.setRequest("a", "")
				shared.setRequest("a", "{}")
			},
			want: []string{"a"},
		},
		"made again, history forgotten": {
			before: map[string]string{"a": "{}"},
			play: func(shared *sharedStore, path *forgetfulStore) {
				path.forgets = true
				shared.setRequest("a", "")
				shared.setRequest("a", "{}")
			},
			want: []string{"a"},
		},
		"value that cannot be read": {
			before: map[string]string{"a": "\xff", "b": "{}"},
			want:   []string{"a", "b"},
			wantIn: "msg=evacuationUnreadable key=op/evacuate/a",
		},
		"agreement that cannot be read": {
			play: func(shared *sharedStore, _ *forgetfulStore) {
				shared.mu.Lock()
				shared.advance()
				shared.put(store.Put{Key: agreementKey, Value: []byte("\xff")})
				shared.mu.Unlock()
				shared.setRequest("a", "{}")
			},
			want: []string{"a"},
		},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				shared := newSharedStore()
				shared.putAgreement(t, testAgreement(1, oldKey))
				for domain, value := range c.before {
					shared.setRequest(domain, value)
				}
				path := &forgetfulStore{remoteStore: &remoteStore{
					sharedStore: shared,
					delay:       func(string, string) time.Duration { return usualDelay },
					leaseTime:   time.Hour,
				}}
				n := newStoreNode(t, path, "owner")
				var log strings.Builder
				n.log = slog.New(slog.NewTextHandler(&log, nil))
				n.options.Log = n.log
				n.options.EvacuationInForce = evacuatedWithin
				n.options.EvacuationSource = EvacuationSource{
					Prefix: evacuationKeys,
					Decode: decodeEvacuation,
				}
				_, release := own(t, n)
				awaitShard(n)
				assert.Equal(t, n.Serve(t.Context(), submission(oldKey)).Status, caller.OK)
				if c.play != nil {
					c.play(shared, path)
					time.Sleep(readWithin)
				}
				domains := evacuated(t, n)
				release()
				synctest.Wait()
				assert.DeepEqual(t, domains, c.want)
				assert.Assert(t, strings.Contains(log.String(), c.wantIn), log.String())
				assert.Assert(t, strings.Count(log.String(), "msg=evacuationUnreadable") <= 1)
			})
		})
	}
}

// TestAgreementPrefix checks that only a deployment with evacuations reads more than the agreement.
func TestAgreementPrefix(t *testing.T) {
	n := newTestNode(t, "node", "127.0.0.1:1")
	n.options.AgreementSource.Key = agreementKey
	n.options.EvacuationSource.Prefix = evacuationKeys
	assert.Equal(t, n.agreementPrefix(), agreementKey)
	n.options.EvacuationInForce = evacuatedWithin
	assert.Equal(t, n.agreementPrefix(), "op/")
}
