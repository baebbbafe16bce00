package platform

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"slices"
	"time"
)

const (
	// keptOperations is how many operation ids a document remembers, so that
	// a writer whose answer was lost can find out whether it took effect.
	keptOperations = 32
	// updateAttempts bounds the reads and writes of one update.
	updateAttempts = 12
	// updateBackoff is the wait before the second attempt; it grows linearly.
	updateBackoff = 5 * time.Millisecond
)

// Document is a typed value of the store with the ids of the operations that
// changed it last.
type Document[T any] struct {
	Operations []string `json:"operations,omitempty"`
	Body       T        `json:"body"`
}

// Decode returns the document held by an entry.
func Decode[T any](entry Entry) (Document[T], error) {
	var document Document[T]
	if err := json.Unmarshal(entry.Value, &document); err != nil {
		return document, fmt.Errorf("platform: decode %s: %w", entry.Key, err)
	}
	return document, nil
}

// Change computes a document's new body from its old one; exists is false
// when the key is new. An error abandons the update.
type Change[T any] func(body T, exists bool) (T, error)

// Update applies the change to the document at the key by compare-and-swap,
// once, under the operation id. An answer that was lost is resolved by reading
// the document back. It returns the entry written; an error that is neither
// the change's own nor ErrConflict leaves the outcome unknown.
func Update[T any](ctx context.Context, store Store, key, operation string, change Change[T]) (Entry, error) {
	var last error
	for attempt := range updateAttempts {
		if attempt > 0 {
			if err := pause(ctx, time.Duration(attempt)*updateBackoff); err != nil {
				return Entry{}, errors.Join(last, err)
			}
		}
		entry, done, err := tryUpdate(ctx, store, key, operation, change)
		if done {
			return entry, err
		}
		last = err
	}
	return Entry{}, fmt.Errorf("platform: update %s: %w", key, last)
}

// tryUpdate reads and writes once; done is false when a further attempt may
// succeed.
func tryUpdate[T any](ctx context.Context, store Store, key, operation string, change Change[T]) (Entry, bool, error) {
	current, err := store.Get(ctx, key)
	exists := err == nil
	if err != nil && !errors.Is(err, ErrNotFound) {
		return Entry{}, ctx.Err() != nil, err
	}
	var document Document[T]
	if exists {
		if document, err = Decode[T](current); err != nil {
			return Entry{}, true, err
		}
		if slices.Contains(document.Operations, operation) {
			return current, true, nil
		}
	}
	if document.Body, err = change(document.Body, exists); err != nil {
		return current, true, err
	}
	document.Operations = append(document.Operations, operation)
	if excess := len(document.Operations) - keptOperations; excess > 0 {
		document.Operations = document.Operations[excess:]
	}
	value, err := json.Marshal(document)
	if err != nil {
		return Entry{}, true, err
	}
	revision, err := store.Write(ctx, WriteRequest{
		Key:        key,
		Value:      value,
		IfRevision: current.Revision,
	})
	if err != nil {
		return Entry{}, ctx.Err() != nil, err
	}
	written := Entry{
		Key:      key,
		Value:    value,
		Revision: revision,
	}
	return written, true, nil
}

func pause(ctx context.Context, d time.Duration) error {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-timer.C:
		return nil
	}
}
