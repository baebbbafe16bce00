package platform

import (
	"encoding/binary"
	"strings"
	"sync"

	"github.com/cespare/xxhash/v2"

	"github.com/citronbay/citronbay/internal/api/operator"
	"github.com/citronbay/citronbay/internal/api/platform"
)

// Digest summarizes the revisions that a registry holds, so that two entries can
// detect whether their copies differ.
type Digest struct {
	_ struct{} `cbor:",toarray"`
	// Config is the sum, modulo 2^64, of the hashes of store key and revision of the
	// documents of the teams, with their API keys, and of the cell, with the presets.
	Config uint64 `json:"config"`
	// Units is the same sum over the documents that divide the teams' caps among the
	// shards.
	Units uint64 `json:"units"`
	// Withdrawn is the number of API keys known to be withdrawn.
	Withdrawn int `json:"withdrawn"`
	// Revision is the highest revision of all store keys held.
	Revision int64 `json:"revision"`
}

// Registry is an entry's copy of the operators' agreement. It replaces a document
// only by one of a higher revision. It is safe for concurrent use. The slices and
// maps in the documents that it returns are shared and must not be changed. Create it
// with NewRegistry.
type Registry struct {
	mu        sync.RWMutex
	keyValues map[string]platform.KeyValue
	teams     map[string]operator.Team
	units     map[string]operator.Units
	cell      operator.Cell
	withdrawn map[string]bool
	digest    Digest
	listeners []func()
}

// NewRegistry returns a registry with the default presets and no teams.
func NewRegistry() *Registry {
	return &Registry{
		keyValues: map[string]platform.KeyValue{},
		teams:     map[string]operator.Team{},
		units:     map[string]operator.Units{},
		cell:      operator.DefaultCell(),
		withdrawn: map[string]bool{},
	}
}

// OnChange registers a function that Apply and Withdraw call after each change.
// OnChange must be called before other goroutines use the registry.
func (r *Registry) OnChange(listener func()) {
	r.listeners = append(r.listeners, listener)
}

// Apply updates the registry with those store keys whose revision is higher than the
// one held and returns their number. Unknown keys, and keys whose value cannot be
// decoded, are ignored.
func (r *Registry) Apply(keyValues ...platform.KeyValue) int {
	applied := 0
	r.mu.Lock()
	for _, kv := range keyValues {
		if r.apply(kv) {
			applied++
		}
	}
	r.mu.Unlock()
	if applied > 0 {
		r.notify()
	}
	return applied
}

func (r *Registry) notify() {
	for _, listener := range r.listeners {
		listener()
	}
}

func (r *Registry) apply(kv platform.KeyValue) bool {
	current, known := r.keyValues[kv.Key]
	if known && kv.Revision <= current.Revision {
		return false
	}
	if !r.applyDocument(kv) {
		return false
	}
	r.keyValues[kv.Key] = kv
	sum := &r.digest.Config
	if strings.HasPrefix(kv.Key, operator.UnitsPrefix) {
		sum = &r.digest.Units
	}
	if known {
		*sum -= hashKeyAndRevision(current)
	}
	*sum += hashKeyAndRevision(kv)
	r.digest.Revision = max(r.digest.Revision, kv.Revision)
	return true
}

func (r *Registry) applyDocument(kv platform.KeyValue) bool {
	switch {
	case kv.Key == operator.CellKey:
		document, err := platform.Decode[operator.Cell](kv)
		if err != nil {
			return false
		}
		r.cell = document.Body
	case strings.HasPrefix(kv.Key, operator.TeamPrefix):
		return r.applyTeam(kv)
	case strings.HasPrefix(kv.Key, operator.UnitsPrefix):
		document, err := platform.Decode[operator.Units](kv)
		if err != nil {
			return false
		}
		r.units[strings.TrimPrefix(kv.Key, operator.UnitsPrefix)] = document.Body
	default:
		return false
	}
	return true
}

func (r *Registry) applyTeam(kv platform.KeyValue) bool {
	document, err := platform.Decode[operator.Team](kv)
	if err != nil {
		return false
	}
	r.teams[strings.TrimPrefix(kv.Key, operator.TeamPrefix)] = document.Body
	for _, key := range document.Body.Keys {
		if key.Withdrawn {
			r.withdrawn[key.ID] = true
		}
	}
	r.digest.Withdrawn = len(r.withdrawn)
	return true
}

