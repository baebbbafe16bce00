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

// changeLimit is the specified time within which a change is in force at all
// reachable entries.
const changeLimit = 5 * time.Second

func (c *cell) sendRequest(entry, key string) (caller.Answer, error) {
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
	defer cancel()
	return c.client(entry, key).Request(ctx, caller.Request{
		Service: service,
		Command: "shade",
		Payload: "clay",
	})
}

// checkKeyRefused returns nil if the entry rejects the key as unauthorized.
func (c *cell) checkKeyRefused(entry, key string) error {
	answer, err := c.sendRequest(entry, key)
	var status *caller.StatusError
	if errors.As(err, &status) && status.Status == http.StatusUnauthorized {
		return nil
	}
	return fmt.Errorf("%s did not reject the key: fate %q, error %w", entry, answer.Fate, err)
}

// checkServed fails unless the entry completes a request with the key.
func (c *cell) checkServed(entry, key string) {
	c.t.Helper()
	answer, err := c.sendRequest(entry, key)
	assert.NilError(c.t, err)
	assert.Equal(c.t, answer.Fate, caller.FateCompleted, "%s: %s", entry, answer.Reason)
}

// TestWithdrawnKeyIsRefused guards against an entry that still accepts a withdrawn
// key, while the store fails in different ways.
func TestWithdrawnKeyIsRefused(t *testing.T) {
	for name, faults := range map[string]platform.Faults{
		"store up":           {},
		"store down":         {Down: true},
		"store slow":         {DelayMillis: 3000},
		"store answers lost": {LoseWriteResponses: true},
		"watch events lost":  {DropWatches: true},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			c := startCell(t, threeDomains())
			key, id := c.createTeam("kiln", 30)
			otherKey, _ := c.createTeam("tally", 30)
			for _, entry := range c.entryNames {
				c.checkServed(entry, key)
			}
			c.platform.SetFaults(faults)
			start := time.Now()
			var response operator.ChangeResponse
			assert.NilError(t, c.callOperator(c.entryNames[0], http.MethodDelete, "/v1/operator/teams/kiln/keys/"+id, nil, &response))
			assert.Equal(t, len(response.Unreached), 0)
			for _, entry := range c.entryNames {
				eventually(t, changeLimit-time.Since(start), "withdrawal at "+entry, func() error {
					return c.checkKeyRefused(entry, key)
				})
			}
			t.Logf("key rejected at all entries after %s", time.Since(start).Round(time.Millisecond))
			c.checkServed(c.entryNames[0], otherKey)

			// An entry that restarts while the store still fails learns of the
			// withdrawal from its peers; the store records it once it answers again.
			c.killEntry(c.entryNames[1])
			c.startEntry(c.entryNames[1])
			eventually(t, defaultTimeout, "withdrawal at the restarted entry", func() error {
				return c.checkKeyRefused(c.entryNames[1], key)
			})
			c.platform.SetFaults(platform.Faults{})
			eventually(t, defaultTimeout, "withdrawal in the store", func() error {
				var audit []operator.AuditEntry
				if err := c.callOperator(c.entryNames[0], http.MethodGet, "/v1/operator/audit", nil, &audit); err != nil {
					return err
				}
				for _, a := range audit {
					if a.Record.Action == "withdrawKey" && a.Record.From == id {
						return nil
					}
				}
				return errors.New("no audit record")
			})
		})
	}
}

// TestIsolatedDomainFollowsKeySetting cuts a domain off from the other domains and the
// platform, and checks that it accepts or rejects keys as its setting isolatedKeys says.
func TestIsolatedDomainFollowsKeySetting(t *testing.T) {
	for name, refuse := range map[string]bool{
		settings.IsolatedAccept: false,
		settings.IsolatedRefuse: true,
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			l := threeDomains()
			l.isolatedKeys = name
			c := startCell(t, l)
			key, _ := c.createTeam("kiln", 30)
			entry := c.otherEntry("ankara-a", "")
			c.checkServed(entry, key)
			c.setDomainPartitioned("ankara-a", true, true)
			if !refuse {
				c.checkServed(entry, key)
				return
			}
			eventually(t, 4*changeLimit, "refusal", func() error {
				_, err := c.sendRequest(entry, key)
				var status *caller.StatusError
				if errors.As(err, &status) && status.Status == http.StatusServiceUnavailable {
					return nil
				}
				return fmt.Errorf("request not refused: %w", err)
			})
			c.setDomainPartitioned("ankara-a", false, true)
			eventually(t, defaultTimeout, "answers after the partition", func() error {
				_, err := c.sendRequest(entry, key)
				return err
			})
		})
	}
}

// TestPartitionedDomainsKeepServing cuts all domains off from each other and from the
// platform for longer than the task lease: each must still complete requests and
// jobs, and the cap must hold.
func TestPartitionedDomainsKeepServing(t *testing.T) {
	c := startCell(t, threeDomains())
	key, _ := c.createTeam("kiln", 30)
	for _, domain := range c.layout.domains {
		c.checkServed(c.otherEntry(domain, ""), key)
	}
	for _, domain := range c.layout.domains {
		c.setDomainPartitioned(domain, true, true)
	}
	time.Sleep(c.taskLease() + 2*time.Second)
	for _, domain := range c.layout.domains {
		entry := c.otherEntry(domain, "")
		c.checkServed(entry, key)
		client := c.client(entry, key)
		id := c.submitBatch(client, 8, 50*time.Millisecond)
		ended := awaitJob(t, client, id, defaultTimeout)
		assert.Equal(t, ended.Fate, caller.FateCompleted, ended.Reason)
	}
	c.checkCap("kiln", 30)
}

// TestOnlyOpenQueuesAcceptWorkWithoutKey sends requests without a key before a
// service's queue is opened, while it is open and after it is closed.
func TestOnlyOpenQueuesAcceptWorkWithoutKey(t *testing.T) {
	t.Parallel()
	c := startCell(t, oneDomain())
	key, _ := c.createTeam("kiln", 30)
	c.createTeam("guests", 5)
	assert.NilError(t, c.checkRefusedWithoutKey(c.entryNames[0]))
	for _, entry := range c.entryNames {
		assert.NilError(t, c.checkKeyRefused(entry, "cb.kiln.x.y"))
		assert.NilError(t, c.checkKeyRefused(entry, key+"x"))
	}
	var response operator.ChangeResponse
	assert.NilError(t, c.callOperator(c.entryNames[0], http.MethodPost, "/v1/operator/queues", operator.OpenRequest{
		Service: service,
		Team:    "guests",
	}, &response))
	for _, entry := range c.entryNames {
		assert.Assert(t, c.checkRefusedWithoutKey(entry) != nil)
		assert.NilError(t, c.checkKeyRefused(entry, "cb.kiln.x.y"))
	}
	for _, span := range c.spans() {
		assert.Equal(t, span.Team, "guests")
	}
	assert.NilError(t, c.callOperator(c.entryNames[1], http.MethodPost, "/v1/operator/queues", operator.OpenRequest{Service: service}, &response))
	for _, entry := range c.entryNames {
		assert.NilError(t, c.checkRefusedWithoutKey(entry))
	}
}

// checkRefusedWithoutKey returns nil if the entry rejects a request without a key
// as unauthorized.
func (c *cell) checkRefusedWithoutKey(entry string) error {
	body := strings.NewReader(`{"service":"` + service + `"}`)
	response, err := http.Post("http://"+c.entries[entry].callerAddress+"/v1/requests", "application/json", body)
	if err != nil {
		return err
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode != http.StatusUnauthorized {
		return fmt.Errorf("status %d", response.StatusCode)
	}
	return nil
}
