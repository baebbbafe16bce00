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
	unitsInterval = 250 * time.Millisecond
	// unitsPause gathers the wants of work that arrives together.
	unitsBatchDelay = 10 * time.Millisecond
	// termPrefix holds, a shard, the term of its owner.
	termPrefix = "term/"
)

// unitsState is what the owner knows of moving units. Wants are the units that
// waiting work could use; gives are those on their way to another shard.
type unitsState struct {
	term      int64
	demand    map[string]int64
	transfers map[string]*transfer
}

// give moves units to another shard under one operation id, until its outcome
// is known.
type transfer struct {
	operation string
	to        string
	count     int64
}

func newUnitsState() unitsState {
	return unitsState{
		demand:    map[string]int64{},
		transfers: map[string]*transfer{},
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
	demand := make(map[string]int64, len(s.units.demand))
	for name, n := range s.units.demand {
		demand[name] = n
	}
	return demand
}

// waiting returns how many of the team's tasks wait.
func (s *Shard) waitingCount(name string) int64 {
	return int64(s.requestQueue.Waiting(name) + s.taskQueue.Waiting(name))
}

// noteWants records which teams wait for units. The lock is held.
func (s *Shard) updateDemand() {
	clear(s.units.demand)
	s.addDemand(s.requestQueue.Teams())
	s.addDemand(s.taskQueue.Teams())
	if len(s.units.demand) > 0 {
		notify(s.unitsSignal)
	}
}

func (s *Shard) addDemand(teams map[string]int) {
	for name := range teams {
		if missing := s.waitingCount(name) - s.ledger.Room(name); missing > 0 {
			s.units.demand[name] = missing
		}
	}
}

func (s *Shard) unitsLoop(ctx context.Context) {
	ticker := time.NewTicker(unitsInterval)
	defer ticker.Stop()
	for {
		s.balanceUnits(ctx)
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		case <-s.unitsSignal:
			sleep(ctx, unitsBatchDelay)
		}
	}
}

// moveUnits takes up the shard's term, claims units that work waits for, and
// gives spare ones to shards that want them.
func (s *Shard) balanceUnits(ctx context.Context) {
	if !s.acquireTerm(ctx) {
		return
	}
	otherDemand := s.Peers.Wants()
	var moves sync.WaitGroup
	for name, t := range s.Registry.Teams() {
		if snapshot, due := s.snapshotUnits(name, t, otherDemand[name]); due {
			moves.Go(func() { s.balanceTeamUnits(ctx, snapshot) })
		}
	}
	moves.Wait()
	s.mu.Lock()
	s.applyLimits()
	s.placeWaiting()
	s.mu.Unlock()
}

// move is what is due of one team's units, as read at one moment.
type unitsSnapshot struct {
	team            operator.Team
	name            string
	units           operator.Units
	recorded        bool
	term            int64
	demand          int64
	limit           int64
	otherDemand     map[string]int64
	pendingTransfer *transfer
	// confirmable tells that the units fit a cap under which they do not stand.
	confirmable bool
}

// moveOf reads what is due of the team's units; due is false when nothing is.
func (s *Shard) snapshotUnits(name string, t operator.Team, otherDemand map[string]int64) (snapshot unitsSnapshot, due bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	snapshot = unitsSnapshot{
		team:            t,
		name:            name,
		units:           s.Registry.Units(name),
		term:            s.units.term,
		demand:          s.units.demand[name],
		otherDemand:     otherDemand,
		pendingTransfer: s.units.transfers[name],
	}
	_, snapshot.recorded = snapshot.units.Held[s.Name]
	snapshot.limit = team.Limit(snapshot.units, s.Name, teamCap(t), s.shardCount())
	claimable := snapshot.demand > 0 && snapshot.units.Sum() < t.Cap
	snapshot.confirmable = snapshot.units.CapRevision < t.CapRevision && snapshot.units.Sum() <= t.Cap
	due = !snapshot.recorded || claimable || snapshot.pendingTransfer != nil || len(otherDemand) > 0 || snapshot.confirmable ||
		snapshot.units.Terms[s.Name] != snapshot.term || snapshot.units.Held[s.Name] > snapshot.limit
	return snapshot, due
}

