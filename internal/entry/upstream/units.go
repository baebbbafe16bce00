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
	// unitsInterval is the interval at which units are claimed and
	// transferred.
	unitsInterval = 250 * time.Millisecond
	// unitsBatchDelay is the delay between new demand and the change of units,
	// so that one change covers the demand of work that arrives together.
	unitsBatchDelay = 10 * time.Millisecond
	// termPrefix is the prefix of the keys of the Term documents; the name of
	// the shard follows.
	termPrefix = "term/"
)

// unitsState is what the owner knows of claims and transfers of units. term is
// zero until it has been acquired. demand is the number of units, by team,
// that waiting work could use; transfers holds, by team, the transfer whose
// outcome is not known yet.
type unitsState struct {
	term      int64
	demand    map[string]int64
	transfers map[string]*transfer
}

// transfer moves units to another shard, or frees them if to is empty. It
// keeps one operation id until its outcome is known.
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

// Term is the stored document that numbers the successive terms of ownership of a shard.
// Owner identifies the term of ownership in which Term was last incremented.
type Term struct {
	Owner string `json:"owner"`
	Term  int64  `json:"term"`
}

// UnitDemand returns, by team, how many more units the waiting work could use.
func (s *Shard) UnitDemand() map[string]int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	demand := make(map[string]int64, len(s.units.demand))
	for name, n := range s.units.demand {
		demand[name] = n
	}
	return demand
}

// waitingCount returns the number of the team's requests and tasks that wait.
func (s *Shard) waitingCount(name string) int64 {
	return int64(s.requestQueue.Waiting(name) + s.taskQueue.Waiting(name))
}

// updateDemand recomputes the demand of each team. The lock must be held.
func (s *Shard) updateDemand() {
	clear(s.units.demand)
	s.addDemand(s.requestQueue.TasksByTeam())
	s.addDemand(s.taskQueue.TasksByTeam())
	if len(s.units.demand) > 0 {
		notify(s.unitsSignal)
	}
}

