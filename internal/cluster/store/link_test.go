package store_test

import (
	"context"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/citronbay/citronbay/internal/api/traffic"
	"github.com/citronbay/citronbay/internal/cluster/store"
)

// linkStore is a store behind a link of 2 Mbit/s with one key, which counts its reads and the bytes
// of its transactions. A response, or a transaction, takes as long as the link needs for it.
type linkStore struct {
	*fakeStore
	value       []byte
	reads       int
	commitBytes int
}

const linkBytesPerSecond = 250_000

func transmit(ctx context.Context, bytes int) error {
	select {
	case <-time.After(time.Duration(bytes) * time.Second / linkBytesPerSecond):
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

func (s *linkStore) Range(ctx context.Context, prefix string) ([]store.Item, int64, error) {
	s.mu.Lock()
	s.reads++
	s.mu.Unlock()
	if err := transmit(ctx, len(s.value)*4/3); err != nil {
		return nil, 0, err
	}
	return []store.Item{{
		Key:      prefix,
		Value:    s.value,
		Revision: 1,
	}}, 1, nil
}

func (s *linkStore) Watch(ctx context.Context, _ string, _ int64, wait time.Duration) ([]store.Item, int64, error) {
	select {
	case <-time.After(wait):
	case <-ctx.Done():
		return nil, 0, ctx.Err()
	}
	return nil, 1, nil
}

func (s *linkStore) Commit(ctx context.Context, txn store.Txn) (store.TxnResult, error) {
	bytes := 0
	for _, p := range txn.Puts {
		bytes += len(p.Value)
	}
	s.mu.Lock()
	s.commitBytes += bytes
	s.mu.Unlock()
	if err := transmit(ctx, bytes); err != nil {
		return store.TxnResult{}, store.ErrOutcomeUnknown
	}
	return s.fakeStore.Commit(ctx, txn)
}

// TestFollowedCopyLeavesRoomOnLink checks how often a copy is read and how old it gets: on a small
// link a large configuration cannot be read every second, and one that takes longer than a second
// has to be read at all.
func TestFollowedCopyLeavesRoomOnLink(t *testing.T) {
	const observation, maxUndated = 30 * time.Second, 1500 * time.Millisecond
	for name, c := range map[string]struct {
		link               traffic.Link
		bytes              int
		minReads, maxReads int
	}{
		"large value, small link":   {link: traffic.Link{Mbps: 2}, bytes: 300_000, minReads: 2, maxReads: 4},
		"small value, small link":   {link: traffic.Link{Mbps: 2}, bytes: 3_000, minReads: 15, maxReads: 30},
		"small value, large link":   {link: traffic.Link{Mbps: 1000}, bytes: 3_000, minReads: 15, maxReads: 30},
		"small value, unknown link": {bytes: 3_000, minReads: 15, maxReads: 30},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := &linkStore{
					fakeStore: newFakeStore(1),
					value:     make([]byte, c.bytes),
				}
				ctx, cancel := context.WithTimeout(t.Context(), observation)
				defer cancel()
				changes := 0
				var last, longest time.Duration
				start := time.Now()
				store.Follow(ctx, s, store.FollowOptions{
					Prefix:          "key",
					Link:            c.link,
					MaxReadInterval: 15 * time.Second,
					MaxUndated:      maxUndated,
				}, slog.New(slog.DiscardHandler), func(copied store.Copy) {
					changes++
					now := time.Since(start)
					if changes > 1 {
						longest = max(longest, now-last)
					}
					last = now
					assert.Equal(t, len(copied.Items["key"].Value), c.bytes)
				})
				assert.Assert(t, s.reads >= c.minReads && s.reads <= c.maxReads, "%d reads", s.reads)
				assert.Assert(t, changes > 10 && longest <= 2*maxUndated+time.Second, "%d dates, %v apart", changes, longest)
			})
		})
	}
}

// TestSnapshotIsNotRepeatedWhileTransmitted guards against sending a snapshot again because its
// transmission takes longer than that of an entry: the copies would fill the link.
func TestSnapshotIsNotRepeatedWhileTransmitted(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const records, recordBytes = 40, 3000
		s := &linkStore{
			fakeStore: newFakeStore(1),
		}
		term, release, err := store.Claim(t.Context(), s.fakeStore, "shard", store.Owner{Node: "node"}, slog.New(slog.DiscardHandler))
		assert.NilError(t, err)
		o := &testOwner{}
		o.journal, _, err = store.OpenJournal(t.Context(), &journalOnLink{linkStore: s}, term, func() []string {
			return append([]string(nil), o.records...)
		}, slog.New(slog.DiscardHandler))
		assert.NilError(t, err)
		o.journal.SetLink(traffic.Link{Mbps: 2})
		done := make(chan struct{})
		go func() {
			defer close(done)
			_ = o.journal.Run(&o.mu)
		}()
		random := rand.New(rand.NewPCG(3, 3))
		payload := make([]byte, recordBytes)
		for n := range records {
			for i := range payload {
				payload[i] = byte(random.IntN(1 << 7))
			}
			o.append(fmt.Sprint(n, string(payload)))
			o.waitDurable(t)
		}
		sent := s.commitBytes
		stored := 0
		for key, item := range s.items {
			if key != store.OwnerKey("shard") {
				stored += len(item.Value)
			}
		}
		release()
		<-done
		t.Logf("%d bytes sent, %d stored", sent, stored)
		assert.Assert(t, sent <= 4*stored, "%d bytes sent for %d stored", sent, stored)
	})
}

// journalOnLink reads an empty journal.
type journalOnLink struct {
	*linkStore
}

func (journalOnLink) Range(context.Context, string) ([]store.Item, int64, error) {
	return nil, 0, nil
}
