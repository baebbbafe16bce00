package peer

import (
	apiplatform "github.com/citronbay/citronbay/internal/api/platform"
	"github.com/citronbay/citronbay/internal/entry/platform"
)

// Methods that entries serve to one another.
const (
	MethodHeartbeat = "heartbeat"
	MethodSync      = "sync"
	MethodWithdraw  = "withdraw"
)

// Member names an entry and one run of its process.
type Member struct {
	Name        string
	Domain      string
	Region      string
	Address     string
	Incarnation string
}

// HeartbeatResponse confirms a heartbeat; the peer's own comes as a call.
type HeartbeatResponse struct{}

// Owns reports whether the entry owns its domain's shard.
func (h Heartbeat) Owns() bool {
	return h.Held > 0
}

// Heartbeat is what an entry tells of itself.
type Heartbeat struct {
	_           struct{} `cbor:",toarray"`
	Name        string   `json:"name"`
	Incarnation string   `json:"incarnation"`
	// Held is the number of leases that the entry holds as the owner of its
	// domain's shard; zero means that it does not own it.
	Held     int             `json:"held"`
	Draining bool            `json:"draining"`
	Digest   platform.Digest `json:"digest"`
	Preset   string          `json:"preset"`
	// Wants holds, by team, how many more units the owned shard could use.
	Wants map[string]int64 `json:"wants,omitempty"`
}

// SyncRequest asks for what the peer holds at higher revisions.
type SyncRequest struct {
	Revisions map[string]int64 `json:"revisions"`
	Withdrawn []string         `json:"withdrawn,omitempty"`
}

// SyncResponse brings the entries asked for and the peer's withdrawn keys.
type SyncResponse struct {
	Entries   []apiplatform.Entry `json:"entries"`
	Withdrawn []string            `json:"withdrawn,omitempty"`
}

// WithdrawRequest hands on keys that have been withdrawn.
type WithdrawRequest struct {
	Keys []string `json:"keys"`
}

// WithdrawResponse confirms that the peer refuses the keys.
type WithdrawResponse struct {
	Entry string `json:"entry"`
}
