package operator

import (
	"context"
	"errors"
	"net/http"
	"time"

	"github.com/citronbay/citronbay/internal/api/operator"
	apiplatform "github.com/citronbay/citronbay/internal/api/platform"
)

const (
	// withdrawRetryInterval is the interval at which an entry retries the write of
	// withdrawals that the store has not recorded.
	withdrawRetryInterval = time.Second
	// withdrawTakeoverDelay is how long an entry waits before it writes a
	// withdrawal that another entry accepted.
	withdrawTakeoverDelay = 5 * time.Second
	// withdrawWriteTimeout limits one attempt to record a withdrawal in the store.
	withdrawWriteTimeout = time.Second
)

// withdrawal is a withdrawn API key that the store has not recorded yet.
type withdrawal struct {
	team   string
	keyID  string
	record operator.Record
	// notBefore is the earliest time at which Run writes the withdrawal; zero means
	// at once.
	notBefore time.Time
}

// errAlreadyRecorded reports that the store already has the withdrawal.
var errAlreadyRecorded = errors.New("operator: withdrawal already recorded")

// withdrawKey withdraws the key in this entry and in all reachable peers first, so that
// they refuse it even if the store is unreachable, and then records the withdrawal in
// the store. If that fails, the response says that the change is not durable, and Run
// retries the write.
func (s *Server) withdrawKey(w http.ResponseWriter, r *http.Request, operatorName string) {
	team, key := r.PathValue("team"), r.PathValue("key")
	known, ok := s.registry.Team(team)
	if !ok || !hasKey(known, key) {
		writeChange(w, operator.ChangeResponse{}, newNotFoundError("key "+key+" of team "+team))
		return
	}
	s.registry.Withdraw(key)
	confirmed, unreached := s.membership.SendWithdrawals(r.Context(), []string{key})
	item := withdrawal{
		team:   team,
		keyID:  key,
		record: s.newRecord(operatorName, "withdrawKey", team, key, ""),
	}
	ctx, cancel := context.WithTimeout(context.WithoutCancel(r.Context()), withdrawWriteTimeout)
	defer cancel()
	revision, err := s.recordWithdrawal(ctx, item)
	if err != nil {
		s.mu.Lock()
		s.pending[key] = item
		s.mu.Unlock()
	}
	s.log.Info("key withdrawn", "operator", operatorName, "team", team, "key", key, "durable", err == nil, "unreached", len(unreached))
	writeJSON(w, http.StatusOK, operator.ChangeResponse{
		Change:    item.record.Change,
		Revision:  revision,
		Durable:   err == nil,
		Confirmed: append([]string{s.settings.Name}, confirmed...),
		Unreached: unreached,
		KeyID:     key,
	})
}

func hasKey(team operator.Team, id string) bool {
	for _, key := range team.Keys {
		if key.ID == id {
			return true
		}
	}
	return false
}

// recordWithdrawal marks the key as withdrawn in its team's document and returns
// the document's revision. It succeeds too if the key is already marked or no
// longer in the document.
func (s *Server) recordWithdrawal(ctx context.Context, item withdrawal) (int64, error) {
	kv, err := apiplatform.Update(ctx, s.store, operator.TeamPrefix+item.team, item.record.Change, func(team operator.Team, _ bool) (operator.Team, error) {
		for _, key := range team.Keys {
			if key.ID == item.keyID && key.Withdrawn {
				return team, errAlreadyRecorded
			}
			if key.ID == item.keyID {
				key.Withdrawn = true
				item.record.Time = nextRecordTime(team.Audit)
				return team.WithKey(key).WithAudit(item.record), nil
			}
		}
		return team, newNotFoundError("key " + item.keyID)
	})
	var requestErr *requestError
	if errors.As(err, &requestErr) || errors.Is(err, errAlreadyRecorded) {
		s.registry.Apply(kv)
		return kv.Revision, nil
	}
	if err != nil {
		return 0, err
	}
	s.registry.Apply(kv)
	return kv.Revision, nil
}

// Run writes the withdrawals that the store has not recorded, and retries each until
// it succeeds or the context ends.
func (s *Server) Run(ctx context.Context) {
	ticker := time.NewTicker(withdrawRetryInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		for _, item := range s.dueWithdrawals() {
			writeCtx, cancel := context.WithTimeout(ctx, withdrawWriteTimeout)
			_, err := s.recordWithdrawal(writeCtx, item)
			cancel()
			if err != nil {
				break
			}
		}
	}
}

// dueWithdrawals returns the withdrawals to write now: those of this entry that the
// store has not recorded, and those of other entries that it has not recorded
// within withdrawTakeoverDelay, since the entry that accepted them may have
// crashed.
func (s *Server) dueWithdrawals() []withdrawal {
	s.mu.Lock()
	defer s.mu.Unlock()
	unrecorded := s.registry.UnrecordedWithdrawals()
	items := make([]withdrawal, 0, len(unrecorded))
	now := time.Now()
	for key, team := range unrecorded {
		item, ok := s.pending[key]
		if !ok {
			// The operator's name is not known here, since entries tell one
			// another only the ids of withdrawn keys.
			item = withdrawal{
				team:      team,
				keyID:     key,
				record:    s.newRecord("another entry", "withdrawKey", team, key, ""),
				notBefore: now.Add(withdrawTakeoverDelay),
			}
			s.pending[key] = item
		}
		if now.After(item.notBefore) {
			items = append(items, item)
		}
	}
	for key := range s.pending {
		if _, ok := unrecorded[key]; !ok {
			delete(s.pending, key)
		}
	}
	return items
}
