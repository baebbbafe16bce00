package peer

import (
	apiplatform "github.com/citronbay/citronbay/internal/api/platform"
	"github.com/citronbay/citronbay/internal/entry/platform"
)

// Names of the methods that entries serve to one another.
const (
	MethodHeartbeat = "heartbeat"
	MethodSync      = "sync"
	MethodWithdraw  = "withdraw"
)

// Member identifies an entry. Address is where it listens for its peers (IP:port).
type Member struct {
	Name    string
	Domain  string
	Region  string
	Address string
	// Incarnation is a random id that the entry takes at each start of its process.
	// It is set for this entry itself only; that of a peer is in its heartbeats.
	Incarnation string
}

// HeartbeatResponse acknowledges a heartbeat. It carries no state, since the peer
// reports its state in heartbeats of its own.
type HeartbeatResponse struct{}

// OwnsShard reports whether the entry owns its failure domain's shard.
func (h Heartbeat) OwnsShard() bool {
	return h.HeldLeases > 0
}

// Heartbeat is the state that an entry periodically sends to its peers.
type Heartbeat struct {
	_           struct{} `cbor:",toarray"`
	Name        string   `json:"name"`
	Incarnation string   `json:"incarnation"`
	// HeldLeases is the number of leases on upstreams that the entry holds as the
	// owner of its domain's shard; zero means that it does not own the shard.
	HeldLeases int             `json:"held"`
	Draining   bool            `json:"draining"`
	Digest     platform.Digest `json:"digest"`
	// Preset is the name of the preset that the entry has in force.
	Preset string `json:"preset"`
	// UnitDemand is the number of further units that the owned shard could use,
	// by team.
	UnitDemand map[string]int64 `json:"wants,omitempty"`
}

// SyncRequest asks for the store keys of which the peer holds a higher revision than
// the sender, with their values. Revisions holds the sender's revisions by store key,
// and Withdrawn the ids of the API keys that the sender knows to be withdrawn.
type SyncRequest struct {
	Revisions map[string]int64 `json:"revisions"`
	Withdrawn []string         `json:"withdrawn,omitempty"`
}

// SyncResponse returns the newer store keys with their values, and the ids of the API
// keys that the peer knows to be withdrawn.
type SyncResponse struct {
	KeyValues []apiplatform.KeyValue `json:"entries"`
	Withdrawn []string               `json:"withdrawn,omitempty"`
}

// WithdrawRequest passes on the ids of API keys that have been withdrawn.
type WithdrawRequest struct {
	Keys []string `json:"keys"`
}

// WithdrawResponse confirms that the peer now refuses the API keys; Entry is the
// peer's name.
type WithdrawResponse struct {
	Entry string `json:"entry"`
}
