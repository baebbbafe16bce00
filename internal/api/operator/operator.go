package operator

import (
	"time"

	"github.com/citronbay/citronbay/internal/api/platform"
)

// Prefixes and keys of the store below which the agreement is kept.
const (
	// ConfigPrefix is what every entry watches.
	ConfigPrefix = "config/"
	// TeamPrefix holds one document a team.
	TeamPrefix = ConfigPrefix + "team/"
	// UnitsPrefix holds, a team, how many units of its cap each shard has.
	UnitsPrefix = ConfigPrefix + "units/"
	// CellKey holds the presets and which one is in force.
	CellKey = ConfigPrefix + "cell"
)

// keptAudit is how many audit records a document keeps.
const keptAudit = 200

// Record is one change in the audit trail. Its revision is that of the
// document's write which carried it.
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

// Trail is the audit records of one document, oldest first.
type Trail []Record

// With returns the trail with the record added and the oldest dropped.
func (t Trail) With(record Record) Trail {
	longer := append(append(Trail{}, t...), record)
	if excess := len(longer) - keptAudit; excess > 0 {
		longer = longer[excess:]
	}
	return longer
}

// Key is a caller's key of which only the hash is kept.
type Key struct {
	ID        string    `json:"id"`
	Hash      []byte    `json:"hash"`
	Granted   time.Time `json:"granted"`
	Withdrawn bool      `json:"withdrawn,omitempty"`
}

// Team is one member of the agreement.
type Team struct {
	Name string `json:"name"`
	// Share weighs the team's claim when the fleet is full.
	Share int64 `json:"share"`
	// Cap is the most tasks of the team that may run across the fleet.
	Cap int64 `json:"cap"`
	// CapRevision counts the changes of the cap.
	CapRevision int64 `json:"capRevision"`
	Keys        []Key `json:"keys,omitempty"`
	Audit       Trail `json:"audit,omitempty"`
}

// WithCap returns the team with the cap, and a new revision of it if it changes.
func (t Team) WithCap(most int64) Team {
	if t.Cap != most || t.CapRevision == 0 {
		t.CapRevision++
	}
	t.Cap = most
	return t
}

// WithKey returns the team with the key added or replaced.
func (t Team) WithKey(key Key) Team {
	keys := make([]Key, 0, len(t.Keys)+1)
	for _, known := range t.Keys {
		if known.ID != key.ID {
			keys = append(keys, known)
		}
	}
	t.Keys = append(keys, key)
	return t
}

// WithAudit returns the team with the record added to its trail.
func (t Team) WithAudit(record Record) Team {
	t.Audit = t.Audit.With(record)
	return t
}

// Preset is a named set of the policy's parameters.
type Preset struct {
	// CrossRegion lets work go to the other region when its own is full.
	CrossRegion bool `json:"crossRegion"`
	// AdmitLow admits work of low urgency.
	AdmitLow bool `json:"admitLow"`
	// AdmitJobs admits new jobs.
	AdmitJobs bool `json:"admitJobs"`
	// MaxQueue is the most tasks that one shard lets wait.
	MaxQueue int `json:"maxQueue"`
	// RetryPercent is the part of requests that may be retries, in percent.
	RetryPercent int `json:"retryPercent"`
}

// Cell holds the presets, of which exactly one is in force.
type Cell struct {
	InForce string            `json:"inForce"`
	Presets map[string]Preset `json:"presets"`
	// Drained names the upstreams that get no new work.
	Drained []string `json:"drained,omitempty"`
	// Open names, by service, the team that requests without a key count for.
	Open  map[string]string `json:"open,omitempty"`
	Audit Trail             `json:"audit,omitempty"`
}

// WithOpen returns the cell with the service's queue open to all, counted for
// the team, or closed if the team is empty.
func (c Cell) WithOpen(service, team string) Cell {
	open := map[string]string{}
	for known, counted := range c.Open {
		open[known] = counted
	}
	open[service] = team
	if team == "" {
		delete(open, service)
	}
	c.Open = open
	return c
}

// WithDrained returns the cell with the upstream drained, or no longer so.
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

// WithPreset returns the cell with the preset put.
func (c Cell) WithPreset(name string, preset Preset) Cell {
	presets := map[string]Preset{}
	for known, value := range c.Presets {
		presets[known] = value
	}
	presets[name] = preset
	c.Presets = presets
	return c
}

// WithAudit returns the cell with the record added to its trail.
func (c Cell) WithAudit(record Record) Cell {
	c.Audit = c.Audit.With(record)
	return c
}

// DefaultCell returns the presets ordinary, peak and maintenance, with
// ordinary in force.
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
		InForce: "ordinary",
		Presets: map[string]Preset{
			"ordinary":    ordinary,
			"peak":        peak,
			"maintenance": maintenance,
		},
	}
}

