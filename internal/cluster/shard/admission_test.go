package shard

import (
	"context"
	"fmt"
	"io"
	"log/slog"
	"strings"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
	"gotest.tools/v3/assert"

	"github.com/citronbay/citronbay/internal/cluster/caller"
	"github.com/citronbay/citronbay/internal/cluster/store"
	"github.com/citronbay/citronbay/internal/cluster/worker"
	"github.com/citronbay/citronbay/internal/decide/admission"
	"github.com/citronbay/citronbay/internal/decide/job"
)

// newLoadedShard returns a shard with one worker of ten processors, two teams and a queue whose jobs
// should be done within twice their run time.
func newLoadedShard(t *testing.T) *Shard {
	t.Helper()
	log := slog.New(slog.NewTextHandler(io.Discard, nil))
	term, release, err := store.Claim(t.Context(), emptyStore{}, "fleet", store.Owner{}, log)
	assert.NilError(t, err)
	t.Cleanup(release)
	s := newShardWithClient(term, nil, log)
	s.buckets = map[string]tokenBucket{}
	a := teamsAgreement()
	a.Rules = job.Rules{
		Queues: map[string]job.Queue{"queue": {
			Name:        "queue",
			Service:     "service",
			SlackFactor: 2,
		}},
		Teams: map[string]job.Team{
			"a": {Name: "a", JobsPerSecond: 30},
			"b": {Name: "b", JobsPerSecond: 30},
		},
	}
	s.agreement = DatedAgreement{Agreement: a}
	l := s.newLink(t.Context(), worker.Registration{
		ID:       "w",
		Service:  "service",
		Capacity: job.Resources{MilliCores: 10_000},
	}, true)
	l.worker.Usable, l.answered = true, true
	s.links["w"] = l
	s.journal, _, err = store.OpenJournal(t.Context(), emptyStore{}, term, s.snapshot, log)
	assert.NilError(t, err)
	go func() {
		_ = s.journal.Run(&s.mu)
	}()
	return s
}

// oneSecondJob takes the whole worker for a second.
func oneSecondJob() *job.Submission {
	return &job.Submission{Steps: []job.StepSpec{{
		Count:          10,
		Needs:          job.Resources{MilliCores: 1000},
		EstimateMillis: 1000,
	}}}
}

func submitJob(t *testing.T, s *Shard, team string, n int, call uint64) caller.Response {
	return s.Serve(t.Context(), caller.Request{
		Verb:       caller.Submit,
		Host:       "jobs.example",
		Path:       fmt.Sprintf("/queue/%016x", n),
		Key:        "key of " + team,
		Call:       call,
		Submission: oneSecondJob(),
	})
}

// TestRefusedSubmissionHasNoEffect submits more than can be done in time. What is refused must leave
// nothing that could run, what is accepted must stay accepted to each caller that asks again, and a
// refused job must be accepted once there is room.
func TestRefusedSubmissionHasNoEffect(t *testing.T) {
	s := newLoadedShard(t)
	var accepted, refused []int
	for n := range 20 {
		response := submitJob(t, s, "a", n, uint64(n+1))
		if response.Status == caller.OK {
			accepted = append(accepted, n)
			continue
		}
		refused = append(refused, n)
		assert.Equal(t, response.Status, caller.Refused)
		assert.Equal(t, response.Reason, admission.FleetBusy.Text())
		assert.Assert(t, response.RetryMillis >= admission.MinRetryMillis)
	}
	assert.Assert(t, len(accepted) > 0 && len(refused) > 0)
	assert.Equal(t, len(s.state.OpenJobs()), len(accepted))
	for _, n := range refused {
		assert.Assert(t, s.state.Job(fmt.Sprintf("%016x", n)) == nil)
	}
	for _, call := range []uint64{uint64(accepted[0] + 1), 1000} {
		assert.Equal(t, submitJob(t, s, "a", accepted[0], call).Status, caller.OK)
	}
	assert.Equal(t, submitJob(t, s, "b", 100, 1001).Status, caller.OK, "a team within its share")

	s.mu.Lock()
	for _, j := range s.state.OpenJobs() {
		s.appendToJournal(s.finishJob(nil, j, job.Cancelled, 0), nil)
	}
	s.mu.Unlock()
	time.Sleep(2 * admissionInterval)
	assert.Equal(t, submitJob(t, s, "a", refused[0], 1002).Status, caller.OK)
}

// TestWouldAdmitChangesNothing asks many times what would be decided: the answers must be the same,
// and the rate that the team has left is not used up.
func TestWouldAdmitChangesNothing(t *testing.T) {
	s := newLoadedShard(t)
	assert.Equal(t, submitJob(t, s, "a", 0, 1).Status, caller.OK)
	for range 1000 {
		assert.Assert(t, s.WouldAdmit("b", "queue", oneSecondJob()).Accepted)
	}
	assert.Equal(t, len(s.state.OpenJobs()), 1)
	assert.Assert(t, !s.isOverRate("b", false, s.now()))
}