func (s *Shard) addDemand(tasksByTeam map[string]int) {
	for name := range tasksByTeam {
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

// balanceUnits acquires the shard's term, claims units for waiting work, and
// transfers idle units to shards that need them.
func (s *Shard) balanceUnits(ctx context.Context) {
	if !s.acquireTerm(ctx) {
		return
	}
	otherDemand := s.Peers.UnitDemand()
	var updates sync.WaitGroup
	for name, t := range s.Registry.Teams() {
		if snapshot, due := s.snapshotUnits(name, t, otherDemand[name]); due {
			updates.Go(func() { s.balanceTeamUnits(ctx, snapshot) })
		}
	}
	updates.Wait()
	s.mu.Lock()
	s.applyLimits()
	s.placeWaiting()
	s.mu.Unlock()
}

// unitsSnapshot is the state of one team's units at one moment, from which the
// change that is due follows.
type unitsSnapshot struct {
	team  operator.Team
	name  string
	units operator.Units
	// recorded is set if the team's units list this shard.
	recorded        bool
	term            int64
	demand          int64
	limit           int64
	otherDemand     map[string]int64
	pendingTransfer *transfer
	// confirmable is set if the units fit a newer cap than the one under which
	// they are recorded.
	confirmable bool
}

// snapshotUnits reads the state of the team's units; due is false if no change
// is due.
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

// acquireTerm increments the shard's term in the store and reports whether this
// owner has its term. The term of ownership is the id of the operation, so that repeated
// calls increment the term only once. If another owner has incremented it since, this one
// is superseded.
func (s *Shard) acquireTerm(ctx context.Context) bool {
	s.mu.Lock()
	acquired := s.units.term != 0
	s.mu.Unlock()
	if acquired {
		return true
	}
	entry, err := platform.Update(ctx, s.Store, termPrefix+s.Name, s.ownership, func(old Term, _ bool) (Term, error) {
		return Term{
			Owner: s.ownership,
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
	s.mu.Lock()
	defer s.mu.Unlock()
	if document.Body.Owner != s.ownership {
		s.markSuperseded("another owner has incremented the shard's term")
		return false
	}
	s.units.term = document.Body.Term
	return true
}

// balanceTeamUnits makes the first change of one team's units that is due.
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

// initialClaim returns how many units of a new team's cap the shard claims
// without demand, so that it can run the team's work when it is cut off from
// the store.
func (s *Shard) initialClaim(t operator.Team) int64 {
	return t.Cap / int64(s.shardCount())
}

// shardCount returns the number of failure domains that have upstreams, this
// one included.
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

// updateUnits changes the team's units in the store and in the registry. The
// operation id makes the change idempotent.
func (s *Shard) updateUnits(ctx context.Context, name, operation string, change platform.Change[operator.Units]) error {
	ctx, cancel := context.WithTimeout(ctx, s.timings.StoreTimeout)
	defer cancel()
	entry, err := platform.Update(ctx, s.Store, operator.UnitsPrefix+name, operation, change)
	if entry.Revision > 0 {
		s.Registry.Apply(entry)
	}
	return err
}

// claimUnits claims up to the requested number of free units. A shard that the
// team's units do not list yet is added even if no units are free.
func (s *Shard) claimUnits(ctx context.Context, snapshot unitsSnapshot, requested int64) {
	err := s.updateUnits(ctx, snapshot.name, uuid.NewString(), func(units operator.Units, _ bool) (operator.Units, error) {
		_, known := units.Held[s.Name]
		if !known {
			units = units.With(s.Name, 0, snapshot.term)
		}
		next, err := team.Claim(units, s.Name, snapshot.term, teamCap(snapshot.team), requested)
		if errors.Is(err, team.ErrNoChange) && !known {
			return units, nil
		}
		return next, err
	})
	s.handleUnitsUpdate("claim", snapshot.name, err)
}

// fenceUnits records this owner's term in the team's units, so that writes by
// an earlier owner are rejected.
func (s *Shard) fenceUnits(ctx context.Context, snapshot unitsSnapshot) {
	err := s.updateUnits(ctx, snapshot.name, uuid.NewString(), func(units operator.Units, _ bool) (operator.Units, error) {
		if units.Terms[s.Name] > snapshot.term {
			return units, team.ErrStaleTerm
		}
		return units.With(s.Name, units.Held[s.Name], snapshot.term), nil
	})
	s.handleUnitsUpdate("fence", snapshot.name, err)
}

// confirmUnits records the units under the newer cap, which they fit.
func (s *Shard) confirmUnits(ctx context.Context, snapshot unitsSnapshot) {
	err := s.updateUnits(ctx, snapshot.name, uuid.NewString(), func(units operator.Units, _ bool) (operator.Units, error) {
		return team.Confirm(units, teamCap(snapshot.team))
	})
	s.handleUnitsUpdate("confirm", snapshot.name, err)
}

// transferIdleUnits transfers idle units to the shard with the largest demand: half
// of them, rounded up, but not more than are in demand there.
func (s *Shard) transferIdleUnits(ctx context.Context, snapshot unitsSnapshot) {
	to, demand := largestDemand(snapshot.otherDemand)
	s.mu.Lock()
	idle := snapshot.limit - s.ledger.Running(snapshot.name)
	if s.units.demand[snapshot.name] > 0 && s.Name < to {
		// If both shards collect units for a job whose tasks must start together,
		// the one whose name sorts first keeps its idle units, so that not both
		// give up what they have collected.
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

// transferUnits lowers the shard's own limit and then moves the units in the
// store, so that the shards together never exceed the cap. The lower limit stays
// until the outcome is known.
func (s *Shard) transferUnits(ctx context.Context, snapshot unitsSnapshot, to string, count int64) {
	pending, ok := s.beginTransfer(snapshot.name, to, count)
	if !ok {
		return
	}
	err := s.updateUnits(ctx, snapshot.name, pending.operation, func(units operator.Units, _ bool) (operator.Units, error) {
		return team.Transfer(units, s.Name, pending.to, snapshot.term, pending.count)
	})
	decided := err == nil || errors.Is(err, team.ErrNoChange) || errors.Is(err, team.ErrStaleTerm)
	if decided {
		s.mu.Lock()
		delete(s.units.transfers, snapshot.name)
		s.ledger.SetCeiling(snapshot.name, -1)
		s.applyLimits()
		s.mu.Unlock()
	}
	s.handleUnitsUpdate("give", snapshot.name, err)
}

// beginTransfer returns the team's transfer whose outcome is not known yet, or
// begins a new one; it returns false if there is nothing to move.
func (s *Shard) beginTransfer(name, to string, count int64) (*transfer, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if pending, ok := s.units.transfers[name]; ok {
		return pending, true
	}
	held := s.Registry.Units(name).Held[s.Name]
	// Units of running tasks are kept until those tasks end.
	count = min(count, held-s.ledger.Running(name))
	if count <= 0 {
		return nil, false
	}
	pending := &transfer{
		operation: uuid.NewString(),
		to:        to,
		count:     count,
	}
	s.units.transfers[name] = pending
	s.ledger.SetCeiling(name, held-count)
	return pending, true
}

// handleUnitsUpdate logs the outcome of a change and marks the shard as
// superseded if a newer owner has written the units.
func (s *Shard) handleUnitsUpdate(step, name string, err error) {
	switch {
	case err == nil:
		s.Log.Info("units updated", "step", step, "team", name, "held", s.Registry.Units(name).Held[s.Name])
	case errors.Is(err, team.ErrNoChange):
	case errors.Is(err, team.ErrStaleTerm):
		s.mu.Lock()
		defer s.mu.Unlock()
		s.markSuperseded(err.Error())
	default:
		s.Log.Warn("units update failed", "step", step, "team", name, "error", err)
	}
}
