package admission

import "maps"

// Amounts are amounts of work, each as the time in milliseconds for which it alone would take the
// whole of what carries it out.
type Amounts struct {
	// Fleet is the time on all workers.
	Fleet float64
	// Cap is the time under the team's cap; zero if the team has none.
	Cap float64
	// Policy is the time of the calls to the policy service through all nodes that make them.
	Policy float64
	// Link is the time of the start orders on the owner's link.
	Link float64
	// Demand is the share of the fleet that those tasks ask for which could start now.
	Demand float64
}

// Plus returns the sum of a and b.
func (a Amounts) Plus(b Amounts) Amounts {
	return Amounts{
		Fleet:  a.Fleet + b.Fleet,
		Cap:    a.Cap + b.Cap,
		Policy: a.Policy + b.Policy,
		Link:   a.Link + b.Link,
		Demand: a.Demand + b.Demand,
	}
}

// Work is the waiting part of a job.
type Work struct {
	Team string
	// Priority orders the work; lower values go first.
	Priority int
	// OverRate is set if the job was submitted over its team's agreed rate. It waits behind all
	// jobs within the rates.
	OverRate bool
	// Late is set if the job can no longer meet its objective. It waits behind the others of its
	// priority.
	Late    bool
	Amounts Amounts
	// Bytes is the size of the whole job in the owner's state.
	Bytes int64
}

// Inflow is the work that is expected to arrive and go before waiting work of a priority: as much as
// was accepted lately, in milliseconds of the fleet, and the usual share for as long as work waits.
type Inflow struct {
	// Urgent is the more urgent work, and Peers that of the same priority, which goes before what
	// is late.
	Urgent, Peers float64
	// Teams is what each team has of Peers.
	Teams map[string]float64
	// UsualUrgent is the share of the fleet that the more urgent work takes beside bursts, and Usual
	// that of both.
	UsualUrgent, Usual float64
}

// Capacity is what carries work out at present.
type Capacity struct {
	// Achievable is the share of the fleet that is in use when work waits, and Used the share
	// that is in use.
	Achievable, Used float64
	// UrgentInflow is the work that is expected to arrive and go before waiting work of a
	// priority, by that priority.
	UrgentInflow map[int]Inflow
	// MaxOpenJobs and MaxOpenBytes limit the open jobs; zero means no limit.
	MaxOpenJobs  int
	MaxOpenBytes int64
	// MaxIdleMillis limits the work that waits for the owner's link, and that for the policy
	// service, while workers may be idle: as much may go before a submission, and twice as much
	// wait in all. Zero means no limit.
	MaxIdleMillis float64
}

// free returns the share of the fleet on which waiting tasks can start.
func (c Capacity) free() float64 {
	return max(0, c.Achievable-c.Used)
}

// rank is the place of work in the order in which it is carried out, but for its deadline.
type rank struct {
	priority int
	late     bool
}

// queued is the work of a team that waits, by rank.
type queued map[rank]Amounts

// before returns the work that goes before new work of the priority, as far as deadlines permit, or
// before work that has just become late.
func (q queued) before(priority int, late bool) Amounts {
	var sum Amounts
	for r, amounts := range q {
		if r.priority < priority || r.priority == priority && (late || !r.late) {
			sum = sum.Plus(amounts)
		}
	}
	return sum
}

// Load is the work that waits on a shard for the workers of one service, within the teams' rates
// and over them, and what carries it out. Create it with NewLoad.
type Load struct {
	capacity Capacity
	// weights are the teams' shares of the fleet when all is taken, by team.
	weights map[string]float64
	// within holds the work within the rates, and over that over them, by team.
	within, over map[string]queued
	openJobs     int
	openBytes    int64
}

// NewLoad returns the load of a shard without open jobs. The teams' shares of the fleet are in
// proportion to their weights, which are 1 for teams that are not listed.
func NewLoad(capacity Capacity, weights map[string]float64) *Load {
	return &Load{
		capacity: capacity,
		weights:  weights,
		within:   map[string]queued{},
		over:     map[string]queued{},
	}
}

// Demand returns the share of the fleet that waiting tasks ask for which could start now.
func (l *Load) Demand() float64 {
	return total(l.within).Demand + total(l.over).Demand
}

// TeamDemand is Demand of the team's tasks.
func (l *Load) TeamDemand(team string) float64 {
	sum := 0.0
	for _, q := range []queued{l.within[team], l.over[team]} {
		for _, amounts := range q {
			sum += amounts.Demand
		}
	}
	return sum
}

// Hold counts an open job of another service, which the owner holds too.
func (l *Load) Hold(bytes int64) {
	l.openJobs++
	l.openBytes += bytes
}

// Add adds an open job to the load.
func (l *Load) Add(w Work) {
	l.Hold(w.Bytes)
	teams := l.within
	if w.OverRate {
		teams = l.over
	}
	if teams[w.Team] == nil {
		teams[w.Team] = queued{}
	}
	at := rank{
		priority: w.Priority,
		late:     w.Late,
	}
	teams[w.Team][at] = teams[w.Team][at].Plus(w.Amounts)
}

// Share returns the team's share of the fleet among the teams that have open jobs and itself.
func (l *Load) Share(team string) float64 {
	sum := l.weight(team)
	for name := range l.within {
		if name != team {
			sum += l.weight(name)
		}
	}
	return l.weight(team) / sum
}

func (l *Load) weight(team string) float64 {
	if weight := l.weights[team]; weight > 0 {
		return weight
	}
	return 1
}

// ahead returns the work of each team that goes before a submission, which may be late.
func (l *Load) ahead(w Work) map[string]Amounts {
	teams := map[string]Amounts{}
	if !w.OverRate {
		for name, q := range l.within {
			teams[name] = q.before(w.Priority, w.Late)
		}
		return teams
	}
	for _, byTeam := range []map[string]queued{l.within, l.over} {
		for name, q := range byTeam {
			for _, amounts := range q {
				teams[name] = teams[name].Plus(amounts)
			}
		}
	}
	return teams
}

func total(byTeam map[string]queued) Amounts {
	var sum Amounts
	for _, q := range byTeam {
		for _, amounts := range q {
			sum = sum.Plus(amounts)
		}
	}
	return sum
}

// drainMillis returns the time in which the given share of the fleet carries out the teams' work.
// Of a team that its cap holds back for longer than that, only what the cap permits counts: the
// others don't wait for it.
func drainMillis(teams map[string]Amounts, share float64) float64 {
	rest := maps.Clone(teams)
	work := 0.0
	for _, amounts := range rest {
		work += amounts.Fleet
	}
	for range len(teams) {
		millis := work / share
		capped := ""
		for name, amounts := range rest {
			if amounts.Cap > millis {
				capped = name
				break
			}
		}
		if capped == "" {
			return millis
		}
		amounts := rest[capped]
		delete(rest, capped)
		work -= amounts.Fleet
		share -= amounts.Fleet / amounts.Cap
		if share <= 0 {
			return millis
		}
	}
	return work / share
}
