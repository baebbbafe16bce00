package shard

import (
	"iter"
	"maps"
	"slices"

	"github.com/citronbay/citronbay/internal/cluster/store"
	"github.com/citronbay/citronbay/internal/cluster/worker"
	"github.com/citronbay/citronbay/internal/decide/admission"
	"github.com/citronbay/citronbay/internal/decide/job"
)

// serviceLoad is the load of the workers of one service.
type serviceLoad struct {
	load     *admission.Load
	capacity admission.Capacity
	// workers are those that count; fleet is the sum of their capacities, and used what is in use.
	workers     []*worker.Registration
	fleet, used job.Resources
	// sizes are the largest capacities of the workers that have a label, and of all workers for the
	// empty label; a label is missing until it is needed.
	sizes       map[string][]job.Resources
	advisors    int // the nodes that call the policy service
	builtMillis int64
	// waits is set if tasks wait for room.
	waits bool
}

// fits reports whether a task of the step fits on any of the workers while nothing else runs there.
func (l *serviceLoad) fits(spec *job.StepSpec) bool {
	sizes, known := l.sizes[spec.Label]
	if !known {
		sizes = largestSizes(l.workers, spec.Label)
		l.sizes[spec.Label] = sizes
	}
	return slices.ContainsFunc(sizes, spec.Needs.FitsIn)
}

// largestSizes returns those capacities of the workers with the label that are in no other.
func largestSizes(workers []*worker.Registration, label string) []job.Resources {
	var sizes []job.Resources
	for _, w := range workers {
		if label != "" && !slices.Contains(w.Labels, label) || slices.ContainsFunc(sizes, w.Capacity.FitsIn) {
			continue
		}
		sizes = slices.DeleteFunc(sizes, func(size job.Resources) bool {
			return size.FitsIn(w.Capacity)
		})
		sizes = append(sizes, w.Capacity)
	}
	return sizes
}

// amountsOf returns the work of the given number of the step's tasks on workers and under the
// team's cap. The caller holds s.mu.
func (s *Shard) amountsOf(spec job.StepSpec, count int, ready bool, team string, fleet job.Resources, ratio float64) admission.Amounts {
	return amountsUnder(s.agreement.Rules.Teams[team].Cap, &spec, count, ready, fleet, ratio)
}

// amountsUnder is amountsOf for a team of the given cap.
func amountsUnder(limit job.Resources, spec *job.StepSpec, count int, ready bool, fleet job.Resources, ratio float64) admission.Amounts {
	needs := spec.Needs.Times(int64(count))
	millis := ratio * float64(spec.EstimateMillis)
	share := largestShare(needs, fleet)
	amounts := admission.Amounts{
		Fleet: share * millis,
		Cap:   largestShare(needs, limit) * millis,
	}
	if ready {
		amounts.Demand = share
	}
	return amounts
}

// largestShare returns the largest share of a dimension of whole that part takes; dimensions that
// are zero in whole don't count.
func largestShare(part, whole job.Resources) float64 {
	largest := 0.0
	for _, d := range []struct{ part, whole int64 }{
		{part: part.MilliCores, whole: whole.MilliCores},
		{part: part.MemoryMB, whole: whole.MemoryMB},
		{part: part.Accelerators, whole: whole.Accelerators},
	} {
		if d.whole > 0 {
			largest = max(largest, float64(d.part)/float64(d.whole))
		}
	}
	return largest
}

// callMillis returns the time that the agreement states for a call to the queue's policy service.
func callMillis(q job.Queue) float64 {
	if q.Policy == nil {
		return 0
	}
	return q.Policy.FixedMillis + policyWorkers*q.Policy.PerWorkerMillis
}

// policyMillis returns the time that the calls about a step take of the given number of nodes. The
// caller holds s.mu.
func (s *Shard) policyMillis(q job.Queue, advisors int, now int64) float64 {
	if q.Policy == nil || s.options.Advisors == nil {
		return 0
	}
	return s.gate.pace.CallRatio(now) * callMillis(q) / float64(max(1, advisors))
}

// linkMillis returns the time that start orders of the given size take of a small link.
func (s *Shard) linkMillis(bytes float64) float64 {
	if !s.options.Link.IsSmall() {
		return 0
	}
	return 1000 * bytes / s.startsPerSecond()
}

// openBytes returns about what the open jobs of the group take in a snapshot at most.
func openBytes(g *job.Group) int64 {
	return int64(jobBytes*g.Jobs + g.PayloadBytes + stepBytes*g.Steps + taskBytes*g.Tasks)
}

// maxOpenBytes returns the limit on the size of all open jobs: what a snapshot can hold beside the
// jobs that have ended, and on a small link what the next owner can read before its takeover
// fails. The caller holds s.mu.
func (s *Shard) maxOpenBytes() int64 {
	limit := snapshotShare * store.MaxSnapshotBytes
	if s.options.Link.IsSmall() {
		limit = min(limit, readShare*s.options.Link.BytesPerSecond()*recoveryTimeout.Seconds())
	}
	return int64(max(limit/4, limit-endedBytes*float64(s.state.EndedJobs())))
}