// Units divides a team's cap among the shards.
type Units struct {
	// Held is the number of units of each shard.
	Held map[string]int64 `json:"held"`
	// Terms is the term of the owner that last wrote for each shard; a write
	// that lowers a shard's units under an older term is refused.
	Terms map[string]int64 `json:"terms"`
	// Cap is the cap under which the units were last raised or confirmed, and
	// CapRevision its revision.
	Cap         int64 `json:"cap"`
	CapRevision int64 `json:"capRevision"`
}

// Sum returns the number of units held by all shards.
func (u Units) Sum() int64 {
	var sum int64
	for _, held := range u.Held {
		sum += held
	}
	return sum
}

// With returns the units with one shard's number and term replaced.
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

// WithCap returns the units with the cap under which they stand.
func (u Units) WithCap(most, revision int64) Units {
	u.Cap = most
	u.CapRevision = revision
	return u
}

// ChangeResponse tells what became of an operator's change.
type ChangeResponse struct {
	// Change is the change's id, also found in the audit trail.
	Change string `json:"change"`
	// Revision is that of the store's write; zero while Durable is false.
	Revision int64 `json:"revision"`
	Durable  bool  `json:"durable"`
	// InForce names the entries that have confirmed the change.
	InForce []string `json:"inForce"`
	// Unreached names the entries that could not be asked.
	Unreached []string `json:"unreached,omitempty"`
	// KeyID and Secret are given once, when a key is granted.
	KeyID  string `json:"keyId,omitempty"`
	Secret string `json:"secret,omitempty"`
}

// TeamRequest creates a team or sets its share and cap; absent numbers stay.
type TeamRequest struct {
	Name  string `json:"name"`
	Share *int64 `json:"share,omitempty"`
	Cap   *int64 `json:"cap,omitempty"`
}

// PresetRequest puts a preset or names the one to be in force.
type PresetRequest struct {
	Name   string  `json:"name"`
	Preset *Preset `json:"preset,omitempty"`
}

// DrainRequest drains an upstream, or lets it take work again.
type DrainRequest struct {
	Upstream string `json:"upstream"`
	Undo     bool   `json:"undo,omitempty"`
}

// OpenRequest opens the queue of a service to all, counted for a team, or closes
// it if the team is empty.
type OpenRequest struct {
	Service string `json:"service"`
	Team    string `json:"team,omitempty"`
}

// TeamView is a team without its keys' hashes.
type TeamView struct {
	Name    string    `json:"name"`
	Share   int64     `json:"share"`
	Cap     int64     `json:"cap"`
	Held    int64     `json:"held"`
	Running int64     `json:"running"`
	Waiting int64     `json:"waiting"`
	Keys    []KeyView `json:"keys,omitempty"`
}

// KeyView is a key without its hash.
type KeyView struct {
	ID        string    `json:"id"`
	Granted   time.Time `json:"granted"`
	Withdrawn bool      `json:"withdrawn"`
}

// AuditEntry is one record with the document and revision that hold it.
type AuditEntry struct {
	Key      string `json:"key"`
	Revision int64  `json:"revision"`
	Record   Record `json:"record"`
}

// EntryStatus is one entry as the answering one sees it.
type EntryStatus struct {
	Name        string `json:"name"`
	Domain      string `json:"domain"`
	Region      string `json:"region"`
	Alive       bool   `json:"alive"`
	Owns        bool   `json:"owns"`
	Draining    bool   `json:"draining"`
	Revision    int64  `json:"revision"`
	Preset      string `json:"preset"`
	Incarnation string `json:"incarnation"`
}

// UpstreamStatus is one worker or runner as its owner sees it.
type UpstreamStatus struct {
	VM      platform.VM `json:"vm"`
	Owner   string      `json:"owner"`
	Leased  bool        `json:"leased"`
	Leaving bool        `json:"leaving"`
	Suspect bool        `json:"suspect"`
	Running int         `json:"running"`
	Used    string      `json:"used"`
}

// ShardStatus is what one owner reports of its shard.
type ShardStatus struct {
	Shard     string           `json:"shard"`
	Owner     string           `json:"owner"`
	Waiting   int              `json:"waiting"`
	Running   int              `json:"running"`
	Jobs      int              `json:"jobs"`
	Upstreams []UpstreamStatus `json:"upstreams"`
	Teams     []TeamUse        `json:"teams"`
}

// TeamUse is a team's use of one shard.
type TeamUse struct {
	Team    string `json:"team"`
	Held    int64  `json:"held"`
	Running int64  `json:"running"`
	Waiting int64  `json:"waiting"`
}

// CellStatus is the whole cell as far as the answering entry can reach it.
type CellStatus struct {
	Preset  string        `json:"preset"`
	Entries []EntryStatus `json:"entries"`
	Shards  []ShardStatus `json:"shards"`
	Teams   []TeamView    `json:"teams"`
}
