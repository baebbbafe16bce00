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
	// withdrawRetry is the interval at which withdrawals are written that the
	// store has not taken.
	withdrawRetry = time.Second
	// withdrawHelp is how long an entry waits before it writes a withdrawal that
	// another has taken.
	withdrawHelp = 5 * time.Second
	// withdrawWait is how long an answer waits for the store.
	withdrawWait = time.Second
)

// withdrawal is a withdrawn key that the store has not recorded yet.
type withdrawal struct {
	team   string
	key    string
	record operator.Record
	// after is when this entry may write it.
	after time.Time
}

// errRecorded tells that the store has the withdrawal already.
var errRecorded = errors.New("operator: the withdrawal is recorded")

// withdrawKey refuses the key here and at all peers at once, whether or not the
// store answers, and then records it in the store.
func (s *Server) withdrawKey(w http.ResponseWriter, r *http.Request, name string) {
	team, key := r.PathValue("team"), r.PathValue("key")
	known, ok := s.registry.Team(team)
	if !ok || !hasKey(known, key) {
		answerChange(w, operator.ChangeResponse{}, missing("key "+key+" of team "+team))
		return
	}
	s.registry.Withdraw(key)
	confirmed, unreached := s.membership.Withdraw(r.Context(), []string{key})
	item := withdrawal{
		team:   team,
		key:    key,
		record: s.record(name, "withdrawKey", team, key, ""),
	}
	ctx, cancel := context.WithTimeout(context.WithoutCancel(r.Context()), withdrawWait)
	defer cancel()
	revision, err := s.recordWithdrawal(ctx, item)
	if err != nil {
		s.mu.Lock()
		s.pending[key] = item
		s.mu.Unlock()
	}
	s.log.Info("key withdrawn", "operator", name, "team", team, "key", key, "durable", err == nil, "unreached", len(unreached))
	answer(w, http.StatusOK, operator.ChangeResponse{
		Change:    item.record.Change,
		Revision:  revision,
		Durable:   err == nil,
		InForce:   append([]string{s.settings.Name}, confirmed...),
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

// recordWithdrawal marks the key in its team's document and returns the
// revision.
func (s *Server) recordWithdrawal(ctx context.Context, item withdrawal) (int64, error) {
	entry, err := apiplatform.Update(ctx, s.store, operator.TeamPrefix+item.team, item.record.Change, func(team operator.Team, _ bool) (operator.Team, error) {
		for _, key := range team.Keys {
			if key.ID == item.key && key.Withdrawn {
				return team, errRecorded
			}
			if key.ID == item.key {
				key.Withdrawn = true
				item.record.Time = after(team.Audit)
				return team.WithKey(key).WithAudit(item.record), nil
			}
		}
		return team, missing("key " + item.key)
	})
	var refused *invalid
	if errors.As(err, &refused) || errors.Is(err, errRecorded) {
		s.registry.Apply(entry)
		return entry.Revision, nil
	}
	if err != nil {
		return 0, err
	}
	s.registry.Apply(entry)
	return entry.Revision, nil
}

// Run writes the withdrawals that the store has not taken, until the context
// ends.
func (s *Server) Run(ctx context.Context) {
	ticker := time.NewTicker(withdrawRetry)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		for _, item := range s.unrecorded() {
			writeCtx, cancel := context.WithTimeout(ctx, withdrawWait)
			_, err := s.recordWithdrawal(writeCtx, item)
			cancel()
			if err != nil {
				break
			}
		}
	}
}

// unrecorded returns the withdrawals of this entry that the store has not
// taken, and those of others that it still does not have a while later, since
// the entry that took them may have died.
func (s *Server) unrecorded() []withdrawal {
	s.mu.Lock()
	defer s.mu.Unlock()
	missing := s.registry.Unrecorded()
	items := make([]withdrawal, 0, len(missing))
	now := time.Now()
	for key, team := range missing {
		item, ok := s.pending[key]
		if !ok {
			item = withdrawal{
				team:   team,
				key:    key,
				record: s.record("another entry", "withdrawKey", team, key, ""),
				after:  now.Add(withdrawHelp),
			}
			s.pending[key] = item
		}
		if now.After(item.after) {
			items = append(items, item)
		}
	}
	for key := range s.pending {
		if _, ok := missing[key]; !ok {
			delete(s.pending, key)
		}
	}
	return items
}
