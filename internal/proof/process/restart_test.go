package process

import (
	"os"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// TestRestartedEntryHearsOwner guards against an entry that takes over its shard after a restart, although
// the owner is alive, because the owner connects to it only after a pause for calls that have failed.
func TestRestartedEntryHearsOwner(t *testing.T) {
	t.Parallel()
	const (
		downTime = 4600 * time.Millisecond // after the second failed connection, when the pause is longest
		warmUp   = 3 * time.Second
	)
	c := startCell(t, oneDomain())
	c.createTeam("kiln", 100)
	owner := c.owner("izmir-a")
	other := c.otherEntry("izmir-a", owner)
	for range 3 {
		c.killEntry(other)
		time.Sleep(downTime)
		c.startEntry(other)
		time.Sleep(warmUp)
		log, err := os.ReadFile(c.entries[other].logFile)
		assert.NilError(t, err)
		assert.Assert(t, !strings.Contains(string(log), "shard taken"))
	}
	assert.Equal(t, c.owner("izmir-a"), owner)
}
