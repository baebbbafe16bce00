package store

import (
	"context"
	"errors"
	"log/slog"
	"maps"
	"math"
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
	// maxReadTime is for how long a read of a prefix that has to be known to be new may fill the
	// link; maxReadTimeout bounds the time of a read that is repeated because it takes too long.
	maxReadTime    = 100 * time.Millisecond
	maxReadTimeout = 8 * time.Second
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
	// MaxUndated is the age that the copy may reach between two reads; zero means any. If reads
	// that often would take too much of the link, answered watches date the copy too.
	MaxUndated time.Duration
	// Initial is a copy to begin with, or nil.
	Initial *Copy
}

// Copy holds all items under a prefix. It is not changed once it is made.
type Copy struct {
	Items map[string]Item
	// Revision is the revision from which to watch.
	Revision int64
	// AsOf is a time at which the store had acknowledged no change that the copy lacks.
	AsOf Instant
}

// ReadCopy reads all items under the prefix.
func ReadCopy(ctx context.Context, client Client, prefix string) (Copy, error) {
	asOf := Now()
	items, revision, err := client.Range(ctx, prefix)
	if err != nil {
		return Copy{}, err
	}
	c := Copy{
		Items:    make(map[string]Item, len(items)),
		Revision: revision,
		AsOf:     asOf,
	}
	for _, item := range items {
		c.Items[item.Key] = item
	}
	return c, nil
}

// Refresh returns the copy with the changes since it was made. It costs a call without a wait
// instead of a read of all items, and fails if the store no longer has the changes.
func (c Copy) Refresh(ctx context.Context, client Client, prefix string) (Copy, error) {
	asOf := Now()
	events, revision, err := client.Watch(ctx, prefix, c.Revision, 0)
	if err != nil {
		return Copy{}, err
	}
	return c.withEvents(events, revision, asOf), nil
}

// withEvents returns the copy with the events, up to the revision.
func (c Copy) withEvents(events []Item, revision int64, asOf Instant) Copy {
	next := Copy{
		Items:    c.Items,
		Revision: max(c.Revision, revision),
		AsOf:     asOf,
	}
	if len(events) == 0 {
		return next
	}
	next.Items = maps.Clone(c.Items)
	for _, e := range events {
		if e.Removed {
			delete(next.Items, e.Key)
			continue
		}
		next.Items[e.Key] = e
	}
	return next
}

// bytes returns about what the store transmits for a read of all items.
func (c Copy) bytes() float64 {
	const base64Growth = 4.0 / 3
	bytes := 0.0
	for _, item := range c.Items {
		bytes += itemOverheadBytes + base64Growth*float64(len(item.Value))
	}
	return bytes
}

// IsLargeFor reports whether a read of all items would fill the link for longer than
// maxReadTime.
func (c Copy) IsLargeFor(link traffic.Link) bool {
	return link.Interval(c.bytes(), 1, 0, math.MaxInt64) > maxReadTime
}

// Follow maintains a copy of all items under the prefix and calls onChange with it
// after each read and each change, until the context ends. Besides watching, Follow reads the
// whole prefix again at intervals, since a watch can miss changes when the store loses its
// history, and at once when the store says that it has.
func Follow(ctx context.Context, client Client, options FollowOptions, log *slog.Logger, onChange func(Copy)) {
	f := &follower{
		client:  client,
		options: options,
		log:     log,
		timeout: callTimeout,
	}
	if options.Link.IsSmall() {
		f.timeout = maxReadTimeout
	}
	if options.Initial != nil {
		f.copy = *options.Initial
		onChange(f.copy)
		f.watch(ctx, onChange)
	}
	for ctx.Err() == nil {
		if err := f.read(ctx); err != nil {
			f.logFailure("followReadFailed", err)
			sleep(ctx, retryDelay)
			continue
		}
		onChange(f.copy)
		if f.failing {
			f.failing = false
			log.Info("followRegained", "prefix", options.Prefix, "revision", f.copy.Revision)
		}
		f.watch(ctx, onChange)
	}
}

// follower is the state of one call of Follow.
type follower struct {
	client  Client
	options FollowOptions
	log     *slog.Logger
	copy    Copy
	failing bool
	// timeout bounds the next read. It grows while reads fail, since all items may take longer than
	// callTimeout; the client gives up reads that make no progress.
	timeout time.Duration
}

// logFailure logs the first of a series of failures; Follow logs its end.
func (f *follower) logFailure(event string, err error) {
	if f.failing || errors.Is(err, context.Canceled) {
		return
	}
	f.failing = true
	f.log.Warn(event, "prefix", f.options.Prefix, "revision", f.copy.Revision, "error", err)
}

// read replaces the copy by the items in the store, unless the response has an older
// revision.
func (f *follower) read(ctx context.Context) error {
	callCtx, cancel := context.WithTimeout(ctx, f.timeout)
	defer cancel()
	c, err := ReadCopy(callCtx, f.client, f.options.Prefix)
	if err != nil {
		f.timeout = min(2*f.timeout, maxReadTimeout)
		return err
	}
	if c.Revision >= f.copy.Revision {
		f.copy = c
	}
	return nil
}

// watch applies changes until the next read is due, or the store has lost its history or does
// not answer.
func (f *follower) watch(ctx context.Context, onChange func(Copy)) {
	started, o := time.Now(), f.options
	interval := o.Link.Interval(f.copy.bytes(), readShare, minReadInterval, o.MaxReadInterval)
	datedByWatches := false
	if o.MaxUndated > 0 && interval > o.MaxUndated {
		datedByWatches = f.copy.IsLargeFor(o.Link)
		interval = max(minReadInterval, o.MaxUndated)
		if datedByWatches {
			interval = o.MaxReadInterval
		}
	}
	for ctx.Err() == nil && time.Since(started) < interval {
		callCtx, cancel := context.WithTimeout(ctx, watchWait+watchSlack)
		asOf := Now()
		events, revision, err := f.client.Watch(callCtx, f.options.Prefix, f.copy.Revision, watchWait)
		cancel()
		if err != nil {
			if !errors.Is(err, ErrCompacted) {
				f.logFailure("followWatchFailed", err)
				sleep(ctx, retryDelay)
			}
			return
		}
		if !datedByWatches {
			asOf = f.copy.AsOf
		}
		f.copy = f.copy.withEvents(events, revision, asOf)
		if len(events) > 0 || datedByWatches {
			onChange(f.copy)
		}
		if len(events) > 0 {
			sleep(ctx, f.options.Link.Interval(watchBytes, watchShare, 0, maxWatchPause))
		}
	}
}

// sleep waits for the duration or until the context ends.
func sleep(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}
