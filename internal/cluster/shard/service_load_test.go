package shard

import (
	"cmp"
	"fmt"
	"io"
	"log/slog"
	"maps"
	"math"
	"reflect"
	"slices"
	"testing"
	"time"

	gocmp "github.com/google/go-cmp/cmp"
	"github.com/google/go-cmp/cmp/cmpopts"
	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/citronbay/citronbay/internal/api/traffic"
	"github.com/citronbay/citronbay/internal/cluster/worker"
	"github.com/citronbay/citronbay/internal/decide/admission"
	"github.com/citronbay/citronbay/internal/decide/job"
)

// plainLoad is the load of a service as the sum over each of its open jobs.
type plainLoad struct {
	*serviceLoad
	room      map[string]float64
	placeable float64
}

// newPlainLoad sums up the jobs in the given order.
func newPlainLoad(s *Shard, service string, open []*job.Job, now int64) *plainLoad {
	l := &plainLoad{
		serviceLoad: &serviceLoad{sizes: map[string][]job.Resources{}},
		room:        map[string]float64{},
	}
	if s.options.Advisors != nil {
		l.advisors = len(s.options.Advisors())
	}
	for _, w := range s.links {
		if w.registration.Service != service || !w.listed || (w.answered && !w.worker.Usable) {
			continue
		}
		l.fleet = l.fleet.Plus(w.registration.Capacity)
		l.used = l.used.Plus(s.state.Used(w.key()))
		for _, label := range append([]string{""}, w.registration.Labels...) {
			l.sizes[label] = append(l.sizes[label], w.registration.Capacity)
		}
	}
	weights := map[string]float64{}
	for name, team := range s.agreement.Rules.Teams {
		weights[name] = max(1, team.JobsPerSecond)
	}
	var priorities []int
	for _, q := range s.agreement.Rules.Queues {
		if q.Service == service && !slices.Contains(priorities, q.Priority) {
			priorities = append(priorities, q.Priority)
		}
	}
	l.capacity = admission.Capacity{
		Achievable:    s.gate.pace.Achievable(service),
		Used:          largestShare(l.used, l.fleet),
		UrgentInflow:  s.gate.pace.UrgentInflow(service, priorities, now),
		MaxOpenJobs:   maxOpenJobs,
		MaxOpenBytes:  s.maxOpenBytes(),
		MaxIdleMillis: float64(maxIdleWait.Milliseconds()),
	}
	l.load = admission.NewLoad(l.capacity, weights)
	for _, j := range open {
		q := s.agreement.Rules.Queues[j.Queue]
		bytes := jobBytes + len(j.Payload)
		for _, step := range j.Steps {
			bytes += stepBytes + taskBytes*len(step.Tasks)
		}
		if q.Service != service {
			l.load.Hold(int64(bytes))
			continue
		}
		l.load.Add(admission.Work{
			Team:     j.Team,
			Priority: q.Priority,
			OverRate: j.OverRate,
			Late:     j.Late(q, now),
			Amounts:  l.waitingWork(s, j, q, now),
			Bytes:    int64(bytes),
		})
	}
	l.waits = l.placeable > minMeasuredDemand
	return l
}

func (l *plainLoad) waitingWork(s *Shard, j *job.Job, q job.Queue, now int64) admission.Amounts {
	var sum admission.Amounts
	for _, step := range j.Steps {
		count := step.Waiting()
		if count == 0 {
			continue
		}
		amounts := s.amountsOf(step.Spec, count, step.Ready(), j.Team, l.fleet, s.gate.pace.Ratio(j.Queue, now))
		if amounts.Demand > 0 {
			left, known := l.room[j.Team]
			if !known {
				left = s.capRoom(j.Team, l.fleet)
			}
			if step.Spec.Gang && amounts.Demand > left || !slices.ContainsFunc(l.sizes[step.Spec.Label], step.Spec.Needs.FitsIn) {
				amounts.Demand = 0
			}
			amounts.Demand = min(amounts.Demand, left)
			l.room[j.Team] = left - amounts.Demand
		}
		if step.AwaitsPolicy(q) {
			amounts.Policy = s.policyMillis(q, l.advisors, now)
		} else {
			l.placeable += amounts.Demand
		}
		amounts.Link = s.linkMillis(float64(count) * startCost(j))
		sum = sum.Plus(amounts)
	}
	return sum
}

