package node

import (
	"strings"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/citronbay/citronbay/internal/cluster/caller"
	"github.com/citronbay/citronbay/internal/cluster/shard"
	"github.com/citronbay/citronbay/internal/cluster/store"
)

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

// TestNextOwnerDoesNotGoBack guards against a new owner that serves by the agreement that it
// read when it claimed ownership, after the owner before it has answered callers by a newer
// one while the journal was read.
func TestNextOwnerDoesNotGoBack(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		shared := newSharedStore()
		shared.putAgreement(t, testAgreement(1, oldKey))
		silentRenewals := &remoteStore{
			sharedStore: shared,
			delay: func(operation, _ string) time.Duration {
				if operation == "renew" {
					return noAnswer
				}
				return usualDelay
			},
			leaseTime: time.Hour,
		}
		earlier, _, release := openShard(t, silentRenewals, "earlier")
		defer release()
		shared.mu.Lock()
		lease := shared.items[store.OwnerKey("fleet")].Lease
		shared.mu.Unlock()
		assert.NilError(t, shared.EndLease(t.Context(), lease))
		n := newStoreNode(t, &remoteStore{
			sharedStore: shared,
			delay: func(operation, key string) time.Duration {
				if strings.HasPrefix(key, "citronbay/") && operation == "range" {
					return time.Second // the journal
				}
				return usualDelay
			},
			leaseTime: time.Hour,
		}, "next")
		_, releaseNext := own(t, n)
		defer releaseNext()
		time.Sleep(4 * usualDelay)
		shared.putAgreement(t, testAgreement(2, newKey))
		earlier.SetAgreement(shard.DatedAgreement{
			Agreement: testAgreement(2, newKey),
			AsOf:      store.Now(),
		})
		assert.Equal(t, earlier.Serve(t.Context(), submission(oldKey)).Status, caller.BadKey)
		awaitShard(n)
		assert.Equal(t, n.Serve(t.Context(), submission(oldKey)).Status, caller.BadKey)
	})
}
