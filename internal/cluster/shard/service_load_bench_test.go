package shard

import (
	"fmt"
	"io"
	"log/slog"
	"maps"
	"slices"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/citronbay/citronbay/internal/cluster/store"
	"github.com/citronbay/citronbay/internal/cluster/worker"
	"github.com/citronbay/citronbay/internal/decide/job"
)

// loadedFleet is the size of a fleet and its open jobs.
type loadedFleet struct {
	workers, teams, openJobs int
}

// loadedFleets are those of the customers' sites and of the target size. The jobs have more tasks than
// the workers have room for.
func loadedFleets() []loadedFleet {
	return []loadedFleet{
		{
			workers:  50,
			teams:    6,
			openJobs: 600,
		},
		{
			workers:  350,
			teams:    20,
			openJobs: 1200,
		},
		{
			workers:  2700,
			teams:    260,
			openJobs: 4000,
		},
	}
}

func (f loadedFleet) String() string {
	return fmt.Sprintf("workers%d_jobs%d", f.workers, f.openJobs)
}

// newShard returns an owner of the fleet. Its workers differ in size and run tasks until they are full;
// the other tasks wait, a third of them for the policy service.
func (f loadedFleet) newShard(tb testing.TB) *Shard {
	tb.Helper()
	log := slog.New(slog.NewTextHandler(io.Discard, nil))
	term, release, err := store.Claim(tb.Context(), emptyStore{}, "fleet", store.Owner{}, log)
	assert.NilError(tb, err)
	tb.Cleanup(release)
	s := newShardWithClient(term, nil, log)
	s.buckets = map[string]tokenBucket{}
	a := teamsAgreement()
	a.Rules = job.Rules{
		Queues: map[string]job.Queue{},
		Teams:  map[string]job.Team{},
	}
	for n, name := range []string{"queue", "wide", "advised"} {
		a.Rules.Queues[name] = job.Queue{
			Name:         name,
			Service:      "service",
			Priority:     n,
			SlackFactor:  2,
			TargetMillis: 1200,
		}
	}
	advised := a.Rules.Queues["advised"]
	advised.Policy = &job.Policy{
		FixedMillis:       60,
		PerWorkerMillis:   0.8,
		TicketValidMillis: 2000,
	}
	a.Rules.Queues["advised"] = advised
	a.Rules.Queues["other"] = job.Queue{
		Name:    "other",
		Service: "other",
	}
	for n := range f.teams {
		name := teamName(n)
		a.Rules.Teams[name] = job.Team{
			Name:          name,
			JobsPerSecond: 30,
			Cap:           job.Resources{MilliCores: int64(f.workers) * 4000},
		}
	}
	s.agreement = DatedAgreement{Agreement: a}
	s.options.Advisors = func() []AdvisorNode {
		return make([]AdvisorNode, 7)
	}
	for n := range f.workers {
		l := s.newLink(tb.Context(), worker.Registration{
			ID:      fmt.Sprintf("w%04d", n),
			Service: "service",
			Rack:    fmt.Sprintf("r%d", n/8),
			Labels:  []string{"linux", fmt.Sprintf("kind%d", n%5)},
			Capacity: job.Resources{
				MilliCores: 48_000 + int64(n%33)*1000,
				MemoryMB:   131_072 + int64(n%65)*1024,
			},
		}, true)
		l.worker.Usable, l.answered = true, true
		s.links[l.registration.ID] = l
	}
	s.journal, _, err = store.OpenJournal(tb.Context(), emptyStore{}, term, s.snapshot, log)
	assert.NilError(tb, err)
	s.openGate()
	now := s.now()
	queues := []string{"queue", "wide", "advised"}
	for n := range f.openJobs {
		s.apply(nil, job.Record{
			Kind:       job.RecordAccept,
			Job:        fmt.Sprintf("%016x", n),
			Team:       teamName(n % f.teams),
			Queue:      queues[n%len(queues)],
			OverRate:   n%11 == 0,
			TimeMillis: now - int64(n%4000),
			Submission: f.submission(n),
		})
	}
	workers := s.plannerWorkers()
	for _, w := range workers {
		w.Usable = true
	}
	job.NewPlanner(s.state, s.agreement.Rules, workers, now).Plan(now)
	return s
}

func teamName(n int) string {
	return fmt.Sprintf("team%d", n)
}

// submission returns the n-th job, of one or two steps, of which every fifth first one is a gang.
func (loadedFleet) submission(n int) *job.Submission {
	needs := job.Resources{
		MilliCores: 4000 + int64(n%4)*1000,
		MemoryMB:   8192,
	}
	submission := &job.Submission{
		Payload: "payload of a job",
		Steps: []job.StepSpec{
			{
				Count:          12,
				Needs:          needs,
				EstimateMillis: 2700,
				Gang:           n%5 == 0,
				Label:          []string{"", "linux", "kind1"}[n%3],
			},
			{
				Count:          2,
				Needs:          needs,
				EstimateMillis: 900,
				After:          []int{0},
			},
		},
	}
	if n%2 == 0 {
		submission.Steps = submission.Steps[:1]
	}
	return submission
}

// BenchmarkBuildLoad measures what the owner pays for admission every admissionInterval and for each
// service.
func BenchmarkBuildLoad(b *testing.B) {
	for _, fleet := range loadedFleets() {
		b.Run(fleet.String(), func(b *testing.B) {
			s := fleet.newShard(b)
			s.mu.Lock()
			defer s.mu.Unlock()
			for _, j := range s.state.OpenJobs() {
				s.gate.estimates[j.ID] = s.now()
			}
			now := s.now()
			b.ResetTimer()
			for range b.N {
				s.buildLoads(slices.Values([]string{"service"}), maps.Values(s.state.UnplacedJobs()), now)
			}
			b.ReportMetric(float64(len(s.state.UnplacedJobs())), "waiting")
		})
	}
}

// BenchmarkObserveOverruns measures the look at the attempts that run, all of them for longer than estimated.
func BenchmarkObserveOverruns(b *testing.B) {
	for _, fleet := range loadedFleets() {
		b.Run(fleet.String(), func(b *testing.B) {
			s := fleet.newShard(b)
			s.mu.Lock()
			defer s.mu.Unlock()
			now, running := s.now(), 0
			for _, j := range s.state.OpenJobs() {
				for _, step := range j.Steps {
					for n := range step.Tasks {
						if p := step.Tasks[n].Placement; p != nil {
							p.OrderedMillis = now
							running++
						}
					}
				}
			}
			const overrun = 1 << 30
			b.ResetTimer()
			for n := range b.N {
				s.observeOverruns(now + overrun + int64(n+1)*admissionInterval.Milliseconds())
			}
			b.ReportMetric(float64(running), "running")
		})
	}
}
