package store

import (
	"context"
	"errors"
	"log/slog"
	"time"
)

const (
	// watchWait is how long one watch call waits for changes. The store charges for
	// each call, and a call without changes is followed by a read of the whole prefix,
	// so a shorter wait costs more.
	watchWait = time.Second
	// watchSlack is the time beyond watchWait after which a watch call times out, as its
	// connection may no longer deliver responses.
	watchSlack = 500 * time.Millisecond
)

// Follow maintains a copy of all items under the prefix and calls onChange with it
// after each read and each change, until the context ends. The copy has all changes that
// the store had acknowledged by asOf. onChange must not keep or modify the map. Besides
// watching, Follow reads the whole prefix again when a watch call returns no changes or
// fails, and once watchWait has passed, since a watch can miss changes when the store loses
// its history.
func Follow(ctx context.Context, client Client, prefix string, log *slog.Logger, onChange func(items map[string]Item, asOf Instant)) {
	f := &follower{
		client: client,
		prefix: prefix,
		log:    log,
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
			log.Info("followRegained", "prefix", prefix, "revision", f.revision)
		}
		f.watch(ctx, onChange)
	}
}

// follower is the state of one call of Follow.
type follower struct {
	client   Client
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

// watch applies changes until a call returns none or fails, or watchWait has passed.
func (f *follower) watch(ctx context.Context, onChange func(map[string]Item, Instant)) {
	started := time.Now()
	for ctx.Err() == nil && time.Since(started) < watchWait {
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
		if len(events) == 0 {
			return
		}
		for _, e := range events {
			if e.Removed {
				delete(f.items, e.Key)
				continue
			}
			f.items[e.Key] = e
		}
		f.revision = max(f.revision, revision)
		onChange(f.items, f.asOf)
	}
}

// sleep waits for the duration or until the context ends.
func sleep(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}
