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
	// maxOperations is the number of operation ids that a document keeps. From them
	// a writer that got no response finds out whether its write took effect.
	maxOperations = 32
	// maxUpdateAttempts limits how often an update reads and writes.
	maxUpdateAttempts = 12
	// updateBackoff is the delay before the second attempt of an update. The delay
	// increases by the same amount with each further attempt.
	updateBackoff = 5 * time.Millisecond
)

// Document is a typed value in the store (Body), with the ids of the last operations
// that changed it, the oldest first.
type Document[T any] struct {
	Operations []string `json:"operations,omitempty"`
	Body       T        `json:"body"`
}

// Decode returns the document that is the value of the key.
func Decode[T any](kv KeyValue) (Document[T], error) {
	var document Document[T]
	if err := json.Unmarshal(kv.Value, &document); err != nil {
		return document, fmt.Errorf("platform: decode %s: %w", kv.Key, err)
	}
	return document, nil
}

// Change returns the new body of a document, given its old body. If exists is false,
// the key does not exist and body is the zero value. An update may call it several
// times, once at most for each attempt. An error aborts the update.
type Change[T any] func(body T, exists bool) (T, error)

// Update applies the change to the document at the key by compare-and-swap and
// returns the key with the value written. It records the operation id in the document,
// so that the change takes effect only once: if the response to a write is lost, the
// next attempt reads the document, finds the id and returns the key with the value read,
// unless 32 other operations have changed the document meanwhile. An error of the change
// is returned with the value read. After any other error the outcome is unknown, also
// after ErrConflict: a late write of an earlier attempt may have caused the conflict.
func Update[T any](ctx context.Context, store Store, key, operation string, change Change[T]) (KeyValue, error) {
	var lastErr error
	for attempt := range maxUpdateAttempts {
		if attempt > 0 {
			if err := sleep(ctx, time.Duration(attempt)*updateBackoff); err != nil {
				return KeyValue{}, errors.Join(lastErr, err)
			}
		}
		kv, done, err := tryUpdate(ctx, store, key, operation, change)
		if done {
			return kv, err
		}
		lastErr = err
	}
	return KeyValue{}, fmt.Errorf("platform: update %s: %w", key, lastErr)
}

// tryUpdate makes one attempt to read and write the document. The bool is false if
// another attempt may succeed.
func tryUpdate[T any](ctx context.Context, store Store, key, operation string, change Change[T]) (KeyValue, bool, error) {
	current, err := store.Get(ctx, key)
	exists := err == nil
	if err != nil && !errors.Is(err, ErrNotFound) {
		return KeyValue{}, ctx.Err() != nil, err
	}
	var document Document[T]
	if exists {
		if document, err = Decode[T](current); err != nil {
			return KeyValue{}, true, err
		}
		if slices.Contains(document.Operations, operation) {
			return current, true, nil
		}
	}
	if document.Body, err = change(document.Body, exists); err != nil {
		return current, true, err
	}
	document.Operations = append(document.Operations, operation)
	if excess := len(document.Operations) - maxOperations; excess > 0 {
		document.Operations = document.Operations[excess:]
	}
	value, err := json.Marshal(document)
	if err != nil {
		return KeyValue{}, true, err
	}
	revision, err := store.Write(ctx, WriteRequest{
		Key:        key,
		Value:      value,
		IfRevision: current.Revision,
	})
	if err != nil {
		return KeyValue{}, ctx.Err() != nil, err
	}
	written := KeyValue{
		Key:      key,
		Value:    value,
		Revision: revision,
	}
	return written, true, nil
}

func sleep(ctx context.Context, duration time.Duration) error {
	timer := time.NewTimer(duration)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-timer.C:
		return nil
	}
}
