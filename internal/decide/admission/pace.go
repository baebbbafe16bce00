package admission

import "math"

const (
	// ratioMillis is the time in which what is known of run times loses most of its weight.
	ratioMillis = 20_000
	// priorMillis is the weight of the callers' estimates, as the run time of tasks that took as
	// long as estimated.
	priorMillis = 60_000
	// riseMillis and fallMillis are the same time for the share of the fleet in use while work waits,
	// as it rises and falls: a fleet that stood still for a while can do as much as before.
	riseMillis = 2_000
	fallMillis = 10_000
	// maxGapMillis is the most time for which one measurement of the share in use counts: after a
	// longer gap the process was stopped.
	maxGapMillis = 1_000
	// flowMillis is the same time for what arrives.
	flowMillis = 2_000
	// usualRiseMillis and usualFallMillis are the same time for the share of the fleet that arriving
	// work takes beside bursts, as it rises and falls.
	usualRiseMillis = 20_000
	usualFallMillis = 5_000
	// firstAchievable is the share of the fleet that can be in use, until it is measured.
	firstAchievable = 0.85
	// maxOverrun is the longest expected run time of an attempt that still runs, as a multiple of its
	// estimate: one that hangs tells nothing of the others.
	maxOverrun = 4
)

// decaying is a sum that loses its weight with time.
type decaying struct {
	sum     float64
	updated int64
}

func (d decaying) at(now int64, span float64) float64 {
	return d.sum * math.Exp(-max(0, float64(now-d.updated))/span)
}

func (d decaying) plus(amount float64, now int64, span float64) decaying {
	return decaying{
		sum:     d.at(now, span) + amount,
		updated: now,
	}
}

// spent is the time that was spent on work, and the estimated time of what was done in it.
type spent struct {
	held, estimated decaying
}

func (s spent) plus(held, estimated float64, now int64) spent {
	return spent{
		held:      s.held.plus(held, now, ratioMillis),
		estimated: s.estimated.plus(estimated, now, ratioMillis),
	}
}

// ratio returns the time spent, and that of what still runs, as a multiple of the estimates.
func (s spent) ratio(running Overruns, now int64) float64 {
	held, estimated := s.held.at(now, ratioMillis)+running.held, s.estimated.at(now, ratioMillis)+running.estimated
	return (held + priorMillis) / (estimated + priorMillis)
}

// Overruns are attempts that still run though they have held their workers for longer than estimated.
// The zero value is none.
type Overruns struct {
	held, estimated float64
}

// Plus returns the attempts and one that has held its worker for heldMillis, which is more than its
// estimate. It is expected to run for as long again as it is over that, which is what run times of many
// magnitudes have in common, but at most for the estimate again.
func (o Overruns) Plus(heldMillis, estimateMillis float64) Overruns {
	expected := heldMillis + min(heldMillis-estimateMillis, estimateMillis)
	return Overruns{
		held:      o.held + min(expected, maxOverrun*estimateMillis),
		estimated: o.estimated + estimateMillis,
	}
}

// usage is the share of a service's workers that is in use while work waits, and when it was last
// measured.
type usage struct {
	achievable float64
	measured   int64
}

// Pace is what an owner has learned of the speed at which work arrives and is carried out. Create
// it with NewPace.
type Pace struct {
	queues   map[string]spent
	overruns map[string]Overruns // by queue
	calls    spent
	usage    map[string]usage // by service
	started  int64
	// accepted is the work that was accepted within the rates, in milliseconds of the service's
	// workers.
	accepted map[inflow]arrived
}

// NewPace returns the pace of an owner that has seen nothing yet.
func NewPace(now int64) *Pace {
	return &Pace{
		queues:   map[string]spent{},
		usage:    map[string]usage{},
		started:  now,
		accepted: map[inflow]arrived{},
	}
}

// ObserveAttempt notes that an attempt of a task of the queue held its worker for heldMillis. The
// estimate is the task's if the attempt completed, and otherwise zero.
func (p *Pace) ObserveAttempt(queue string, heldMillis, estimateMillis float64, now int64) {
	p.queues[queue] = p.queues[queue].plus(heldMillis, estimateMillis, now)
}

// ObserveCall notes that a call to the policy service has taken heldMillis. The estimate is the time
// that the agreement states for it if it was the first answer about a step, and otherwise zero.
func (p *Pace) ObserveCall(heldMillis, estimateMillis float64, now int64) {
	p.calls = p.calls.plus(heldMillis, estimateMillis, now)
}