// TestOpenWorkFitsSnapshot submits jobs with the largest payloads to a shard without workers. They must
// be refused before the snapshot of the accepted ones is too large, which would end each term.
func TestOpenWorkFitsSnapshot(t *testing.T) {
	s := newLoadedShard(t)
	delete(s.links, "w")
	submission := &job.Submission{
		Payload: strings.Repeat("x", 4000),
		Steps:   []job.StepSpec{{Count: 1, EstimateMillis: 200}},
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	n := 0
	for ; n < 10_000; n++ {
		id := fmt.Sprintf("%016x", n)
		s.buckets["a"] = tokenBucket{tokens: 1, updatedMillis: s.now()}
		d, _ := s.admit(id, "a", "queue", submission, s.now())
		if !d.Accepted {
			assert.Equal(t, d.Reason, admission.OpenWork)
			break
		}
		s.apply(nil, job.Record{
			Kind:       job.RecordAccept,
			Job:        id,
			Team:       "a",
			Queue:      "queue",
			Submission: submission,
		})
	}
	assert.Assert(t, n > 3000 && n < 10_000, "%d accepted", n)
	size := 0
	for _, r := range s.snapshot() {
		encoded, err := cbor.Marshal(r)
		assert.NilError(t, err)
		size += len(encoded)
	}
	assert.Assert(t, size < store.MaxSnapshotBytes, "%d bytes", size)
}

// TestSlowTeamIsWithinRate submits one job in ten seconds for a team whose agreed rate is one in five, and
// then a second at once.
func TestSlowTeamIsWithinRate(t *testing.T) {
	s := newLoadedShard(t)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.agreement.Rules.Teams["a"] = job.Team{Name: "a", JobsPerSecond: 0.2}
	start := s.now()
	for now := start; now < start+60_000; now += 10_000 {
		assert.Assert(t, !s.isOverRate("a", false, now))
		s.takeRate("a", now)
		assert.Assert(t, s.isOverRate("a", false, now))
	}
}

// TestRateOfPredecessorIsCountedOnce checks that the jobs of a new owner's state are counted for a
// team's first submission only, not for each that is refused.
func TestRateOfPredecessorIsCountedOnce(t *testing.T) {
	s := newLoadedShard(t)
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.now()
	s.isOverRate("a", false, now)
	b, known := s.buckets["a"]
	assert.Assert(t, known)
	assert.Equal(t, b.tokens, 30.0*burstSeconds)
}

// TestWaitsForRoom checks which waiting work asks for room on the workers: the share in use while other
// work waits, such as a gang that its team's cap holds back, tells nothing of what the workers can do.
func TestWaitsForRoom(t *testing.T) {
	for name, c := range map[string]struct {
		spec job.StepSpec
		want float64
	}{
		"beyond the cap":    {spec: job.StepSpec{Count: 3, Needs: job.Resources{MilliCores: 1000}}, want: 0.2},
		"gang":              {spec: job.StepSpec{Count: 2, Needs: job.Resources{MilliCores: 1000}, Gang: true}, want: 0.2},
		"capped gang":       {spec: job.StepSpec{Count: 3, Needs: job.Resources{MilliCores: 1000}, Gang: true}},
		"label":             {spec: job.StepSpec{Count: 1, Needs: job.Resources{MilliCores: 1000}, Label: "large"}, want: 0.1},
		"label of none":     {spec: job.StepSpec{Count: 1, Needs: job.Resources{MilliCores: 1000}, Label: "none"}},
		"fits on no worker": {spec: job.StepSpec{Count: 1, Needs: job.Resources{MilliCores: 1000, MemoryMB: 1}}},
	} {
		t.Run(name, func(t *testing.T) {
			s := newLoadedShard(t)
			s.mu.Lock()
			defer s.mu.Unlock()
			s.openGate()
			s.links["w"].registration.Labels = []string{"large"}
			s.agreement.Rules.Teams["a"] = job.Team{Name: "a", Cap: job.Resources{MilliCores: 2000}}
			s.apply(nil, job.Record{
				Kind:       job.RecordAccept,
				Job:        "job",
				Team:       "a",
				Queue:      "queue",
				Submission: &job.Submission{Steps: []job.StepSpec{c.spec}},
			})
			l := s.loadOf("service", s.now())
			assert.Equal(t, l.load.Demand(), c.want)
			assert.Equal(t, l.waits, c.want > 0)
		})
	}
}

// TestFreeCallsHaveNoRatio observes a call for which the agreement states no time.
func TestFreeCallsHaveNoRatio(t *testing.T) {
	s := newLoadedShard(t)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.openGate()
	s.agreement.Rules.Queues["queue"] = job.Queue{Name: "queue", Policy: &job.Policy{}}
	s.observeCall(job.PolicyQuery{Step: &job.Step{Job: &job.Job{Queue: "queue"}}}, time.Second, true)
	assert.Equal(t, s.gate.pace.CallRatio(s.now()), 1.0)
}

// TestShortCall submits with too little time left for the caller to learn of an acceptance: a new job must
// be refused without effect, and one that was accepted in an earlier call must not be.
func TestShortCall(t *testing.T) {
	for name, c := range map[string]struct {
		accepted bool
		want     caller.Status
	}{
		"new":      {want: caller.Refused},
		"accepted": {accepted: true, want: caller.OK},
	} {
		t.Run(name, func(t *testing.T) {
			s := newLoadedShard(t)
			if c.accepted {
				assert.Equal(t, submitJob(t, s, "a", 1, 1).Status, caller.OK)
			}
			ctx, cancel := context.WithDeadline(t.Context(), time.Now().Add(minDecisionTime-time.Millisecond))
			defer cancel()
			response := s.Serve(ctx, caller.Request{
				Verb:       caller.Submit,
				Host:       "jobs.example",
				Path:       fmt.Sprintf("/queue/%016x", 1),
				Key:        "key of a",
				Call:       2,
				Submission: oneSecondJob(),
			})
			assert.Equal(t, response.Status, c.want)
			assert.Equal(t, s.state.Job(fmt.Sprintf("%016x", 1)) != nil, c.accepted)
		})
	}
}
