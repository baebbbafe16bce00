package process

import (
	"errors"
	"fmt"
	"net/http"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/citronbay/citronbay/internal/api/caller"
	"github.com/citronbay/citronbay/internal/api/operator"
	"github.com/citronbay/citronbay/internal/standin/platform"
)

func (c *cell) usePreset(entry, name string) (operator.ChangeResponse, error) {
	var response operator.ChangeResponse
	err := c.operate(entry, http.MethodPost, "/v1/operator/presets/use", operator.PresetRequest{Name: name}, &response)
	return response, err
}

func (c *cell) presetAt(entry string) (string, error) {
	var cell operator.Cell
	err := c.operate(entry, http.MethodGet, "/v1/operator/presets", nil, &cell)
	return cell.InForce, err
}

func (c *cell) awaitPreset(entries []string, name string, limit time.Duration) {
	c.t.Helper()
	begun := time.Now()
	for _, entry := range entries {
		eventually(c.t, limit-time.Since(begun), "preset at "+entry, func() error {
			found, err := c.presetAt(entry)
			if err == nil && found != name {
				return fmt.Errorf("preset %s", found)
			}
			return err
		})
	}
	c.t.Logf("preset %s in force at %d entries after %s", name, len(entries), time.Since(begun).Round(time.Millisecond))
}

func TestPresetSwitchIsInForceEverywhere(t *testing.T) {
	for name, test := range map[string]struct {
		before func(c *cell)
		after  func(c *cell)
	}{
		"no failure": {},
		"watch dropped silently": {
			before: func(c *cell) { c.platform.SetFaults(platform.Faults{DropWatches: true}) },
		},
		"an older value is read": {
			before: func(c *cell) { c.platform.SetFaults(platform.Faults{DropWatches: true}) },
			after:  func(c *cell) { c.platform.SetFaults(platform.Faults{StaleReads: true}) },
		},
		"an entry is cut off from the store alone": {
			before: func(c *cell) { c.entries[c.order[3]].store.SetCut(true) },
		},
		"the store goes silent on open connections": {
			before: func(c *cell) {
				for _, e := range c.entries {
					e.store.SilenceConnections()
				}
			},
		},
		"an entry starts during an outage": {
			after: func(c *cell) {
				c.platform.SetFaults(platform.Faults{Down: true})
				c.kill(c.order[2])
				c.start(c.order[2])
				eventually(c.t, patience, "the new entry", func() error {
					_, err := c.presetAt(c.order[2])
					return err
				})
			},
		},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			c := startCell(t, threeDomains())
			_, err := c.usePreset(c.order[0], "ordinary")
			assert.NilError(t, err)
			if test.before != nil {
				test.before(c)
			}
			response, err := c.usePreset(c.order[0], "peak")
			assert.NilError(t, err)
			assert.Assert(t, response.Durable)
			if test.after != nil {
				test.after(c)
			}
			c.awaitPreset(c.order, "peak", changeLimit)
			until := time.Now().Add(4 * time.Second)
			for time.Now().Before(until) {
				for _, entry := range c.order {
					found, err := c.presetAt(entry)
					assert.NilError(t, err)
					assert.Equal(t, found, "peak", "%s went back", entry)
				}
				time.Sleep(50 * time.Millisecond)
			}
		})
	}
}

