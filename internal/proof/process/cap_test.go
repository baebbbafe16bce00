package process

import (
	"fmt"
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/citronbay/citronbay/internal/api/caller"
	"github.com/citronbay/citronbay/internal/api/operator"
	"github.com/citronbay/citronbay/internal/standin/platform"
)

// recoveryLimit is the specified time after the end of all failures within which a
// team can use its whole cap again.
const recoveryLimit = 30 * time.Second

// startLoadInEachDomain starts load for one team through one entry of each domain.
func (c *cell) startLoadInEachDomain(key string, callers int, run time.Duration) *load {
	var entries []string
	for _, domain := range c.layout.domains {
		entries = append(entries, c.otherEntry(domain, ""))
	}
	return c.startLoad(key, "cap", entries, callers, caller.Request{
		Service:        service,
		Command:        "shade",
		Payload:        "clay",
		RunMillis:      run.Milliseconds(),
		DeadlineMillis: 8000,
	})
}

// awaitRunning waits until at least n of the team's tasks run. It fails the test
// after the limit.
func (c *cell) awaitRunning(team string, n int, limit time.Duration) {
	c.t.Helper()
	eventually(c.t, limit, "tasks running", func() error {
		if running := c.runningCount(team); running < n {
			return fmt.Errorf("%d of %d running", running, n)
		}
		return nil
	})
}

func (c *cell) setCap(entry, team string, teamCap int64) {
	c.t.Helper()
	var response operator.ChangeResponse
	assert.NilError(c.t, c.callOperator(entry, http.MethodPost, "/v1/operator/teams", operator.TeamRequest{
		Name: team,
		Cap:  &teamCap,
	}, &response))
}

// TestCapHoldsAcrossDomains guards against more running tasks than the cap, and
// against a part of the cap that stays unusable after a failure. The owners of three
// domains divide the cap among themselves; under load up to the cap, one of them is
// killed, frozen or cut off, or the store fails.
func TestCapHoldsAcrossDomains(t *testing.T) {
	const teamCap = 9
	for name, injectFault := range map[string]func(c *cell){
		"no failure": func(*cell) {},
		"domain partitioned for longer than every lease": func(c *cell) {
			c.setDomainPartitioned("ankara-a", true, true)
			time.Sleep(c.taskLease() + 3*time.Second)
			c.setDomainPartitioned("ankara-a", false, true)
		},
		"owner killed while it holds part of the cap": func(c *cell) {
			owner := c.owner("manisa-b")
			c.killEntry(owner)
			time.Sleep(2 * time.Second)
			c.startEntry(owner)
		},
		"frozen owner resumed after its replacement": func(c *cell) {
			owner := c.owner("izmir-a")
			c.freezeEntry(owner)
			time.Sleep(4 * time.Second)
			c.thawEntry(owner)
		},
		"store answers lost": func(c *cell) {
			c.platform.SetFaults(platform.Faults{LoseWriteResponses: true})
			time.Sleep(3 * time.Second)
			c.platform.SetFaults(platform.Faults{})
		},
		"store down and owner killed": func(c *cell) {
			c.platform.SetFaults(platform.Faults{Down: true})
			c.killEntry(c.owner("izmir-a"))
			time.Sleep(4 * time.Second)
			c.platform.SetFaults(platform.Faults{})
		},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			c := startCell(t, threeDomains())
			key, _ := c.createTeam("kiln", teamCap)
			load := c.startLoadInEachDomain(key, 24, 120*time.Millisecond)
			c.awaitRunning("kiln", teamCap, recoveryLimit)
			injectFault(c)
			c.awaitRunning("kiln", teamCap, recoveryLimit)
			load.finish()
			c.checkCap("kiln", teamCap)
			c.checkNoOverfill()
			c.checkNoOverlap()
			c.checkFates(load, false)
		})
	}
}

// TestLoweredCapTakesEffect lowers the cap under load and raises it again. The number
// of running tasks must fall to the lower cap within 5 s, and stay within it for 2 s
// that begin one second later.
func TestLoweredCapTakesEffect(t *testing.T) {
	c := startCell(t, threeDomains())
	key, _ := c.createTeam("kiln", 12)
	load := c.startLoadInEachDomain(key, 24, 100*time.Millisecond)
	c.awaitRunning("kiln", 12, recoveryLimit)
	c.setCap(c.entryNames[0], "kiln", 4)
	loweredAt := time.Now()
	eventually(t, 5*time.Second, "running tasks within the lowered cap", func() error {
		if n := c.runningCount("kiln"); n > 4 {
			return fmt.Errorf("%d running", n)
		}
		return nil
	})
	t.Logf("lowered cap in force after %s", time.Since(loweredAt).Round(time.Millisecond))
	checkFrom := time.Now().Add(time.Second)
	for time.Now().Before(checkFrom.Add(2 * time.Second)) {
		if time.Now().After(checkFrom) {
			assert.Assert(t, c.runningCount("kiln") <= 4)
		}
		time.Sleep(5 * time.Millisecond)
	}
	c.setCap(c.entryNames[1], "kiln", 12)
	c.awaitRunning("kiln", 12, recoveryLimit)
	load.finish()
	c.checkCap("kiln", 12)
}
