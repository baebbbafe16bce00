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
	Operation string `json:"operation"`
	Task      string `json:"task"`
	Upstream  string `json:"upstream"`
	// Boot and Epoch name the upstream's run and the lease of the dispatch.
	Boot   string        `json:"boot"`
	Epoch  int64         `json:"epoch"`
	Entry  string        `json:"entry"`
	Begun  time.Time     `json:"begun"`
	Answer caller.Answer `json:"answer"`
}

// Earlier is an intent that another dispatch has recorded.
type Earlier struct {
	Intent
	revision int64
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
func (j *Journal) Begin(ctx context.Context, team, request string, intent Intent) (*Handle, *Earlier, error) {
	handle := newHandle(team, request, intent)
	earlier, err := j.begin(ctx, handle, 0)
	if err != nil || earlier == nil {
		return handle, nil, err
	}
	if earlier.Answer.Fate == caller.FateNotRun {
		return j.replace(ctx, handle, earlier)
	}
	return nil, earlier, nil
}

// Replace records the intent in place of an earlier one, whose dispatch must
// provably not have run.
func (j *Journal) Replace(ctx context.Context, team, request string, intent Intent, earlier *Earlier) (*Handle, *Earlier, error) {
	return j.replace(ctx, newHandle(team, request, intent), earlier)
}

func (j *Journal) replace(ctx context.Context, handle *Handle, earlier *Earlier) (*Handle, *Earlier, error) {
	later, err := j.begin(ctx, handle, earlier.revision)
	if err != nil || later == nil {
		return handle, nil, err
	}
	return nil, later, nil
}

func newHandle(team, request string, intent Intent) *Handle {
	intent.Operation = uuid.NewString()
	intent.Begun = time.Now()
	return &Handle{
		key:    journalPrefix + team + "/" + request,
		intent: intent,
	}
}

// begin writes the intent at the revision, or returns the one that stands
// there; a write whose answer was lost is read back.
func (j *Journal) begin(ctx context.Context, handle *Handle, revision int64) (*Earlier, error) {
	written, err := j.write(ctx, handle, revision)
	if err == nil {
		handle.revision = written
		return nil, nil
	}
	entry, readErr := j.store.Get(ctx, handle.key)
	if readErr != nil {
		return nil, fmt.Errorf("journal: begin %s: %w", handle.key, errors.Join(err, readErr))
	}
	earlier := Earlier{revision: entry.Revision}
	if err := json.Unmarshal(entry.Value, &earlier.Intent); err != nil {
		return nil, fmt.Errorf("journal: begin %s: %w", handle.key, err)
	}
	if earlier.Operation == handle.intent.Operation {
		handle.revision = entry.Revision
		return nil, nil
	}
	return &earlier, nil
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
