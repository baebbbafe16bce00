package upstream

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/google/uuid"

	"github.com/citronbay/citronbay/internal/api/operator"
	"github.com/citronbay/citronbay/internal/api/platform"
	"github.com/citronbay/citronbay/internal/decide/team"
)

const (
	// unitsEvery is the interval at which units are asked for and given.
	unitsEvery = 250 * time.Millisecond
	// unitsPause gathers the wants of work that arrives together.
	unitsPause = 10 * time.Millisecond
	// termPrefix holds, a shard, the term of its owner.
	termPrefix = "term/"
)

// unitsState is what the owner knows of moving units. Wants are the units that
// waiting work could use; gives are those on their way to another shard.
type unitsState struct {
	term  int64
	wants map[string]int64
	gives map[string]*give
}

// give moves units to another shard under one operation id, until its outcome
// is known.
type give struct {
	operation string
	to        string
	count     int64
}

func newUnitsState() unitsState {
	return unitsState{
		wants: map[string]int64{},
		gives: map[string]*give{},
	}
}

// Term is the document that numbers a shard's owners.
type Term struct {
	Owner string `json:"owner"`
	Term  int64  `json:"term"`
}

// Wants returns, by team, how many more units waiting work could use.
func (s *Shard) Wants() map[string]int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	wants := make(map[string]int64, len(s.units.wants))
	for name, n := range s.units.wants {
		wants[name] = n
	}
	return wants
}

// waiting returns how many of the team's tasks wait.
func (s *Shard) waiting(name string) int64 {
	return int64(s.requests.Waiting(name) + s.tasks.Waiting(name))
}

// noteWants records which teams wait for units. The lock is held.
func (s *Shard) noteWants() {
	clear(s.units.wants)
	s.noteWantsOf(s.requests.Teams())
	s.noteWantsOf(s.tasks.Teams())
	if len(s.units.wants) > 0 {
		signal(s.unitsNow)
	}
}

func (s *Shard) noteWantsOf(teams map[string]int) {
	for name := range teams {
		if short := s.waiting(name) - s.ledger.Room(name); short > 0 {
			s.units.wants[name] = short
		}
	}
}

func (s *Shard) unitsLoop(ctx context.Context) {
	ticker := time.NewTicker(unitsEvery)
	defer ticker.Stop()
	for {
		s.moveUnits(ctx)
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		case <-s.unitsNow:
			sleep(ctx, unitsPause)
		}
	}
}

// moveUnits takes up the shard's term, claims units that work waits for, and
// gives spare ones to shards that want them.
func (s *Shard) moveUnits(ctx context.Context) {
	if !s.takeTerm(ctx) {
		return
	}
	others := s.Peers.Wants()
	var moves sync.WaitGroup
	for name, t := range s.Registry.Teams() {
		if m, due := s.moveOf(name, t, others[name]); due {
			moves.Go(func() { s.moveTeam(ctx, m) })
		}
	}
	moves.Wait()
	s.mu.Lock()
	s.applyLimits()
	s.pump()
	s.mu.Unlock()
}

// move is what is due of one team's units, as read at one moment.
type move struct {
	team   operator.Team
	name   string
	units  operator.Units
	known  bool
	term   int64
	want   int64
	limit  int64
	others map[string]int64
	given  *give
	// confirmable tells that the units fit a cap under which they do not stand.
	confirmable bool
}

// moveOf reads what is due of the team's units; due is false when nothing is.
func (s *Shard) moveOf(name string, t operator.Team, others map[string]int64) (m move, due bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	m = move{
		team:   t,
		name:   name,
		units:  s.Registry.Units(name),
		term:   s.units.term,
		want:   s.units.wants[name],
		others: others,
		given:  s.units.gives[name],
	}
	_, m.known = m.units.Held[s.Name]
	m.limit = team.Limit(m.units, s.Name, capOf(t), s.shards())
	claimable := m.want > 0 && m.units.Sum() < t.Cap
	m.confirmable = m.units.CapRevision < t.CapRevision && m.units.Sum() <= t.Cap
	due = !m.known || claimable || m.given != nil || len(others) > 0 || m.confirmable ||
		m.units.Terms[s.Name] != m.term || m.units.Held[s.Name] > m.limit
	return m, due
}

// takeTerm numbers this run of ownership in the store, once.
func (s *Shard) takeTerm(ctx context.Context) bool {
	s.mu.Lock()
	taken := s.units.term != 0
	s.mu.Unlock()
	if taken {
		return true
	}
	var term int64
	entry, err := platform.Update(ctx, s.Store, termPrefix+s.Name, s.holder, func(old Term, _ bool) (Term, error) {
		return Term{
			Owner: s.holder,
			Term:  old.Term + 1,
		}, nil
	})
	if err != nil {
		return false
	}
	document, err := platform.Decode[Term](entry)
	if err != nil {
		return false
	}
	term = document.Body.Term
	s.mu.Lock()
	defer s.mu.Unlock()
	s.units.term = term
	return true
}

// moveTeam performs the moves of one team's units that are due.
func (s *Shard) moveTeam(ctx context.Context, m move) {
	switch over := m.units.Held[s.Name] - m.limit; {
	case !m.known:
		s.claim(ctx, m, max(m.want, s.firstClaim(m.team)))
	case m.units.Terms[s.Name] != m.term:
		s.fence(ctx, m)
	case m.given != nil:
		s.give(ctx, m, m.given.to, m.given.count)
	case m.confirmable:
		s.confirm(ctx, m)
	case over > 0:
		s.give(ctx, m, "", over)
	case m.want > 0 && m.units.Sum() < m.team.Cap:
		s.claim(ctx, m, m.want)
	case len(m.others) > 0:
		s.giveSpare(ctx, m)
	}
}