// TestRacingOperatorsLoseNoAcceptedChange lets two operators switch and grant
// at the same time through different entries while answers are lost.
func TestRacingOperatorsLoseNoAcceptedChange(t *testing.T) {
	c := startCell(t, threeDomains())
	c.team("kiln", 10)
	var racers sync.WaitGroup
	var mu sync.Mutex
	accepted := map[string]bool{}
	for i, entry := range []string{c.order[0], c.order[5]} {
		racers.Go(func() {
			for n := range 10 {
				response, err := c.usePreset(entry, []string{"ordinary", "peak", "maintenance"}[(i+n)%3])
				if err != nil {
					continue
				}
				mu.Lock()
				accepted[response.Change] = true
				mu.Unlock()
			}
		})
	}
	for n := range 10 {
		c.platform.SetFaults(platform.Faults{LoseWriteResponses: n%2 == 0})
		time.Sleep(100 * time.Millisecond)
	}
	c.platform.SetFaults(platform.Faults{})
	racers.Wait()
	assert.Assert(t, len(accepted) > 10, "%d changes were accepted", len(accepted))
	var last string
	eventually(t, changeLimit, "one preset everywhere", func() error {
		seen := map[string]bool{}
		for _, entry := range c.order {
			found, err := c.presetAt(entry)
			if err != nil {
				return err
			}
			seen[found] = true
			last = found
		}
		if len(seen) != 1 {
			return fmt.Errorf("presets %v", seen)
		}
		return nil
	})
	var audit []operator.AuditEntry
	assert.NilError(t, c.operate(c.order[1], http.MethodGet, "/v1/operator/audit", nil, &audit))
	inForce := ""
	for _, entry := range audit {
		if entry.Record.Action != "usePreset" {
			continue
		}
		delete(accepted, entry.Record.Change)
		assert.Assert(t, inForce == "" || entry.Record.From == inForce, "audit goes from %s, in force was %s", entry.Record.From, inForce)
		inForce = entry.Record.To
	}
	assert.Equal(t, inForce, last)
	assert.Equal(t, len(accepted), 0, "accepted changes without a record: %v", accepted)
}

// newStarts returns how many tasks began on the machine since the time.
func (c *cell) newStarts(m *machine, since time.Time) int {
	n := 0
	for _, span := range m.state.Observe().Spans {
		if span.Begin >= since.UnixMilli() {
			n++
		}
	}
	return n
}

// leaveLimit is the stated time after which a leaving upstream gets no work.
const leaveLimit = 3 * time.Second

func TestLeavingUpstreamGetsNoNewWork(t *testing.T) {
	for name, leave := range map[string]func(c *cell, m *machine) error{
		"listed as leaving": func(c *cell, m *machine) error {
			m.vm.State = "leaving"
			c.platform.SetVM(m.vm)
			return nil
		},
		"gone from the list": func(c *cell, m *machine) error {
			m.vm.State = ""
			c.platform.SetVM(m.vm)
			return nil
		},
		"drained by an operator with the list frozen": func(c *cell, m *machine) error {
			c.platform.SetFaults(platform.Faults{FreezeDirectory: true})
			var response operator.ChangeResponse
			err := c.operate(c.order[0], http.MethodPost, "/v1/operator/drains", operator.DrainRequest{Upstream: m.vm.Name}, &response)
			if err == nil && !response.Durable {
				return errors.New("not durable")
			}
			return err
		},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			c := startCell(t, oneDomain())
			key, _ := c.team("kiln", 100)
			load := c.contend(key, 12, 30*time.Millisecond)
			client := c.client(c.order[0], key)
			job := c.fill(client, 400, 50*time.Millisecond)
			runner, worker := c.upstreams["izmir-a-runner-0"], c.upstreams["izmir-a-worker-0"]
			eventually(t, patience, "work at both", func() error {
				if c.newStarts(runner, time.Time{}) == 0 || c.newStarts(worker, time.Time{}) == 0 {
					return errors.New("none yet")
				}
				return nil
			})
			assert.NilError(t, leave(c, runner))
			assert.NilError(t, leave(c, worker))
			over := time.Now().Add(leaveLimit)
			time.Sleep(leaveLimit + 2*time.Second)
			assert.Equal(t, c.newStarts(runner, over), 0)
			assert.Equal(t, c.newStarts(worker, over), 0)
			load.finish()
			ended := awaitJob(t, client, job, patience)
			assert.Equal(t, ended.Fate, caller.FateCompleted, ended.Reason)
			assert.Equal(t, len(load.broken), 0, load.why(load.broken))
			assert.Equal(t, len(load.fates[caller.FateUnknown]), 0)
			c.checkNoOverlap()
		})
	}
}