// loadOf returns the load of the service's workers. Once it is admissionInterval old, it is built again
// with those of the other services, since they share most of what it costs. The caller holds s.mu.
func (s *Shard) loadOf(service string, now int64) *serviceLoad {
	if l := s.gate.services[service]; l != nil && now-l.builtMillis < admissionInterval.Milliseconds() {
		return l
	}
	services := map[string]bool{service: true}
	for name := range s.gate.services {
		services[name] = true
	}
	s.gate.services = s.buildLoads(maps.Keys(services), maps.Values(s.state.UnplacedJobs()), now)
	for name, l := range s.gate.services {
		if l.waits && s.journal.StalledFor() < storeStallLimit && now-s.openedMillis > settleTime.Milliseconds() {
			s.gate.pace.ObserveUsage(name, l.capacity.Used, now)
		} else {
			s.gate.pace.SkipUsage(name, now)
		}
	}
	s.forgetWithdrawn()
	return s.gate.services[service]
}

// refreshLoads builds the loads again that submissions have used, so that what is learned of the
// fleet doesn't depend on when they come. The caller holds s.mu.
func (s *Shard) refreshLoads(now int64) {
	for service := range s.gate.services {
		s.loadOf(service, now)
	}
}

// forgetWithdrawn drops the estimates of jobs that were withdrawn. All others are of open jobs, so that
// this may wait until there are more of them. The caller holds s.mu.
func (s *Shard) forgetWithdrawn() {
	if len(s.gate.estimates) <= len(s.state.OpenJobs()) {
		return
	}
	for id := range s.gate.estimates {
		if s.state.Job(id) == nil {
			delete(s.gate.estimates, id)
		}
	}
}

// buildLoads sums up the open jobs for each of the services. The sequence waiting has those with tasks to
// place. The caller holds s.mu.
func (s *Shard) buildLoads(services iter.Seq[string], waiting iter.Seq[*job.Job], now int64) map[string]*serviceLoad {
	loads := map[string]*serviceLoad{}
	for service := range services {
		loads[service] = &serviceLoad{
			workers:     make([]*worker.Registration, 0, len(s.links)),
			sizes:       map[string][]job.Resources{},
			builtMillis: now,
		}
	}
	s.addWorkers(loads)
	weights := map[string]float64{}
	for name, team := range s.agreement.Rules.Teams {
		weights[name] = max(1, team.JobsPerSecond)
	}
	for service, l := range loads {
		if s.options.Advisors != nil {
			l.advisors = len(s.options.Advisors())
		}
		var priorities []int
		for _, q := range s.agreement.Rules.Queues {
			if q.Service == service && !slices.Contains(priorities, q.Priority) {
				priorities = append(priorities, q.Priority)
			}
		}
		l.capacity = admission.Capacity{
			Achievable:   s.gate.pace.Achievable(service),
			Used:         largestShare(l.used, l.fleet),
			UrgentInflow: s.gate.pace.UrgentInflow(service, priorities, now),
			MaxOpenJobs:  maxOpenJobs,
			MaxOpenBytes: s.maxOpenBytes(),

			MaxIdleMillis: float64(maxIdleWait.Milliseconds()),
		}
		l.load = admission.NewLoad(l.capacity, weights)
	}
	s.addJobs(loads, waiting, now)
	return loads
}

// addWorkers adds the workers to the loads of their services. The caller holds s.mu.
func (s *Shard) addWorkers(loads map[string]*serviceLoad) {
	for _, w := range s.links {
		l := loads[w.registration.Service]
		if l == nil || !w.listed || (w.answered && !w.worker.Usable) {
			continue
		}
		l.fleet = l.fleet.Plus(w.registration.Capacity)
		l.used = l.used.Plus(s.state.Used(w.key()))
		l.workers = append(l.workers, &w.registration)
	}
}

// queueLoad is what the open jobs of a queue have in common.
type queueLoad struct {
	queue job.Queue
	// service is the load of the queue's service, or nil if it is not asked for.
	service *serviceLoad
	// ratio is that of the queue, and policyMillis the time of the calls about one step.
	ratio, policyMillis float64
}

// groupLoad is the load of the open jobs of a group.
type groupLoad struct {
	*queueLoad
	// cap is the team's, and room the share of the fleet that it still permits.
	cap  job.Resources
	room *float64
	// onTime and late are the work that waits of jobs that can still meet their objective, and of the
	// others.
	onTime, late admission.Amounts
}

// addJobs adds the open jobs to the loads. Of those that are not in waiting, which have no tasks to place,
// only their groups' sizes matter. The caller holds s.mu.
func (s *Shard) addJobs(loads map[string]*serviceLoad, waiting iter.Seq[*job.Job], now int64) {
	groups := s.groupLoads(loads, now)
	placeable := map[*serviceLoad]float64{}
	for j := range waiting {
		g := &groups[j.Group().Number()]
		if g.service == nil {
			continue
		}
		amounts, demand := s.waitingWork(j, g)
		if demand > 0 {
			placeable[g.service] += demand
		}
		if j.Late(g.queue, now) {
			g.late = g.late.Plus(amounts)
		} else {
			g.onTime = g.onTime.Plus(amounts)
		}
	}
	for n, group := range s.state.Groups() {
		g := &groups[n]
		for _, l := range loads {
			if l == g.service {
				g.addTo(l.load, group)
			} else {
				holdJobs(l.load, group.Jobs, openBytes(group))
			}
		}
	}
	for l, demand := range placeable {
		l.waits = demand > minMeasuredDemand
	}
}