// loadMachine changes an owner's jobs, placements, workers and rules at random.
type loadMachine struct {
	*Shard
	jobs int
	now  int64
}

func newLoadMachine(t *rapid.T) *loadMachine {
	s := newShardWithClient(nil, nil, slog.New(slog.NewTextHandler(io.Discard, nil)))
	s.agreement = DatedAgreement{Agreement: teamsAgreement()}
	m := &loadMachine{
		Shard: s,
		now:   s.now(),
	}
	m.openGate()
	m.options.Link = rapid.SampledFrom([]traffic.Link{{}, {Mbps: 2}}).Draw(t, "link")
	m.options.Advisors = func() []AdvisorNode {
		return make([]AdvisorNode, 3)
	}
	m.changeRules(t)
	for range 4 {
		m.changeWorker(t)
	}
	return m
}

func drawResources(t *rapid.T, limit int64) job.Resources {
	return job.Resources{
		MilliCores:   rapid.Int64Range(0, limit).Draw(t, "milliCores"),
		MemoryMB:     rapid.Int64Range(0, limit).Draw(t, "memory"),
		Accelerators: rapid.SampledFrom([]int64{0, 0, 0, limit / 4000}).Draw(t, "accelerators"),
	}
}

func drawLabel(t *rapid.T) string {
	return rapid.SampledFrom([]string{"", "", "x", "y"}).Draw(t, "label")
}

func (m *loadMachine) changeRules(t *rapid.T) {
	m.agreement.Rules = job.Rules{
		Queues: map[string]job.Queue{},
		Teams:  map[string]job.Team{},
	}
	for n, name := range []string{"plain", "advised", "other"} {
		q := job.Queue{
			Name:         name,
			Service:      []string{"service", "service", "second"}[n],
			Priority:     rapid.IntRange(0, 1).Draw(t, "priority"),
			SlackFactor:  1.5,
			TargetMillis: rapid.Int64Range(0, 1000).Draw(t, "target"),
		}
		if name == "advised" {
			q.Policy = &job.Policy{
				FixedMillis:       60,
				TicketValidMillis: 2000,
			}
		}
		m.agreement.Rules.Queues[name] = q
	}
	for _, name := range []string{"a", "b"} {
		m.agreement.Rules.Teams[name] = job.Team{
			Name:          name,
			JobsPerSecond: float64(rapid.IntRange(0, 3).Draw(t, "rate")),
			Cap:           rapid.SampledFrom([]job.Resources{{}, drawResources(t, 20_000)}).Draw(t, "cap"),
		}
	}
}

func (m *loadMachine) changeWorker(t *rapid.T) {
	id := fmt.Sprintf("w%d", rapid.IntRange(0, 5).Draw(t, "worker"))
	if rapid.IntRange(0, 5).Draw(t, "gone") == 0 {
		delete(m.links, id)
		return
	}
	m.links[id] = &link{
		shard: m.Shard,
		registration: worker.Registration{
			ID:       id,
			Service:  rapid.SampledFrom([]string{"service", "service", "second"}).Draw(t, "service"),
			Capacity: drawResources(t, 16_000),
			Labels:   []string{drawLabel(t)},
		},
		listed:     rapid.IntRange(0, 5).Draw(t, "listed") > 0,
		answered:   rapid.IntRange(0, 5).Draw(t, "answered") > 0,
		lastAnswer: time.Now().Add(-rapid.SampledFrom([]time.Duration{0, 0, 0, time.Hour}).Draw(t, "silent")),
	}
	m.links[id].plannerWorker(time.Now())
}

