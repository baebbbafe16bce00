package process

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/citronbay/citronbay/internal/api/caller"
	"github.com/citronbay/citronbay/internal/api/operator"
	"github.com/citronbay/citronbay/internal/entry/settings"
	"github.com/citronbay/citronbay/internal/standin/platform"
)

// changeLimit is the stated time in which changes are in force everywhere that
// can be reached.
const changeLimit = 5 * time.Second

func (c *cell) lookup(entry, key string) (caller.Answer, error) {
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
	defer cancel()
	return c.client(entry, key).Request(ctx, caller.Request{
		Service: service,
		Command: "shade",
		Payload: "clay",
	})
}

// refusedKey returns nil when the entry refuses the key.
func (c *cell) refusedKey(entry, key string) error {
	answer, err := c.lookup(entry, key)
	var status *caller.StatusError
	if errors.As(err, &status) && status.Status == http.StatusUnauthorized {
		return nil
	}
	return fmt.Errorf("%s took the key: fate %q, error %w", entry, answer.Fate, err)
}

func (c *cell) checkServed(entry, key string) {
	c.t.Helper()
	answer, err := c.lookup(entry, key)
	assert.NilError(c.t, err)
	assert.Equal(c.t, answer.Fate, caller.FateCompleted, "%s: %s", entry, answer.Reason)
}

func TestWithdrawnKeyStopsWorking(t *testing.T) {
	for name, faults := range map[string]platform.Faults{
		"store up":      {},
		"store down":    {Down: true},
		"store slow":    {DelayMillis: 3000},
		"answers lost":  {LoseWriteResponses: true},
		"watch dropped": {DropWatches: true},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			c := startCell(t, threeDomains())
			key, id := c.team("kiln", 30)
			other, _ := c.team("tally", 30)
			for _, entry := range c.order {
				c.checkServed(entry, key)
			}
			c.platform.SetFaults(faults)
			begun := time.Now()
			var response operator.ChangeResponse
			assert.NilError(t, c.operate(c.order[0], http.MethodDelete, "/v1/operator/teams/kiln/keys/"+id, nil, &response))
			assert.Equal(t, len(response.Unreached), 0)
			for _, entry := range c.order {
				eventually(t, changeLimit-time.Since(begun), "withdrawal at "+entry, func() error {
					return c.refusedKey(entry, key)
				})
			}
			t.Logf("refused everywhere after %s", time.Since(begun).Round(time.Millisecond))
			c.checkServed(c.order[0], other)

			// An entry that starts anew, with the store still failing, learns it
			// from its peers; the store records it once it answers.
			c.kill(c.order[1])
			c.start(c.order[1])
			eventually(t, patience, "withdrawal at the new entry", func() error {
				return c.refusedKey(c.order[1], key)
			})
			c.platform.SetFaults(platform.Faults{})
			eventually(t, patience, "withdrawal in the store", func() error {
				var audit []operator.AuditEntry
				if err := c.operate(c.order[0], http.MethodGet, "/v1/operator/audit", nil, &audit); err != nil {
					return err
				}
				for _, entry := range audit {
					if entry.Record.Action == "withdrawKey" && entry.Record.From == id {
						return nil
					}
				}
				return errors.New("no record")
			})
		})
	}
}

func TestIsolatedDomainTreatsKeysAsSet(t *testing.T) {
	for name, refuse := range map[string]bool{
		settings.IsolatedAccept: false,
		settings.IsolatedRefuse: true,
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			l := threeDomains()
			l.isolated = name
			c := startCell(t, l)
			key, _ := c.team("kiln", 30)
			entry := c.other("ankara-a", "")
			c.checkServed(entry, key)
			c.cutDomain("ankara-a", true, true)
			if !refuse {
				c.checkServed(entry, key)
				return
			}
			eventually(t, 4*changeLimit, "refusal", func() error {
				_, err := c.lookup(entry, key)
				var status *caller.StatusError
				if errors.As(err, &status) && status.Status == http.StatusServiceUnavailable {
					return nil
				}
				return fmt.Errorf("served: %w", err)
			})
			c.cutDomain("ankara-a", false, true)
			eventually(t, patience, "service after the cut", func() error {
				_, err := c.lookup(entry, key)
				return err
			})
		})
	}
}

func TestCutOffDomainGoesOnServing(t *testing.T) {
	c := startCell(t, threeDomains())
	key, _ := c.team("kiln", 30)
	for _, domain := range c.layout.domains {
		c.checkServed(c.other(domain, ""), key)
	}
	for _, domain := range c.layout.domains {
		c.cutDomain(domain, true, true)
	}
	time.Sleep(c.taskLease() + 2*time.Second)
	for _, domain := range c.layout.domains {
		entry := c.other(domain, "")
		c.checkServed(entry, key)
		client := c.client(entry, key)
		id := c.fill(client, 8, 50*time.Millisecond)
		ended := awaitJob(t, client, id, patience)
		assert.Equal(t, ended.Fate, caller.FateCompleted, ended.Reason)
	}
	c.checkCap("kiln", 30)
}

// TestOnlyOpenQueuesTakeWorkWithoutKey opens a service's queue and closes it.
func TestOnlyOpenQueuesTakeWorkWithoutKey(t *testing.T) {
	t.Parallel()
	c := startCell(t, oneDomain())
	key, _ := c.team("kiln", 30)
	c.team("guests", 5)
	assert.NilError(t, c.refusedWithout(c.order[0]))
	for _, entry := range c.order {
		assert.NilError(t, c.refusedKey(entry, "cb.kiln.x.y"))
		assert.NilError(t, c.refusedKey(entry, key+"x"))
	}
	var response operator.ChangeResponse
	assert.NilError(t, c.operate(c.order[0], http.MethodPost, "/v1/operator/queues", operator.OpenRequest{
		Service: service,
		Team:    "guests",
	}, &response))
	for _, entry := range c.order {
		assert.Assert(t, c.refusedWithout(entry) != nil)
		assert.NilError(t, c.refusedKey(entry, "cb.kiln.x.y"))
	}
	for _, span := range c.spans() {
		assert.Equal(t, span.Team, "guests")
	}
	assert.NilError(t, c.operate(c.order[1], http.MethodPost, "/v1/operator/queues", operator.OpenRequest{Service: service}, &response))
	for _, entry := range c.order {
		assert.NilError(t, c.refusedWithout(entry))
	}
}

// refusedWithout returns nil when the entry refuses a request without a key.
func (c *cell) refusedWithout(entry string) error {
	body := strings.NewReader(`{"service":"` + service + `"}`)
	response, err := http.Post("http://"+c.entries[entry].http+"/v1/requests", "application/json", body)
	if err != nil {
		return err
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode != http.StatusUnauthorized {
		return fmt.Errorf("status %d", response.StatusCode)
	}
	return nil
}
