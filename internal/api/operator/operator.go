package operator

import (
	"time"

	"github.com/citronbay/citronbay/internal/api/platform"
)

// Prefixes and keys of the agreement in the platform's store.
const (
	// ConfigPrefix is the prefix of all keys of the agreement; every entry watches it.
	ConfigPrefix = "config/"
	// TeamPrefix, followed by the team's name, is the key of a Team document.
	TeamPrefix = ConfigPrefix + "team/"
	// UnitsPrefix, followed by the team's name, is the key of a Units document.
	UnitsPrefix = ConfigPrefix + "units/"
	// CellKey is the key of the Cell document.
	CellKey = ConfigPrefix + "cell"
)

// maxAuditRecords limits the audit trail of a document, which drops the oldest
// records first.
const maxAuditRecords = 200

// Record is one change in the audit trail. It is part of the document that it changes,
// so the record and the change are one write and have the same revision. Operator is
// "another entry" if the entry that wrote the change does not know the operator's name.
// Entry is the name of that entry, and Change the id of the change. Object names what
// was changed; From and To are the old and the new value as text.
type Record struct {
	Time     time.Time `json:"time"`
	Operator string    `json:"operator"`
	Entry    string    `json:"entry"`
	Action   string    `json:"action"`
	Object   string    `json:"object"`
	From     string    `json:"from,omitempty"`
	To       string    `json:"to,omitempty"`
	Change   string    `json:"change"`
}

// Trail is the audit trail of one document, with the oldest record first.
type Trail []Record

// With returns a copy of the trail with the record appended. It keeps only the last
// 200 records.
func (t Trail) With(record Record) Trail {
	extended := append(append(Trail{}, t...), record)
	if excess := len(extended) - maxAuditRecords; excess > 0 {
		extended = extended[excess:]
	}
	return extended
}

// Key is an API key of a team's callers. Hash is the SHA-256 of the key's secret, which
// is not stored. A key with Withdrawn set is rejected.
type Key struct {
	ID        string    `json:"id"`
	Hash      []byte    `json:"hash"`
	Granted   time.Time `json:"granted"`
	Withdrawn bool      `json:"withdrawn,omitempty"`
}

// Team is a team's part of the agreement.
type Team struct {
	Name string `json:"name"`
	// Share is the team's weight in the fair sharing of a fleet that is full.
	Share int64 `json:"share"`
	// Cap is the maximum number of the team's tasks that run at the same time in
	// all shards together.
	Cap int64 `json:"cap"`
	// CapRevision increases with each change of the cap.
	CapRevision int64 `json:"capRevision"`
	Keys        []Key `json:"keys,omitempty"`
	Audit       Trail `json:"audit,omitempty"`
}

// WithCap returns the team with the given cap. It increases the cap's revision if
// the cap changes or has none yet.
func (t Team) WithCap(maxTasks int64) Team {
	if t.Cap != maxTasks || t.CapRevision == 0 {
		t.CapRevision++
	}
	t.Cap = maxTasks
	return t
}

// WithKey returns the team with the key added. The key replaces one with the same
// id.
func (t Team) WithKey(key Key) Team {
	keys := make([]Key, 0, len(t.Keys)+1)
	for _, existing := range t.Keys {
		if existing.ID != key.ID {
			keys = append(keys, existing)
		}
	}
	t.Keys = append(keys, key)
	return t
}

// WithAudit returns the team with the record added to its audit trail.
func (t Team) WithAudit(record Record) Team {
	t.Audit = t.Audit.With(record)
	return t
}

// Preset is a set of parameters of the scheduling policy. The audit trail stores its
// field names, since it holds presets as printed by %+v; do not rename them.
type Preset struct {
	// CrossRegion allows work to go to another region when its own is full.
	CrossRegion bool `json:"crossRegion"`
	// AdmitLow admits work with the urgency low.
	AdmitLow bool `json:"admitLow"`
	// AdmitJobs admits new jobs.
	AdmitJobs bool `json:"admitJobs"`
	// MaxQueue is the maximum length of a shard's queue of requests, and of its
	// queue of the tasks of jobs.
	MaxQueue int `json:"maxQueue"`
	// RetryPercent is the number of retries that 100 requests add to the retry
	// budget.
	RetryPercent int `json:"retryPercent"`
}