// firstClaim is the part of a new team's cap that the shard asks for, so that
// it can go on when cut off.
func (s *Shard) firstClaim(t operator.Team) int64 {
	return t.Cap / int64(s.shards())
}

// shards returns how many failure domains have upstreams.
func (s *Shard) shards() int {
	domains := map[string]bool{s.Name: true}
	for _, machine := range s.Sync.Machines() {
		if machine.VM.IsUpstream() {
			domains[machine.VM.Domain] = true
		}
	}
	return len(domains)
}

func capOf(t operator.Team) team.Cap {
	return team.Cap{
		Tasks:    t.Cap,
		Revision: t.CapRevision,
	}
}

func (s *Shard) update(ctx context.Context, name, operation string, change platform.Change[operator.Units]) error {
	ctx, cancel := context.WithTimeout(ctx, s.timings.StoreTimeout)
	defer cancel()
	entry, err := platform.Update(ctx, s.Store, operator.UnitsPrefix+name, operation, change)
	if entry.Revision > 0 {
		s.Registry.Apply(entry)
	}
	return err
}

func (s *Shard) claim(ctx context.Context, m move, want int64) {
	err := s.update(ctx, m.name, uuid.NewString(), func(units operator.Units, _ bool) (operator.Units, error) {
		_, known := units.Held[s.Name]
		if !known {
			units = units.With(s.Name, 0, m.term)
		}
		next, err := team.Claim(units, s.Name, m.term, capOf(m.team), want)
		if errors.Is(err, team.ErrNothingMoves) && !known {
			return units, nil
		}
		return next, err
	})
	s.noteMove("claim", m.name, err)
}

// fence makes an earlier owner's writes for the team's units be refused.
func (s *Shard) fence(ctx context.Context, m move) {
	err := s.update(ctx, m.name, uuid.NewString(), func(units operator.Units, _ bool) (operator.Units, error) {
		if units.Terms[s.Name] > m.term {
			return units, team.ErrStaleTerm
		}
		return units.With(s.Name, units.Held[s.Name], m.term), nil
	})
	s.noteMove("fence", m.name, err)
}

// confirm lets the units stand under the cap that they fit.
func (s *Shard) confirm(ctx context.Context, m move) {
	err := s.update(ctx, m.name, uuid.NewString(), func(units operator.Units, _ bool) (operator.Units, error) {
		return team.Confirm(units, capOf(m.team))
	})
	s.noteMove("confirm", m.name, err)
}

// giveSpare gives half of what is idle here, and at least one unit, to the
// shard that wants most.
func (s *Shard) giveSpare(ctx context.Context, m move) {
	to, want := most(m.others)
	s.mu.Lock()
	spare := m.limit - s.ledger.Running(m.name)
	if s.units.wants[m.name] > 0 && s.Name < to {
		// Two shards each gather units for a job that starts at once: the one
		// of the lower name keeps them.
		spare = 0
	}
	s.mu.Unlock()
	if spare <= 0 {
		return
	}
	s.give(ctx, m, to, min(want, (spare+1)/2))
}

func most(wants map[string]int64) (shard string, want int64) {
	for name, n := range wants {
		if n > want || (n == want && name < shard) {
			shard = name
			want = n
		}
	}
	return shard, want
}

// give lowers the shard's own limit first, and then moves the units.
func (s *Shard) give(ctx context.Context, m move, to string, count int64) {
	g, ok := s.beginGive(m.name, to, count)
	if !ok {
		return
	}
	err := s.update(ctx, m.name, g.operation, func(units operator.Units, _ bool) (operator.Units, error) {
		return team.Give(units, s.Name, g.to, m.term, g.count)
	})
	known := err == nil || errors.Is(err, team.ErrNothingMoves) || errors.Is(err, team.ErrStaleTerm)
	if known {
		s.mu.Lock()
		delete(s.units.gives, m.name)
		s.ledger.SetCeiling(m.name, -1)
		s.applyLimits()
		s.mu.Unlock()
	}
	s.noteMove("give", m.name, err)
}

func (s *Shard) beginGive(name, to string, count int64) (*give, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if g, ok := s.units.gives[name]; ok {
		return g, true
	}
	held := s.Registry.Units(name).Held[s.Name]
	// Units under running tasks stay until those end.
	count = min(count, held-s.ledger.Running(name))
	if count <= 0 {
		return nil, false
	}
	g := &give{
		operation: uuid.NewString(),
		to:        to,
		count:     count,
	}
	s.units.gives[name] = g
	s.ledger.SetCeiling(name, held-count)
	return g, true
}

func (s *Shard) noteMove(step, name string, err error) {
	switch {
	case err == nil:
		s.Log.Info("units moved", "step", step, "team", name, "held", s.Registry.Units(name).Held[s.Name])
	case errors.Is(err, team.ErrNothingMoves):
	case errors.Is(err, team.ErrStaleTerm):
		s.mu.Lock()
		defer s.mu.Unlock()
		s.supersede(err.Error())
	default:
		s.Log.Warn("units did not move", "step", step, "team", name, "error", err)
	}
}
