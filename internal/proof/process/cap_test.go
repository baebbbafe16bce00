package process

import (
	"fmt"
	"net/http"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/citronbay/citronbay/internal/api/caller"
	"github.com/citronbay/citronbay/internal/api/operator"
	"github.com/citronbay/citronbay/internal/standin/platform"
)

// healLimit is the stated time in which the whole cap can be used again after
// all failures have healed.
const healLimit = 30 * time.Second

// contend begins load for one team through one entry of each domain.
func (c *cell) contend(key string, callers int, run time.Duration) *load {
	var entries []string
	for _, domain := range c.layout.domains {
		entries = append(entries, c.other(domain, ""))
	}
	return c.startLoad(key, "cap", entries, callers, caller.Request{
		Service:        service,
		Command:        "shade",
		Payload:        "clay",
		RunMillis:      run.Milliseconds(),
		DeadlineMillis: 8000,
	})
}

func (c *cell) awaitRunning(team string, n int, limit time.Duration) {
	c.t.Helper()
	eventually(c.t, limit, "the whole cap in use", func() error {
		if running := c.runningNow(team); running < n {
			return fmt.Errorf("%d of %d running", running, n)
		}
		return nil
	})
}

func (c *cell) setCap(entry, team string, teamCap int64) {
	c.t.Helper()
	var response operator.ChangeResponse
	assert.NilError(c.t, c.operate(entry, http.MethodPost, "/v1/operator/teams", operator.TeamRequest{
		Name: team,
		Cap:  &teamCap,
	}, &response))
}

func TestCapHoldsAcrossTheFleet(t *testing.T) {
	const teamCap = 9
	for name, strike := range map[string]func(c *cell){
		"no failure": func(*cell) {},
		"a domain cut off for longer than every lease": func(c *cell) {
			c.cutDomain("ankara-a", true, true)
			time.Sleep(c.taskLease() + 3*time.Second)
			c.cutDomain("ankara-a", false, true)
		},
		"an owner killed with units in hand": func(c *cell) {
			owner := c.owner("manisa-b")
			c.kill(owner)
			time.Sleep(2 * time.Second)
			c.start(owner)
		},
		"a frozen owner woken after its replacement": func(c *cell) {
			owner := c.owner("izmir-a")
			c.signal(owner, syscall.SIGSTOP)
			time.Sleep(4 * time.Second)
			c.signal(owner, syscall.SIGCONT)
		},
		"store answers lost": func(c *cell) {
			c.platform.SetFaults(platform.Faults{LoseWriteResponses: true})
			time.Sleep(3 * time.Second)
			c.platform.SetFaults(platform.Faults{})
		},
		"store down and an owner killed": func(c *cell) {
			c.platform.SetFaults(platform.Faults{Down: true})
			c.kill(c.owner("izmir-a"))
			time.Sleep(4 * time.Second)
			c.platform.SetFaults(platform.Faults{})
		},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			c := startCell(t, threeDomains())
			key, _ := c.team("kiln", teamCap)
			load := c.contend(key, 24, 120*time.Millisecond)
			c.awaitRunning("kiln", teamCap, healLimit)
			strike(c)
			c.awaitRunning("kiln", teamCap, healLimit)
			load.finish()
			c.checkCap("kiln", teamCap)
			c.checkFilled()
			c.checkNoOverlap()
			c.checkFates(load, false)
		})
	}
}

func TestLoweredCapComesIntoForce(t *testing.T) {
	c := startCell(t, threeDomains())
	key, _ := c.team("kiln", 12)
	load := c.contend(key, 24, 100*time.Millisecond)
	c.awaitRunning("kiln", 12, healLimit)
	c.setCap(c.order[0], "kiln", 4)
	lowered := time.Now()
	eventually(t, 5*time.Second, "the lowered cap", func() error {
		if n := c.runningNow("kiln"); n > 4 {
			return fmt.Errorf("%d running", n)
		}
		return nil
	})
	t.Logf("in force after %s", time.Since(lowered).Round(time.Millisecond))
	inForce := time.Now().Add(time.Second)
	for time.Now().Before(inForce.Add(2 * time.Second)) {
		if time.Now().After(inForce) {
			assert.Assert(t, c.runningNow("kiln") <= 4)
		}
		time.Sleep(5 * time.Millisecond)
	}
	c.setCap(c.order[1], "kiln", 12)
	c.awaitRunning("kiln", 12, healLimit)
	load.finish()
	c.checkCap("kiln", 12)
}