// groupLoads returns the loads of all groups, by their numbers, to which no work is added yet. The
// caller holds s.mu.
func (s *Shard) groupLoads(loads map[string]*serviceLoad, now int64) []groupLoad {
	queues := map[string]*queueLoad{}
	rooms := map[*serviceLoad]map[string]*float64{}
	for _, l := range loads {
		rooms[l] = map[string]*float64{}
	}
	groups := make([]groupLoad, len(s.state.Groups()))
	for n, group := range s.state.Groups() {
		q := queues[group.Queue]
		if q == nil {
			q = s.queueLoad(group.Queue, loads, now)
			queues[group.Queue] = q
		}
		g := &groups[n]
		g.queueLoad = q
		if q.service == nil {
			continue
		}
		g.cap = s.agreement.Rules.Teams[group.Team].Cap
		g.room = rooms[q.service][group.Team]
		if g.room == nil {
			room := s.capRoom(group.Team, q.service.fleet)
			g.room, rooms[q.service][group.Team] = &room, &room
		}
	}
	return groups
}

// queueLoad returns the load of the queue. The caller holds s.mu.
func (s *Shard) queueLoad(name string, loads map[string]*serviceLoad, now int64) *queueLoad {
	q := &queueLoad{queue: s.agreement.Rules.Queues[name]}
	q.service = loads[q.queue.Service]
	if q.service != nil {
		q.ratio = s.gate.pace.Ratio(name, now)
		q.policyMillis = s.policyMillis(q.queue, q.service.advisors, now)
	}
	return q
}

// addTo adds the group to the load of its service.
func (g *groupLoad) addTo(load *admission.Load, group *job.Group) {
	work := admission.Work{
		Team:     group.Team,
		Priority: g.queue.Priority,
		OverRate: group.OverRate,
		Late:     g.onTime == admission.Amounts{},
		Amounts:  g.onTime.Plus(g.late),
		Bytes:    openBytes(group),
	}
	if work.Late || g.late == (admission.Amounts{}) {
		load.Add(work)
		holdJobs(load, group.Jobs-1, 0)
		return
	}
	work.Amounts = g.onTime
	load.Add(work)
	work.Late, work.Amounts, work.Bytes = true, g.late, 0
	load.Add(work)
	holdJobs(load, group.Jobs-2, 0)
}

// holdJobs counts open jobs that take the given number of bytes in total.
func holdJobs(load *admission.Load, jobs int, bytes int64) {
	for range jobs {
		load.Hold(bytes)
		bytes = 0
	}
}

// waitingWork returns the work of the job that waits, and the share of the fleet that it asks for
// which only room keeps from starting; it takes that from the room that its group's cap still permits.
// The caller holds s.mu.
func (s *Shard) waitingWork(j *job.Job, g *groupLoad) (admission.Amounts, float64) {
	var sum admission.Amounts
	placeable := 0.0
	for _, step := range j.Steps {
		count := step.Waiting()
		if count == 0 {
			continue
		}
		amounts := amountsUnder(g.cap, &step.Spec, count, step.Ready(), g.service.fleet, g.ratio)
		if amounts.Demand > 0 {
			if step.Spec.Gang && amounts.Demand > *g.room || !g.service.fits(&step.Spec) {
				amounts.Demand = 0 // room alone would not let any of it start
			}
			amounts.Demand = min(amounts.Demand, *g.room)
			*g.room -= amounts.Demand
		}
		if step.AwaitsPolicy(g.queue) {
			amounts.Policy = g.policyMillis
		} else {
			placeable += amounts.Demand
		}
		amounts.Link = s.linkMillis(float64(count) * startCost(j))
		sum = sum.Plus(amounts)
	}
	return sum, placeable
}

// capRoom returns the share of the fleet that the team's cap still permits. The caller holds s.mu.
func (s *Shard) capRoom(team string, fleet job.Resources) float64 {
	limit := s.agreement.Rules.Teams[team].Cap
	left := 1.0
	used := s.state.TeamUsed(team)
	for _, d := range []struct{ limit, used, fleet int64 }{
		{limit: limit.MilliCores, used: used.MilliCores, fleet: fleet.MilliCores},
		{limit: limit.MemoryMB, used: used.MemoryMB, fleet: fleet.MemoryMB},
		{limit: limit.Accelerators, used: used.Accelerators, fleet: fleet.Accelerators},
	} {
		if d.limit > 0 && d.fleet > 0 {
			left = min(left, max(0, float64(d.limit-d.used)/float64(d.fleet)))
		}
	}
	return left
}