// CallRatio returns the time of the calls about a step, also of those that failed or renewed its
// tickets, as a multiple of what the agreement states for one.
func (p *Pace) CallRatio(now int64) float64 {
	return p.calls.ratio(Overruns{}, now)
}

// ObserveOverruns notes the attempts that run longer than estimated now, by queue. Without them nothing
// would be learned of long run times until they are over.
func (p *Pace) ObserveOverruns(byQueue map[string]Overruns) {
	p.overruns = byQueue
}

// Ratio returns the time for which tasks of the queue hold workers until they are done, also in
// attempts that did not complete, as a multiple of their callers' estimates.
func (p *Pace) Ratio(queue string, now int64) float64 {
	return p.queues[queue].ratio(p.overruns[queue], now)
}

// ObserveUsage notes the share of the service's workers in use while tasks wait that need room.
func (p *Pace) ObserveUsage(service string, share float64, now int64) {
	u := p.usageOf(service, now)
	span := float64(fallMillis)
	if share > u.achievable {
		span = riseMillis
	}
	weight := 1 - math.Exp(-float64(min(now-u.measured, maxGapMillis))/span)
	p.usage[service] = usage{
		achievable: u.achievable + weight*(share-u.achievable),
		measured:   now,
	}
}

// SkipUsage notes that no task waits for room, so that the share in use tells nothing.
func (p *Pace) SkipUsage(service string, now int64) {
	u := p.usageOf(service, now)
	u.measured = now
	p.usage[service] = u
}

func (p *Pace) usageOf(service string, now int64) usage {
	u, ok := p.usage[service]
	if !ok {
		return usage{
			achievable: firstAchievable,
			measured:   now,
		}
	}
	return u
}

// Achievable returns the share of the service's workers that is in use while work waits.
func (p *Pace) Achievable(service string) float64 {
	return p.usageOf(service, p.started).achievable
}

// inflow is the work that arrives for a service with a priority.
type inflow struct {
	service  string
	priority int
}

// arrived is what was accepted lately, in all and by team, and the share of the fleet that work takes
// which arrives beside bursts.
type arrived struct {
	lately decaying
	teams  map[string]decaying
	usual  float64
}

// usualAt follows the share that arrives, at most the whole fleet: slowly as it rises, which may be a
// burst, and fast as it falls.
func (a arrived) usualAt(now int64) float64 {
	share := min(1, a.lately.at(now, flowMillis)/flowMillis)
	span := float64(usualRiseMillis)
	if share < a.usual {
		span = usualFallMillis
	}
	return a.usual + (1-math.Exp(-max(0, float64(now-a.lately.updated))/span))*(share-a.usual)
}

// ObserveAccepted notes work of the service that was accepted within its team's rate.
func (p *Pace) ObserveAccepted(service string, w Work, now int64) {
	key := inflow{
		service:  service,
		priority: w.Priority,
	}
	a, ok := p.accepted[key]
	if !ok {
		a = arrived{
			lately: decaying{updated: now},
			teams:  map[string]decaying{},
		}
	}
	a.usual = a.usualAt(now)
	a.lately = a.lately.plus(w.Amounts.Fleet, now, flowMillis)
	a.teams[w.Team] = a.teams[w.Team].plus(w.Amounts.Fleet, now, flowMillis)
	p.accepted[key] = a
}

// UrgentInflow returns the work that is expected to arrive and go before waiting work of a
// priority, by that priority: as much as was accepted lately, since bursts are short, and for as long
// as it waits what usually arrives.
func (p *Pace) UrgentInflow(service string, priorities []int, now int64) map[int]Inflow {
	urgent := map[int]Inflow{}
	for _, priority := range priorities {
		in := Inflow{Teams: map[string]float64{}}
		for key, work := range p.accepted {
			if key.service != service || key.priority > priority {
				continue
			}
			lately, usual := work.lately.at(now, flowMillis), work.usualAt(now)
			in.Usual += usual
			if key.priority < priority {
				in.Urgent += lately
				in.UsualUrgent += usual
				continue
			}
			in.Peers += lately
			for team, sum := range work.teams {
				in.Teams[team] = sum.at(now, flowMillis)
			}
		}
		urgent[priority] = in
	}
	return urgent
}
