package platform

import (
	"encoding/json"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/citronbay/citronbay/internal/api/operator"
	"github.com/citronbay/citronbay/internal/api/platform"
)

func teamKeyValue(t rapid.TB, name string, revision, teamCap int64, keys ...operator.Key) platform.KeyValue {
	value, err := json.Marshal(platform.Document[operator.Team]{
		Body: operator.Team{
			Name: name,
			Cap:  teamCap,
			Keys: keys,
		},
	})
	assert.NilError(t, err)
	return platform.KeyValue{
		Key:      operator.TeamPrefix + name,
		Value:    value,
		Revision: revision,
	}
}

// TestRegistryNeverReverts checks that values applied late, repeatedly and in any
// order never replace a higher revision of the same key, and that a second
// registry that pulls the newer keys and values ends with the same digest.
func TestRegistryNeverReverts(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		registry := NewRegistry()
		highest := map[string]int64{}
		for range rapid.IntRange(1, 50).Draw(r, "entries") {
			name := rapid.SampledFrom([]string{"kiln", "tally"}).Draw(r, "team")
			revision := rapid.Int64Range(1, 20).Draw(r, "revision")
			registry.Apply(teamKeyValue(r, name, revision, revision))
			highest[name] = max(highest[name], revision)
			team, ok := registry.Team(name)
			assert.Assert(r, ok)
			assert.Equal(r, team.Cap, highest[name])
		}
		// A second registry that applies the newer keys and values has the same content.
		other := NewRegistry()
		other.Apply(registry.Newer(other.Revisions())...)
		assert.Equal(r, other.Digest(), registry.Digest())
		assert.Equal(r, len(registry.Newer(other.Revisions())), 0)
	})
}

func TestWithdrawnKeysAreNeverRemoved(t *testing.T) {
	registry := NewRegistry()
	assert.Equal(t, registry.Withdraw("a", "b"), 2)
	assert.Equal(t, registry.Withdraw("a"), 0)
	registry.Apply(teamKeyValue(t, "kiln", 5, 1, operator.Key{ID: "a"}, operator.Key{
		ID:        "c",
		Withdrawn: true,
	}))
	for _, id := range []string{"a", "b", "c"} {
		assert.Assert(t, registry.IsWithdrawn(id), id)
	}
	assert.Assert(t, !registry.IsWithdrawn("d"))
	assert.Equal(t, registry.Digest().Withdrawn, 3)
}

func TestRegistryIgnoresUndecodableEntries(t *testing.T) {
	registry := NewRegistry()
	for name, kv := range map[string]platform.KeyValue{
		"broken value": {
			Key:      operator.TeamPrefix + "kiln",
			Value:    []byte("{"),
			Revision: 3,
		},
		"unknown key": {
			Key:      "elsewhere/kiln",
			Value:    []byte("{}"),
			Revision: 4,
		},
	} {
		assert.Equal(t, registry.Apply(kv), 0, name)
	}
	assert.Equal(t, registry.Preset().AdmitJobs, true)
}

func TestRelistIntervalBoundsReadRate(t *testing.T) {
	for name, test := range map[string]struct {
		bytes int
		want  time.Duration
	}{
		"small":  {100, minRelistInterval},
		"medium": {40 << 10, 10 * time.Second},
		"large":  {10 << 20, maxRelistInterval},
	} {
		t.Run(name, func(t *testing.T) {
			listing := platform.Listing{KeyValues: []platform.KeyValue{{Value: make([]byte, test.bytes)}}}
			assert.Equal(t, relistInterval(listing), test.want)
		})
	}
}