// Cell is the part of the agreement that is not specific to a team: the presets, of
// which the one named PresetInForce is in force, drained upstreams and open services.
type Cell struct {
	PresetInForce string            `json:"inForce"`
	Presets       map[string]Preset `json:"presets"`
	// Drained lists the names of the upstreams that get no new work.
	Drained []string `json:"drained,omitempty"`
	// Open lists the services that accept requests without an API key. The value
	// is the team that such requests are charged to.
	Open  map[string]string `json:"open,omitempty"`
	Audit Trail             `json:"audit,omitempty"`
}

// WithOpen returns the cell with the service open to requests without an API key,
// which are charged to the team. An empty team closes the service to them.
func (c Cell) WithOpen(service, team string) Cell {
	open := map[string]string{}
	for other, otherTeam := range c.Open {
		open[other] = otherTeam
	}
	open[service] = team
	if team == "" {
		delete(open, service)
	}
	c.Open = open
	return c
}

// WithDrained returns the cell with the upstream added to the drained ones, or
// removed from them.
func (c Cell) WithDrained(upstream string, drained bool) Cell {
	names := make([]string, 0, len(c.Drained)+1)
	for _, name := range c.Drained {
		if name != upstream {
			names = append(names, name)
		}
	}
	if drained {
		names = append(names, upstream)
	}
	c.Drained = names
	return c
}

// WithPreset returns the cell with the named preset added or replaced.
func (c Cell) WithPreset(name string, preset Preset) Cell {
	presets := map[string]Preset{}
	for other, value := range c.Presets {
		presets[other] = value
	}
	presets[name] = preset
	c.Presets = presets
	return c
}

// WithAudit returns the cell with the record added to its audit trail.
func (c Cell) WithAudit(record Record) Cell {
	c.Audit = c.Audit.With(record)
	return c
}

// DefaultCell returns a cell with the presets ordinary, peak and maintenance, of which
// ordinary is in force.
func DefaultCell() Cell {
	ordinary := Preset{
		CrossRegion:  true,
		AdmitLow:     true,
		AdmitJobs:    true,
		MaxQueue:     20000,
		RetryPercent: 10,
	}
	peak := ordinary
	peak.AdmitLow = false
	maintenance := ordinary
	maintenance.AdmitJobs = false
	return Cell{
		PresetInForce: "ordinary",
		Presets: map[string]Preset{
			"ordinary":    ordinary,
			"peak":        peak,
			"maintenance": maintenance,
		},
	}
}

// Units divides a team's cap among the shards. A shard may run one task of the team
// for each unit that it holds.
type Units struct {
	// Held is the number of units that each shard holds, by shard.
	Held map[string]int64 `json:"held"`
	// Terms is, by shard, the term of the newest owner of the shard that has written
	// the shard's number of units. It is a fencing token: a claim for the shard, or
	// a transfer from it, in a lower term is rejected.
	Terms map[string]int64 `json:"terms"`
	// Cap and CapRevision are the team's cap, and its revision, under which units
	// were last claimed or confirmed.
	Cap         int64 `json:"cap"`
	CapRevision int64 `json:"capRevision"`
}

// Sum returns the number of units held by all shards together.
func (u Units) Sum() int64 {
	var sum int64
	for _, held := range u.Held {
		sum += held
	}
	return sum
}

// With returns a copy of the units with the shard's number of units and its term
// set to the given values.
func (u Units) With(shard string, held, term int64) Units {
	next := Units{
		Held:        map[string]int64{},
		Terms:       map[string]int64{},
		Cap:         u.Cap,
		CapRevision: u.CapRevision,
	}
	for name, n := range u.Held {
		next.Held[name] = n
	}
	for name, n := range u.Terms {
		next.Terms[name] = n
	}
	next.Held[shard] = held
	next.Terms[shard] = term
	return next
}

// WithCap returns the units with the given cap and revision of the cap.
func (u Units) WithCap(maxTasks, revision int64) Units {
	u.Cap = maxTasks
	u.CapRevision = revision
	return u
}

// ChangeResponse is the response to an operator's change.
type ChangeResponse struct {
	// Change is the id of the change, which its record in the audit trail also has.
	Change string `json:"change"`
	// Revision is the store's revision of the write. It is zero while Durable is
	// false: the change is not yet written to the store.
	Revision int64 `json:"revision"`
	Durable  bool  `json:"durable"`
	// Confirmed lists the names of the entries that have confirmed that they apply the
	// change.
	Confirmed []string `json:"inForce"`
	// Unreached lists the names of the entries that have not confirmed it.
	Unreached []string `json:"unreached,omitempty"`
	// KeyID is the id of an API key that was granted or withdrawn. Token is the
	// whole bearer token of a granted key; it is not stored and cannot be read again.
	KeyID string `json:"keyId,omitempty"`
	Token string `json:"secret,omitempty"`
}