// takeTerm numbers this run of ownership in the store, once.
func (s *Shard) acquireTerm(ctx context.Context) bool {
	s.mu.Lock()
	acquired := s.units.term != 0
	s.mu.Unlock()
	if acquired {
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
func (s *Shard) balanceTeamUnits(ctx context.Context, snapshot unitsSnapshot) {
	switch excess := snapshot.units.Held[s.Name] - snapshot.limit; {
	case !snapshot.recorded:
		s.claimUnits(ctx, snapshot, max(snapshot.demand, s.initialClaim(snapshot.team)))
	case snapshot.units.Terms[s.Name] != snapshot.term:
		s.fenceUnits(ctx, snapshot)
	case snapshot.pendingTransfer != nil:
		s.transferUnits(ctx, snapshot, snapshot.pendingTransfer.to, snapshot.pendingTransfer.count)
	case snapshot.confirmable:
		s.confirmUnits(ctx, snapshot)
	case excess > 0:
		s.transferUnits(ctx, snapshot, "", excess)
	case snapshot.demand > 0 && snapshot.units.Sum() < snapshot.team.Cap:
		s.claimUnits(ctx, snapshot, snapshot.demand)
	case len(snapshot.otherDemand) > 0:
		s.transferIdleUnits(ctx, snapshot)
	}
}

// firstClaim is the part of a new team's cap that the shard asks for, so that
// it can go on when cut off.
func (s *Shard) initialClaim(t operator.Team) int64 {
	return t.Cap / int64(s.shardCount())
}

// shards returns how many failure domains have upstreams.
func (s *Shard) shardCount() int {
	domains := map[string]bool{s.Name: true}
	for _, machine := range s.Sync.Machines() {
		if machine.VM.IsUpstream() {
			domains[machine.VM.Domain] = true
		}
	}
	return len(domains)
}

func teamCap(t operator.Team) team.Cap {
	return team.Cap{
		Tasks:    t.Cap,
		Revision: t.CapRevision,
	}
}

func (s *Shard) updateUnits(ctx context.Context, name, operation string, change platform.Change[operator.Units]) error {
	ctx, cancel := context.WithTimeout(ctx, s.timings.StoreTimeout)
	defer cancel()
	entry, err := platform.Update(ctx, s.Store, operator.UnitsPrefix+name, operation, change)
	if entry.Revision > 0 {
		s.Registry.Apply(entry)
	}
	return err
}

func (s *Shard) claimUnits(ctx context.Context, snapshot unitsSnapshot, requested int64) {
	err := s.updateUnits(ctx, snapshot.name, uuid.NewString(), func(units operator.Units, _ bool) (operator.Units, error) {
		_, known := units.Held[s.Name]
		if !known {
			units = units.With(s.Name, 0, snapshot.term)
		}
		next, err := team.Claim(units, s.Name, snapshot.term, teamCap(snapshot.team), requested)
		if errors.Is(err, team.ErrNothingMoves) && !known {
			return units, nil
		}
		return next, err
	})
	s.handleUnitsUpdate("claim", snapshot.name, err)
}

// fence makes an earlier owner's writes for the team's units be refused.
func (s *Shard) fenceUnits(ctx context.Context, snapshot unitsSnapshot) {
	err := s.updateUnits(ctx, snapshot.name, uuid.NewString(), func(units operator.Units, _ bool) (operator.Units, error) {
		if units.Terms[s.Name] > snapshot.term {
			return units, team.ErrStaleTerm
		}
		return units.With(s.Name, units.Held[s.Name], snapshot.term), nil
	})
	s.handleUnitsUpdate("fence", snapshot.name, err)
}

// confirm lets the units stand under the cap that they fit.
func (s *Shard) confirmUnits(ctx context.Context, snapshot unitsSnapshot) {
	err := s.updateUnits(ctx, snapshot.name, uuid.NewString(), func(units operator.Units, _ bool) (operator.Units, error) {
		return team.Confirm(units, teamCap(snapshot.team))
	})
	s.handleUnitsUpdate("confirm", snapshot.name, err)
}

// giveSpare gives half of what is idle here, and at least one unit, to the
// shard that wants most.
func (s *Shard) transferIdleUnits(ctx context.Context, snapshot unitsSnapshot) {
	to, demand := largestDemand(snapshot.otherDemand)
	s.mu.Lock()
	idle := snapshot.limit - s.ledger.Running(snapshot.name)
	if s.units.demand[snapshot.name] > 0 && s.Name < to {
		// Two shards each gather units for a job that starts at once: the one
		// of the lower name keeps them.
		idle = 0
	}
	s.mu.Unlock()
	if idle <= 0 {
		return
	}
	s.transferUnits(ctx, snapshot, to, min(demand, (idle+1)/2))
}

func largestDemand(demands map[string]int64) (shard string, demand int64) {
	for name, n := range demands {
		if n > demand || (n == demand && name < shard) {
			shard = name
			demand = n
		}
	}
	return shard, demand
}

// give lowers the shard's own limit first, and then moves the units.
func (s *Shard) transferUnits(ctx context.Context, snapshot unitsSnapshot, to string, count int64) {
	pending, ok := s.beginTransfer(snapshot.name, to, count)
	if !ok {
		return
	}
	err := s.updateUnits(ctx, snapshot.name, pending.operation, func(units operator.Units, _ bool) (operator.Units, error) {
		return team.Give(units, s.Name, pending.to, snapshot.term, pending.count)
	})
	decided := err == nil || errors.Is(err, team.ErrNothingMoves) || errors.Is(err, team.ErrStaleTerm)
	if decided {
		s.mu.Lock()
		delete(s.units.transfers, snapshot.name)
		s.ledger.SetCeiling(snapshot.name, -1)
		s.applyLimits()
		s.mu.Unlock()
	}
	s.handleUnitsUpdate("give", snapshot.name, err)
}

func (s *Shard) beginTransfer(name, to string, count int64) (*transfer, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if g, ok := s.units.transfers[name]; ok {
		return g, true
	}
	held := s.Registry.Units(name).Held[s.Name]
	// Units under running tasks stay until those end.
	count = min(count, held-s.ledger.Running(name))
	if count <= 0 {
		return nil, false
	}
	g := &transfer{
		operation: uuid.NewString(),
		to:        to,
		count:     count,
	}
	s.units.transfers[name] = g
	s.ledger.SetCeiling(name, held-count)
	return g, true
}

func (s *Shard) handleUnitsUpdate(step, name string, err error) {
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
