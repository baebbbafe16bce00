package platform

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"time"

	"github.com/google/uuid"

	"github.com/citronbay/citronbay/internal/api/caller"
	"github.com/citronbay/citronbay/internal/api/platform"
)

const (
	// journalPrefix holds one record for each request that may not be repeated.
	journalPrefix = "journal/"
	// journalKept is how long the store keeps a record.
	journalKept = time.Hour
	// maxJournalAnswer is the largest answer that a record keeps, in bytes.
	maxJournalAnswer = 16 << 10
)

// Intent records that a request is about to be dispatched, and later its fate.
type Intent struct {
	// Operation tells one dispatch from another of the same request.
	Operation string        `json:"operation"`
	Task      string        `json:"task"`
	Upstream  string        `json:"upstream"`
	Entry     string        `json:"entry"`
	Answer    caller.Answer `json:"answer"`
}

// Journal keeps, in the store, the intents of requests that must run at most
// once. Create it with NewJournal.
type Journal struct {
	store platform.Store
}

// NewJournal returns a journal in the store.
func NewJournal(store platform.Store) *Journal {
	return &Journal{store: store}
}

// Handle is the claim to dispatch one request.
type Handle struct {
	key      string
	intent   Intent
	revision int64
}

// Begin records the intent to dispatch the request. It returns a handle when
// this dispatch is the only one, or the earlier intent. An error means that
// neither is known, and the request must not be dispatched.
func (j *Journal) Begin(ctx context.Context, team, request string, intent Intent) (*Handle, *Intent, error) {
	intent.Operation = uuid.NewString()
	handle := &Handle{
		key:    journalPrefix + team + "/" + request,
		intent: intent,
	}
	revision, err := j.write(ctx, handle, 0)
	if err == nil {
		handle.revision = revision
		return handle, nil, nil
	}
	entry, readErr := j.store.Get(ctx, handle.key)
	if readErr != nil {
		return nil, nil, fmt.Errorf("journal: begin %s: %w", handle.key, errors.Join(err, readErr))
	}
	var earlier Intent
	if err := json.Unmarshal(entry.Value, &earlier); err != nil {
		return nil, nil, fmt.Errorf("journal: begin %s: %w", handle.key, err)
	}
	if earlier.Operation == intent.Operation {
		// The write's answer was lost after it took effect.
		handle.revision = entry.Revision
		return handle, nil, nil
	}
	if earlier.Answer.Fate != caller.FateNotRun {
		return nil, &earlier, nil
	}
	// The earlier dispatch provably did not run, so this one may.
	revision, err = j.write(ctx, handle, entry.Revision)
	if err != nil {
		return nil, nil, fmt.Errorf("journal: begin %s again: %w", handle.key, err)
	}
	handle.revision = revision
	return handle, nil, nil
}

// End records the request's fate; an answer over 16 KiB is left out.
func (j *Journal) End(ctx context.Context, handle *Handle, answer caller.Answer) error {
	handle.intent.Answer = answer
	if len(answer.Answer) > maxJournalAnswer {
		handle.intent.Answer.Answer = nil
		handle.intent.Answer.Reason = "the answer was too large to be kept"
	}
	if _, err := j.write(ctx, handle, handle.revision); err != nil {
		return fmt.Errorf("journal: end %s: %w", handle.key, err)
	}
	return nil
}

func (j *Journal) write(ctx context.Context, handle *Handle, revision int64) (int64, error) {
	value, err := json.Marshal(handle.intent)
	if err != nil {
		return 0, err
	}
	return j.store.Write(ctx, platform.WriteRequest{
		Key:        handle.key,
		Value:      value,
		IfRevision: revision,
		TTLMillis:  journalKept.Milliseconds(),
	})
}
