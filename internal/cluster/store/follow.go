package store

import (
	"context"
	"errors"
	"log/slog"
	"time"

	"github.com/citronbay/citronbay/internal/api/traffic"
)

const (
	// watchWait is how long one watch call waits for changes. The store charges for each call.
	watchWait = time.Second
	// watchSlack is the time beyond watchWait after which a watch call times out, as its
	// connection may no longer deliver responses.
	watchSlack = 500 * time.Millisecond
)

const (
	// minReadInterval is the least time between two reads of a whole prefix.
	minReadInterval = time.Second
	// readShare is the share of the link that reads of a whole prefix may take.
	readShare = 0.02
	// A watch returns as soon as there is a change. The pause between two watches, at most
	// maxWatchPause, collects changes, so that watches beside the changes that they return,
	// watchBytes each, take only watchShare of the link.
	watchBytes    = 500
	watchShare    = 0.01
	maxWatchPause = 250 * time.Millisecond
	// itemOverheadBytes is what the store transmits for an item beside its value.
	itemOverheadBytes = 150
)

// FollowOptions says how a copy is kept.
type FollowOptions struct {
	// Prefix is the common prefix of the keys.
	Prefix string
	// Link is the link to the store.
	Link traffic.Link
	// MaxReadInterval is the longest time between two reads of the whole prefix, which find
	// what watches miss.
	MaxReadInterval time.Duration
}

// readInterval returns the time until the next read of the whole prefix, if there are no changes
// that only a read can find.
func (o FollowOptions) readInterval(items map[string]Item) time.Duration {
	const base64Growth = 4.0 / 3
	bytes := 0.0
	for _, item := range items {
		bytes += itemOverheadBytes + base64Growth*float64(len(item.Value))
	}
	return o.Link.Interval(bytes, readShare, minReadInterval, o.MaxReadInterval)
}

// Follow maintains a copy of all items under the prefix and calls onChange with it
// after each read and each change, until the context ends. The copy has all changes that
// the store had acknowledged by asOf. onChange must not keep or modify the map. Besides
// watching, Follow reads the whole prefix again at intervals, since a watch can miss
// changes when the store loses its history, and at once when the store says that it has.
func Follow(ctx context.Context, client Client, options FollowOptions, log *slog.Logger, onChange func(items map[string]Item, asOf Instant)) {
	f := &follower{
		client:  client,
		options: options,
		prefix:  options.Prefix,
		log:     log,
	}
	for ctx.Err() == nil {
		if err := f.read(ctx); err != nil {
			f.logFailure("followReadFailed", err)
			sleep(ctx, retryDelay)
			continue
		}
		onChange(f.items, f.asOf)
		if f.failing {
			f.failing = false
			log.Info("followRegained", "prefix", f.prefix, "revision", f.revision)
		}
		f.watch(ctx, onChange)
	}
}

// follower is the state of one call of Follow.
type follower struct {
	client   Client
	options  FollowOptions
	prefix   string
	log      *slog.Logger
	items    map[string]Item
	revision int64
	// asOf is the start of the last read that the store has answered. Watches do not count:
	// they can miss changes.
	asOf    Instant
	failing bool
}

// logFailure logs the first of a series of failures; Follow logs its end.
func (f *follower) logFailure(event string, err error) {
	if f.failing || errors.Is(err, context.Canceled) {
		return
	}
	f.failing = true
	f.log.Warn(event, "prefix", f.prefix, "revision", f.revision, "error", err)
}

// read replaces the items with those of the store, unless the response has an older
// revision.
func (f *follower) read(ctx context.Context) error {
	callCtx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	asOf := Now()
	items, revision, err := f.client.Range(callCtx, f.prefix)
	if err != nil {
		return err
	}
	if revision < f.revision {
		return nil
	}
	f.items = map[string]Item{}
	for _, item := range items {
		f.items[item.Key] = item
	}
	f.revision = revision
	f.asOf = asOf
	return nil
}

// watch applies changes until the next read is due, or the store has lost its history or does
// not answer.
func (f *follower) watch(ctx context.Context, onChange func(map[string]Item, Instant)) {
	started, interval := time.Now(), f.options.readInterval(f.items)
	for ctx.Err() == nil && time.Since(started) < interval {
		callCtx, cancel := context.WithTimeout(ctx, watchWait+watchSlack)
		events, revision, err := f.client.Watch(callCtx, f.prefix, f.revision, watchWait)
		cancel()
		if err != nil {
			if !errors.Is(err, ErrCompacted) {
				f.logFailure("followWatchFailed", err)
				sleep(ctx, retryDelay)
			}
			return
		}
		f.revision = max(f.revision, revision)
		if len(events) == 0 {
			continue
		}
		for _, e := range events {
			if e.Removed {
				delete(f.items, e.Key)
				continue
			}
			f.items[e.Key] = e
		}
		onChange(f.items, f.asOf)
		sleep(ctx, f.options.Link.Interval(watchBytes, watchShare, 0, maxWatchPause))
	}
}

// sleep waits for the duration or until the context ends.
func sleep(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}