func (m *loadMachine) accept(t *rapid.T) {
	submission := &job.Submission{Payload: rapid.SampledFrom([]string{"", "text"}).Draw(t, "payload")}
	for n := range rapid.IntRange(1, 3).Draw(t, "steps") {
		spec := job.StepSpec{
			Count:          rapid.IntRange(1, 4).Draw(t, "count"),
			Needs:          drawResources(t, 5000),
			EstimateMillis: rapid.Int64Range(0, 3000).Draw(t, "estimate"),
			Gang:           rapid.Bool().Draw(t, "gang"),
			Label:          drawLabel(t),
		}
		if n > 0 && rapid.Bool().Draw(t, "after") {
			spec.After = []int{n - 1}
		}
		submission.Steps = append(submission.Steps, spec)
	}
	_ = m.state.Apply(job.Record{
		Kind:       job.RecordAccept,
		Job:        fmt.Sprintf("%04d", m.jobs),
		Team:       rapid.SampledFrom([]string{"a", "b", "unknown", ""}).Draw(t, "team"),
		Queue:      rapid.SampledFrom([]string{"plain", "advised", "other", "unknown"}).Draw(t, "queue"),
		TimeMillis: m.now - rapid.Int64Range(0, 4000).Draw(t, "age"),
		OverRate:   rapid.Bool().Draw(t, "overRate"),
		Submission: submission,
	})
	m.jobs++
}

// pass places what the planner places and lets the policy service answer some queries.
func (m *loadMachine) pass(t *rapid.T) {
	workers := m.plannerWorkers()
	slices.SortFunc(workers, func(a, b *job.Worker) int {
		return cmp.Compare(a.ID, b.ID)
	})
	p := job.NewPlanner(m.state, m.agreement.Rules, workers, m.now)
	p.Plan(m.now)
	for _, q := range p.PolicyQueries(m.now, job.QueryLimits{
		Calls:      4,
		SlowCalls:  4,
		SlowMillis: slowCallMillis,
	}) {
		allowed := map[*job.Worker]job.Ticket{}
		for _, w := range q.Workers {
			allowed[w] = job.Ticket{ExpiresMillis: m.now + 2000}
		}
		q.HandleAnswer(allowed, rapid.Bool().Draw(t, "answered"))
	}
}

// preview tries a job on a copy of the state.
func (m *loadMachine) preview(t *rapid.T) {
	_, err := job.Preview(m.state, m.agreement.Rules, m.plannerWorkers(), job.Trial{
		Team:       "a",
		Queue:      "plain",
		Submission: oneSecondJob(),
	}, m.now, func(_ *job.State, p *job.Planner) *job.Planner {
		return p
	})
	assert.NilError(t, err)
}

// endAttempts ends the attempts of a job, and the job once all its tasks are done.
func (m *loadMachine) endAttempts(t *rapid.T) {
	j := m.drawJob(t)
	if j == nil {
		return
	}
	outcome := rapid.SampledFrom([]job.AttemptOutcome{job.AttemptCompleted, job.AttemptCompleted, job.AttemptLost, job.AttemptFailed}).Draw(t, "outcome")
	for _, step := range j.Steps {
		for n, task := range step.Tasks {
			if task.Placement == nil {
				continue
			}
			m.gate.pace.ObserveAttempt(j.Queue, 900, float64(step.Spec.EstimateMillis), m.now)
			_ = m.state.Apply(job.Record{
				Kind:           job.RecordAttemptEnd,
				Job:            j.ID,
				Step:           step.Number,
				Index:          n,
				Attempt:        task.Attempt,
				AttemptOutcome: outcome,
			})
		}
	}
	if j.Complete() {
		m.end(j, job.Completed)
	}
}