// TeamRequest creates a team or changes its share and cap. A nil field leaves the
// value unchanged; a new team needs both.
type TeamRequest struct {
	Name  string `json:"name"`
	Share *int64 `json:"share,omitempty"`
	Cap   *int64 `json:"cap,omitempty"`
}

// PresetRequest adds or replaces a preset, or, without Preset, names the preset to
// put in force.
type PresetRequest struct {
	Name   string  `json:"name"`
	Preset *Preset `json:"preset,omitempty"`
}

// DrainRequest drains an upstream, or with Undo lets it get new work again.
type DrainRequest struct {
	Upstream string `json:"upstream"`
	Undo     bool   `json:"undo,omitempty"`
}

// OpenRequest opens a service to requests without an API key, which are charged to
// the team. An empty team closes the service to them.
type OpenRequest struct {
	Service string `json:"service"`
	Team    string `json:"team,omitempty"`
}

// TeamView is a team, without the hashes of its keys, with the number of units held,
// and of tasks running and waiting, in all shards together. Tasks are counted only in
// the shards whose owners responded.
type TeamView struct {
	Name    string    `json:"name"`
	Share   int64     `json:"share"`
	Cap     int64     `json:"cap"`
	Held    int64     `json:"held"`
	Running int64     `json:"running"`
	Waiting int64     `json:"waiting"`
	Keys    []KeyView `json:"keys,omitempty"`
}

// KeyView is an API key without its hash.
type KeyView struct {
	ID        string    `json:"id"`
	Granted   time.Time `json:"granted"`
	Withdrawn bool      `json:"withdrawn"`
}

// AuditEntry is one audit record with the key and the current revision of the document
// that contains it.
type AuditEntry struct {
	Key      string `json:"key"`
	Revision int64  `json:"revision"`
	Record   Record `json:"record"`
}

// EntryStatus is the state of one entry as seen by the entry that responds. Revision is
// the highest store revision in the entry's copy of the agreement, Preset the name of
// the preset that the entry applies. Incarnation identifies one run of the entry's
// process.
type EntryStatus struct {
	Name        string `json:"name"`
	Domain      string `json:"domain"`
	Region      string `json:"region"`
	Alive       bool   `json:"alive"`
	OwnsShard   bool   `json:"owns"`
	Draining    bool   `json:"draining"`
	Revision    int64  `json:"revision"`
	Preset      string `json:"preset"`
	Incarnation string `json:"incarnation"`
}

// UpstreamStatus is the state of one worker or runner as seen by the owner of its
// shard. Leased means that the owner holds its lease. Leaving means that it gets no new
// work because it is about to be shut down, is drained, or is missing from the
// directory. Suspect means that it gets no work for a while after consecutive failures.
// Running is the number of its tasks. Used is the resources in use and the capacity, as
// text.
type UpstreamStatus struct {
	VM      platform.VM `json:"vm"`
	Owner   string      `json:"owner"`
	Leased  bool        `json:"leased"`
	Leaving bool        `json:"leaving"`
	Suspect bool        `json:"suspect"`
	Running int         `json:"running"`
	Used    string      `json:"used"`
}

// ShardStatus is the state of one shard as reported by its owner. Waiting and Running
// are numbers of tasks, where a request counts as one task. Jobs is the number of jobs
// that the owner knows, ended ones included.
type ShardStatus struct {
	Shard     string           `json:"shard"`
	Owner     string           `json:"owner"`
	Waiting   int              `json:"waiting"`
	Running   int              `json:"running"`
	Jobs      int              `json:"jobs"`
	Upstreams []UpstreamStatus `json:"upstreams"`
	Teams     []TeamUsage      `json:"teams"`
}

// TeamUsage is the number of a team's tasks that may run in one shard (Limit, which
// may be less than the number of units that the shard holds), and of those that run and
// wait there.
type TeamUsage struct {
	Team    string `json:"team"`
	Limit   int64  `json:"held"`
	Running int64  `json:"running"`
	Waiting int64  `json:"waiting"`
}

// CellStatus is the state of the whole cell, as far as the entry that responds can
// reach the owners of the shards.
type CellStatus struct {
	Preset  string        `json:"preset"`
	Entries []EntryStatus `json:"entries"`
	Shards  []ShardStatus `json:"shards"`
	Teams   []TeamView    `json:"teams"`
}
