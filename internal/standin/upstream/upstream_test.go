package upstream

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/citronbay/citronbay/internal/api/upstream"
)

const ttlMillis = 1000

func claim(u *Upstream, holder string) (upstream.LeaseResponse, string) {
	return u.Lease(upstream.LeaseRequest{
		Holder:      holder,
		Incarnation: u.incarnation,
		Until:       u.nowMillis() + ttlMillis,
		TasksUntil:  u.nowMillis() + 3*ttlMillis,
	})
}

func start(u *Upstream, epoch int64, task string, runMillis int64) string {
	_, refusal := u.Start(upstream.StartRequest{
		Epoch:     epoch,
		NotAfter:  u.nowMillis() + ttlMillis,
		Task:      task,
		RunMillis: runMillis,
		Size:      upstream.Resources{MilliProcessors: 400},
	})
	return refusal
}

// TestLeaseFencesAndLapses checks that a held lease refuses another holder, that a
// new claim fences the old epoch while tasks keep running, and that tasks stop at
// LeaseRequest.TasksUntil if no owner extends it.
func TestLeaseFencesAndLapses(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		u := New(upstream.Resources{MilliProcessors: 1000})
		first, refusal := claim(u, "entry-1")
		assert.Equal(t, refusal, "")
		assert.Equal(t, start(u, first.Epoch, "a/0/1", 10*ttlMillis), "")
		assert.Equal(t, start(u, first.Epoch, "a/0/1", 10*ttlMillis), "", "a repeated start must not be refused")
		_, refusal = claim(u, "entry-2")
		assert.Equal(t, refusal, upstream.ReasonHeld)

		time.Sleep(ttlMillis * time.Millisecond)
		second, refusal := claim(u, "entry-2")
		assert.Equal(t, refusal, "")
		assert.Assert(t, second.Epoch > first.Epoch)
		assert.Equal(t, len(second.Running), 1)
		assert.Equal(t, start(u, first.Epoch, "b/0/1", 1), upstream.ReasonFenced)
		assert.Equal(t, start(u, second.Epoch, "c/0/1", 1), "")
		assert.Equal(t, start(u, second.Epoch, "d/0/1", 1), upstream.ReasonOverfilled)

		time.Sleep(4 * ttlMillis * time.Millisecond)
		synctest.Wait()
		assert.Equal(t, u.Describe("a/0/1").Reason, upstream.ReasonLapsed)
		assert.Equal(t, u.Observe().Starts["a/0/1"], 1)
	})
}

func TestClaimForAnotherIncarnationIsRefused(t *testing.T) {
	u := New(upstream.Resources{MilliProcessors: 1000})
	response, refusal := u.Lease(upstream.LeaseRequest{
		Holder:      "entry-1",
		Incarnation: "earlier",
		Until:       3600 * ttlMillis,
	})
	assert.Equal(t, refusal, upstream.ReasonRestarted)
	assert.Equal(t, response.Until, int64(0))
	_, refusal = claim(u, "entry-2")
	assert.Equal(t, refusal, "")
}

func TestLateStartAndStoppedTaskAreRefused(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		u := New(upstream.Resources{MilliProcessors: 1000})
		lease, _ := claim(u, "entry-1")
		late := upstream.StartRequest{
			Epoch:    lease.Epoch,
			NotAfter: u.nowMillis() + ttlMillis/4,
			Task:     "a/0/1",
		}
		time.Sleep(ttlMillis / 2 * time.Millisecond)
		_, refusal := u.Start(late)
		assert.Equal(t, refusal, upstream.ReasonLate)
		response, _ := u.Stop(upstream.StopRequest{
			Epoch: lease.Epoch,
			Task:  "b/0/1",
		})
		assert.Equal(t, response.State, upstream.StateRefused)
		assert.Equal(t, response.Incarnation, lease.Incarnation)
		assert.Equal(t, start(u, lease.Epoch, "b/0/1", 1), upstream.ReasonStopped)
	})
}

func TestEndedTasksAreReportedUntilAcknowledged(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		u := New(upstream.Resources{MilliProcessors: 1000})
		lease, _ := claim(u, "entry-1")
		for i := range 2 {
			assert.Equal(t, start(u, lease.Epoch, fmt.Sprint("a/", i, "/1"), 1), "")
		}
		time.Sleep(10 * time.Millisecond)
		synctest.Wait()
		renew := upstream.LeaseRequest{
			Holder: "entry-1",
			Epoch:  lease.Epoch,
			Until:  u.nowMillis() + ttlMillis,
		}
		for name, test := range map[string]struct {
			seen int64
			want int
		}{
			"none seen": {0, 2},
			"one seen":  {1, 1},
		} {
			renew.SeenSequence = test.seen
			response, _ := u.Lease(renew)
			assert.Equal(t, len(response.Ended), test.want, name)
		}
		renew.SeenSequence = 0
		renew.AckedSequence = 2
		response, _ := u.Lease(renew)
		assert.Equal(t, len(response.Ended), 0)
	})
}

func TestReportedUsageLags(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		u := New(upstream.Resources{MilliProcessors: 1000})
		u.SetFaults(Faults{UsageLagMillis: 500})
		lease, _ := claim(u, "entry-1")
		assert.Equal(t, start(u, lease.Epoch, "a/0/1", 10*ttlMillis), "")
		assert.Equal(t, u.StatusAfter(0).Used.MilliProcessors, int64(0))
		time.Sleep(600 * time.Millisecond)
		assert.Equal(t, u.StatusAfter(0).Used.MilliProcessors, int64(400))
		u.SetFaults(Faults{})
		time.Sleep(4 * ttlMillis * time.Millisecond)
		synctest.Wait()
		assert.Equal(t, u.StatusAfter(0).Used.MilliProcessors, int64(0))
	})
}