func (m *loadMachine) drawJob(t *rapid.T) *job.Job {
	return m.state.Job(fmt.Sprintf("%04d", rapid.IntRange(0, max(0, m.jobs-1)).Draw(t, "job")))
}

func (m *loadMachine) end(j *job.Job, outcome job.Outcome) {
	_ = m.state.Apply(job.Record{
		Kind:       job.RecordJobEnd,
		Job:        j.ID,
		Outcome:    outcome,
		TimeMillis: m.now,
	})
}

// check compares the loads with the plain sums. Jobs of one team and service take the room that its cap
// leaves in order, so that both get them in the same.
func (m *loadMachine) check(t *rapid.T) {
	byID := func(a, b *job.Job) int { return cmp.Compare(a.ID, b.ID) }
	open := slices.SortedFunc(maps.Values(m.state.OpenJobs()), byID)
	waiting := slices.SortedFunc(maps.Values(m.state.UnplacedJobs()), byID)
	services := []string{"service", "second"}
	loads := m.buildLoads(slices.Values(services), slices.Values(waiting), m.now)
	for _, service := range services {
		want, got := newPlainLoad(m.Shard, service, open, m.now), loads[service]
		assert.DeepEqual(t, got.load, want.load, approximately()...)
		assert.DeepEqual(t, got.capacity, want.capacity, approximately()...)
		assert.Equal(t, got.fleet, want.fleet)
		assert.Equal(t, got.advisors, want.advisors)
		if math.Abs(want.placeable-minMeasuredDemand) > 1e-9 {
			assert.Equal(t, got.waits, want.waits)
		}
	}
}

// approximately returns the options that compare loads but for rounding and ranks without work.
func approximately() []gocmp.Option {
	empty := func(v reflect.Value) bool {
		return !v.IsValid() || v.Type() == reflect.TypeFor[admission.Amounts]() && v.IsZero()
	}
	return []gocmp.Option{
		gocmp.Exporter(func(reflect.Type) bool { return true }),
		cmpopts.EquateApprox(1e-9, 1e-9),
		gocmp.FilterPath(func(p gocmp.Path) bool {
			index, ok := p.Last().(gocmp.MapIndex)
			if !ok {
				return false
			}
			x, y := index.Values()
			return empty(x) && empty(y)
		}, gocmp.Ignore()),
	}
}

// TestLoadMatchesPlainSum compares the loads with the sums over all open jobs after random events.
func TestLoadMatchesPlainSum(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := newLoadMachine(t)
		t.Repeat(map[string]func(*rapid.T){
			"":       m.check,
			"accept": m.accept,
			"submit": m.accept,
			"pass":   m.pass,
			"end":    m.endAttempts,
			"cancel": func(t *rapid.T) {
				if j := m.drawJob(t); j != nil && j.Outcome == job.Open {
					m.end(j, job.Cancelled)
				}
			},
			"withdraw": func(t *rapid.T) {
				if j := m.drawJob(t); j != nil && j.Outcome == job.Open {
					m.state.Withdraw(j.ID)
				}
			},
			"prune": func(*rapid.T) {
				m.state.Prune(m.now - 1000)
			},
			"preview": m.preview,
			"worker":  m.changeWorker,
			"rules":   m.changeRules,
			"time": func(t *rapid.T) {
				m.now += rapid.Int64Range(0, 3000).Draw(t, "millis")
			},
			"learn": func(t *rapid.T) {
				m.gate.pace.ObserveCall(float64(rapid.IntRange(0, 500).Draw(t, "held")), 60, m.now)
				m.gate.pace.ObserveAccepted("service", admission.Work{
					Priority: rapid.IntRange(0, 1).Draw(t, "priority"),
					Amounts:  admission.Amounts{Fleet: 100},
				}, m.now)
				m.gate.pace.ObserveUsage("service", 0.5, m.now)
			},
		})
	})
}
