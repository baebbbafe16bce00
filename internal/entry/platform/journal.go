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
	// journalPrefix is the key prefix of the records, one for each request that
	// must run at most once.
	journalPrefix = "journal/"
	// journalRecordTTL is how long the store keeps a record after its last write.
	journalRecordTTL = time.Hour
	// maxJournalAnswerBytes is the size of the largest answer kept in a record.
	maxJournalAnswerBytes = 16 << 10
)

// Intent is the record of the dispatch of a request. It is written before the request
// is dispatched, and again with the answer when the request's fate is known. Begin
// and Replace set Operation and Begun.
type Intent struct {
	// Operation is a unique id of the dispatch. Begin and Replace use it to
	// recognize their own write after a lost response.
	Operation string `json:"operation"`
	Task      string `json:"task"`
	Upstream  string `json:"upstream"`
	// Incarnation is the upstream's incarnation and Epoch the fencing token of the lease
	// on the upstream, both at the time of the dispatch.
	Incarnation string        `json:"boot"`
	Epoch       int64         `json:"epoch"`
	Entry       string        `json:"entry"`
	Begun       time.Time     `json:"begun"`
	Answer      caller.Answer `json:"answer"`
}

// RecordedIntent is an intent recorded by another dispatch of the same request, with
// the store revision of its record.
type RecordedIntent struct {
	Intent
	revision int64
}

// Journal records in the store the intents of requests that must run at most
// once. Create it with NewJournal.
type Journal struct {
	store platform.Store
}

// NewJournal returns a journal that writes to the store.
func NewJournal(store platform.Store) *Journal {
	return &Journal{store: store}
}

// DispatchHandle identifies the record of a dispatch begun by Begin or Replace; End
// needs it to record the fate.
type DispatchHandle struct {
	key      string
	intent   Intent
	revision int64
}

// Begin records the intent to dispatch the team's request with the id. It returns a
// handle if there is no earlier intent or the earlier one is recorded as not run;
// otherwise it returns the intent that is recorded. After an error it is unknown
// whether the intent was recorded, and the request must not be dispatched.
func (j *Journal) Begin(ctx context.Context, team, requestID string, intent Intent) (*DispatchHandle, *RecordedIntent, error) {
	handle := newHandle(team, requestID, intent)
	earlier, err := j.begin(ctx, handle, 0)
	if err != nil || earlier == nil {
		return handle, nil, err
	}
	if earlier.Answer.Fate == caller.FateNotRun {
		return j.replace(ctx, handle, earlier)
	}
	return nil, earlier, nil
}

// Replace records the intent in place of an earlier one. The caller must have
// proof that the earlier dispatch did not run and never will. It returns a handle, or
// the intent of another dispatch that replaced the earlier one first. Errors are as
// for Begin.
func (j *Journal) Replace(ctx context.Context, team, requestID string, intent Intent, earlier *RecordedIntent) (*DispatchHandle, *RecordedIntent, error) {
	return j.replace(ctx, newHandle(team, requestID, intent), earlier)
}

func (j *Journal) replace(ctx context.Context, handle *DispatchHandle, earlier *RecordedIntent) (*DispatchHandle, *RecordedIntent, error) {
	later, err := j.begin(ctx, handle, earlier.revision)
	if err != nil || later == nil {
		return handle, nil, err
	}
	return nil, later, nil
}

func newHandle(team, requestID string, intent Intent) *DispatchHandle {
	intent.Operation = uuid.NewString()
	intent.Begun = time.Now()
	return &DispatchHandle{
		key:    journalPrefix + team + "/" + requestID,
		intent: intent,
	}
}

// begin writes the intent if the record is still at the revision (0: absent), and
// otherwise returns the intent recorded. After a failed write it reads the record
// back, since the write may have taken effect although its response was lost.
func (j *Journal) begin(ctx context.Context, handle *DispatchHandle, revision int64) (*RecordedIntent, error) {
	written, err := j.write(ctx, handle, revision)
	if err == nil {
		handle.revision = written
		return nil, nil
	}
	kv, readErr := j.store.Get(ctx, handle.key)
	if readErr != nil {
		return nil, fmt.Errorf("journal: begin %s: %w", handle.key, errors.Join(err, readErr))
	}
	recorded := RecordedIntent{revision: kv.Revision}
	if err := json.Unmarshal(kv.Value, &recorded.Intent); err != nil {
		return nil, fmt.Errorf("journal: begin %s: decode the record: %w", handle.key, err)
	}
	if recorded.Operation == handle.intent.Operation {
		handle.revision = kv.Revision
		return nil, nil
	}
	return &recorded, nil
}

// End records the request's fate. An answer over 16 KiB is omitted from the
// record. On an error the fate may not have been recorded.
func (j *Journal) End(ctx context.Context, handle *DispatchHandle, answer caller.Answer) error {
	handle.intent.Answer = answer
	if len(answer.Answer) > maxJournalAnswerBytes {
		handle.intent.Answer.Answer = nil
		handle.intent.Answer.Reason = "the answer was too large to be kept"
	}
	if _, err := j.write(ctx, handle, handle.revision); err != nil {
		return fmt.Errorf("journal: end %s: %w", handle.key, err)
	}
	return nil
}

func (j *Journal) write(ctx context.Context, handle *DispatchHandle, revision int64) (int64, error) {
	value, err := json.Marshal(handle.intent)
	if err != nil {
		return 0, err
	}
	return j.store.Write(ctx, platform.WriteRequest{
		Key:        handle.key,
		Value:      value,
		IfRevision: revision,
		TTLMillis:  journalRecordTTL.Milliseconds(),
	})
}
