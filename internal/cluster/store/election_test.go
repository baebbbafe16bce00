package store_test

import (
	"context"
	"log/slog"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/citronbay/citronbay/internal/cluster/store"
)

// absentStore grants leases. While away is set, it refuses renewals, or leaves them without an answer if
// silent is set too.
type absentStore struct {
	store.Client
	away, silent   atomic.Bool
	inFlight, most atomic.Int32
	renewals       atomic.Int32
}

func (*absentStore) GrantLease(_ context.Context, ttl time.Duration) (int64, time.Duration, error) {
	return 1, ttl, nil
}

func (*absentStore) Commit(context.Context, store.Txn) (store.TxnResult, error) {
	return store.TxnResult{Applied: true, Revision: 1}, nil
}

func (*absentStore) EndLease(context.Context, int64) error { return nil }

func (s *absentStore) RenewLease(ctx context.Context, _ int64) error {
	s.most.Store(max(s.most.Load(), s.inFlight.Add(1)))
	defer s.inFlight.Add(-1)
	s.renewals.Add(1)
	switch {
	case s.away.Load() && s.silent.Load():
		<-ctx.Done()
		return store.ErrOutcomeUnknown
	case s.away.Load():
		return store.ErrNotApplied
	}
	return nil
}

// TestLeaseIsRegainedSoon guards against work that waits for the next renewal after the store has come back,
// and against renewals that take all connections while it does not answer, or are sent more often while it
// does.
func TestLeaseIsRegainedSoon(t *testing.T) {
	for name, silent := range map[string]bool{
		"refused":   false,
		"no answer": true,
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				client := &absentStore{}
				client.silent.Store(silent)
				_, release, err := store.Claim(t.Context(), client, "fleet", store.Owner{}, slog.New(slog.DiscardHandler))
				assert.NilError(t, err)
				defer release()
				time.Sleep(3 * time.Second)
				assert.Assert(t, client.renewals.Load() <= 11, "%d renewals", client.renewals.Load())
				client.away.Store(true)
				time.Sleep(4210 * time.Millisecond)
				client.renewals.Store(0)
				client.away.Store(false)
				wait := 110 * time.Millisecond
				if silent {
					wait = 360 * time.Millisecond // until a renewal without an answer has timed out
				}
				time.Sleep(wait)
				assert.Assert(t, client.renewals.Load() > 0)
				assert.Assert(t, client.most.Load() <= 4, "%d renewals at once", client.most.Load())
			})
		})
	}
}
