package store

import (
	"context"
	"errors"
	"log/slog"
	"time"
)

const (
	// watchWait is how long one call waits for changes; each call is charged, and
	// each return is followed by a whole read.
	watchWait = time.Second
	// watchSlack is what a watch may take beyond its wait before its connection
	// counts as silent.
	watchSlack = 500 * time.Millisecond
)

// Follow keeps a copy of all items under the prefix and calls changed with it
// after each change, until the context ends. Besides watching it reads the whole
// prefix once a watch has waited in vain, since a watch can miss changes while
// the store loses its history.
func Follow(ctx context.Context, client Client, prefix string, log *slog.Logger, onChange func(map[string]Item)) {
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
		onChange(f.items)
		if f.failing {
			f.failing = false
			log.Info("followRegained", "prefix", prefix, "revision", f.revision)
		}
		f.watch(ctx, onChange)
	}
}

type follower struct {
	client   Client
	prefix   string
	log      *slog.Logger
	items    map[string]Item
	revision int64
	failing  bool
}

func (f *follower) logFailure(event string, err error) {
	if f.failing || errors.Is(err, context.Canceled) {
		return
	}
	f.failing = true
	f.log.Warn(event, "prefix", f.prefix, "revision", f.revision, "error", err)
}

func (f *follower) read(ctx context.Context) error {
	call, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	items, revision, err := f.client.Range(call, f.prefix)
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
	return nil
}

// watch takes changes until a wait passes without any, or a call fails.
func (f *follower) watch(ctx context.Context, onChange func(map[string]Item)) {
	started := time.Now()
	for ctx.Err() == nil && time.Since(started) < watchWait {
		call, cancel := context.WithTimeout(ctx, watchWait+watchSlack)
		events, revision, err := f.client.Watch(call, f.prefix, f.revision, watchWait)
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
		onChange(f.items)
	}
}

func sleep(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}
