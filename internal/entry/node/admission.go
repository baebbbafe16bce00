package node

import (
	"fmt"
	"io"
	"net"
	"time"

	"golang.org/x/net/netutil"

	"github.com/citronbay/citronbay/internal/entry/settings"
)

// admission implements caller.Admission.
type admission struct {
	node *Node
}

// RejectReason returns why the entry rejects new work, or the empty string if it
// accepts it.
func (a admission) RejectReason() string {
	switch {
	case a.node.draining.Load():
		return "the entry is draining"
	case !a.node.membership.WarmedUp() || a.node.registry.Digest().Revision == 0:
		return "the entry is starting: it has not read the agreement or is still waiting for its peers' heartbeats"
	}
	return ""
}

// RejectsKeys reports whether the failure domain is isolated and the settings say
// that keys are then rejected. The domain is isolated if entries of other domains
// exist but none of them is alive, and the store has not responded for longer than
// IsolatedAfter. Time before the start of this entry does not count.
func (a admission) RejectsKeys() bool {
	n := a.node
	if n.settings.IsolatedKeys != settings.IsolatedRefuse {
		return false
	}
	alive, exist := n.membership.OtherDomainPeerAlive()
	lastResponse := n.sync.LastResponseTime()
	if lastResponse.Before(n.startTime) {
		lastResponse = n.startTime
	}
	return exist && !alive && time.Since(lastResponse) > n.settings.Timings.IsolatedAfter
}

// peerView implements upstream.Peers from the heartbeats of the other entries.
type peerView struct {
	node *Node
}

// UnitDemand returns how many more units the shards owned by live entries of other
// failure domains could use, by team and shard.
func (p peerView) UnitDemand() map[string]map[string]int64 {
	demand := map[string]map[string]int64{}
	for _, status := range p.node.membership.Peers() {
		if !status.Alive || !status.LastHeartbeat.OwnsShard() || status.Member.Domain == p.node.self.Domain {
			continue
		}
		for team, n := range status.LastHeartbeat.UnitDemand {
			if demand[team] == nil {
				demand[team] = map[string]int64{}
			}
			demand[team][status.Member.Domain] = n
		}
	}
	return demand
}

// AllDomainPeersDown reports whether other entries of the failure domain exist and none
// of them is alive.
func (p peerView) AllDomainPeersDown() bool {
	alive, exist := p.node.membership.DomainPeerAlive(p.node.self.Domain)
	return exist && !alive
}

func limitConnections(listener net.Listener, maxConnections int) net.Listener {
	return netutil.LimitListener(listener, maxConnections)
}

func (n *Node) writeShardMetrics(w io.Writer) {
	owned := n.ownership.OwnedShard()
	if owned == nil {
		return
	}
	status := owned.Status()
	_, _ = fmt.Fprintf(w, "citronbay_shard_waiting{shard=%q} %d\n", status.Shard, status.Waiting)
	_, _ = fmt.Fprintf(w, "citronbay_shard_running{shard=%q} %d\n", status.Shard, status.Running)
	for _, team := range status.Teams {
		_, _ = fmt.Fprintf(w, "citronbay_team_held{team=%q} %d\n", team.Team, team.Limit)
		_, _ = fmt.Fprintf(w, "citronbay_team_running{team=%q} %d\n", team.Team, team.Running)
		_, _ = fmt.Fprintf(w, "citronbay_team_waiting{team=%q} %d\n", team.Team, team.Waiting)
	}
}