func hashKeyAndRevision(kv platform.KeyValue) uint64 {
	return xxhash.Sum64(binary.AppendVarint([]byte(kv.Key), kv.Revision))
}

// Withdraw adds the ids to the set of withdrawn API keys, from which none is ever
// removed, and returns how many were new.
func (r *Registry) Withdraw(ids ...string) int {
	r.mu.Lock()
	before := len(r.withdrawn)
	for _, id := range ids {
		r.withdrawn[id] = true
	}
	r.digest.Withdrawn = len(r.withdrawn)
	added := len(r.withdrawn) - before
	r.mu.Unlock()
	if added > 0 {
		r.notify()
	}
	return added
}

// Withdrawn returns the ids of all API keys known to be withdrawn, in no order.
func (r *Registry) Withdrawn() []string {
	r.mu.RLock()
	defer r.mu.RUnlock()
	ids := make([]string, 0, len(r.withdrawn))
	for id := range r.withdrawn {
		ids = append(ids, id)
	}
	return ids
}

// UnrecordedWithdrawals returns the API keys that are known to be withdrawn but not
// marked so in their team's document, as a map from the key's id to the team's name.
func (r *Registry) UnrecordedWithdrawals() map[string]string {
	r.mu.RLock()
	defer r.mu.RUnlock()
	unrecorded := map[string]string{}
	for name, team := range r.teams {
		for _, key := range team.Keys {
			if !key.Withdrawn && r.withdrawn[key.ID] {
				unrecorded[key.ID] = name
			}
		}
	}
	return unrecorded
}

// IsWithdrawn reports whether the API key is known to be withdrawn.
func (r *Registry) IsWithdrawn(id string) bool {
	r.mu.RLock()
	defer r.mu.RUnlock()
	return r.withdrawn[id]
}

// Digest returns the digest of the store keys and withdrawn API keys held.
func (r *Registry) Digest() Digest {
	r.mu.RLock()
	defer r.mu.RUnlock()
	return r.digest
}

// Revisions returns the revision of each store key held, by key.
func (r *Registry) Revisions() map[string]int64 {
	r.mu.RLock()
	defer r.mu.RUnlock()
	revisions := make(map[string]int64, len(r.keyValues))
	for key, kv := range r.keyValues {
		revisions[key] = kv.Revision
	}
	return revisions
}

// Newer returns the store keys held at higher revisions than those given by key, with
// their values; a key that is absent counts as revision 0.
func (r *Registry) Newer(revisions map[string]int64) []platform.KeyValue {
	r.mu.RLock()
	defer r.mu.RUnlock()
	var newer []platform.KeyValue
	for key, kv := range r.keyValues {
		if kv.Revision > revisions[key] {
			newer = append(newer, kv)
		}
	}
	return newer
}

// KeyValues returns all store keys held, with their values.
func (r *Registry) KeyValues() []platform.KeyValue {
	return r.Newer(nil)
}

// Team returns the team with the name, and false if it does not exist.
func (r *Registry) Team(name string) (operator.Team, bool) {
	r.mu.RLock()
	defer r.mu.RUnlock()
	team, ok := r.teams[name]
	return team, ok
}

// Teams returns all teams by name, in a new map.
func (r *Registry) Teams() map[string]operator.Team {
	r.mu.RLock()
	defer r.mu.RUnlock()
	teams := make(map[string]operator.Team, len(r.teams))
	for name, team := range r.teams {
		teams[name] = team
	}
	return teams
}

// Units returns the division of the team's cap among the shards; zero if the team
// has none.
func (r *Registry) Units(team string) operator.Units {
	r.mu.RLock()
	defer r.mu.RUnlock()
	return r.units[team]
}

// Cell returns the part of the agreement that is not specific to a team: the presets
// and the name of the one in force, the drained upstreams, and the services that
// accept requests without an API key.
func (r *Registry) Cell() operator.Cell {
	r.mu.RLock()
	defer r.mu.RUnlock()
	return r.cell
}

// Preset returns the parameters of the preset in force.
func (r *Registry) Preset() operator.Preset {
	r.mu.RLock()
	defer r.mu.RUnlock()
	return r.cell.Presets[r.cell.PresetInForce]
}
