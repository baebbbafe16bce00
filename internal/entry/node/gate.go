package node

import (
	"fmt"
	"io"
	"net"
	"time"

	"golang.org/x/net/netutil"

	"github.com/citronbay/citronbay/internal/entry/settings"
)

// gate tells the callers' interface whether the entry takes work.
type gate struct {
	node *Node
}

// RejectReason returns why the entry takes no new work, or nothing.
func (g gate) RejectReason() string {
	switch {
	case g.node.draining.Load():
		return "the entry is draining"
	case !g.node.membership.Warm() || g.node.registry.Digest().Revision == 0:
		return "the entry has not learnt the agreement yet"
	}
	return ""
}

// RejectsKeys reports whether the failure domain is isolated and its settings
// refuse keys meanwhile.
func (g gate) RejectsKeys() bool {
	n := g.node
	if n.settings.IsolatedKeys != settings.IsolatedRefuse {
		return false
	}
	heard, exist := n.membership.HearsOtherDomain()
	last := n.sync.Heard()
	if last.Before(n.begun) {
		last = n.begun
	}
	return exist && !heard && time.Since(last) > n.settings.Timings.IsolatedAfter
}

// neighbours tells the owned shard about the other entries.
type neighbours struct {
	node *Node
}

// Wants returns, by team and shard, how many units other shards could use.
func (b neighbours) Wants() map[string]map[string]int64 {
	wants := map[string]map[string]int64{}
	for _, status := range b.node.membership.Peers() {
		if !status.Heard || !status.Beat.Owns() || status.Member.Domain == b.node.self.Domain {
			continue
		}
		for team, n := range status.Beat.Wants {
			if wants[team] == nil {
				wants[team] = map[string]int64{}
			}
			wants[team][status.Member.Domain] = n
		}
	}
	return wants
}

// Alone reports whether other entries of the domain exist and none is heard.
func (b neighbours) Alone() bool {
	heard, exist := b.node.membership.HearsDomain(b.node.self.Domain)
	return exist && !heard
}

func limitConnections(listener net.Listener, most int) net.Listener {
	return netutil.LimitListener(listener, most)
}

func (n *Node) writeShardMetrics(w io.Writer) {
	owned := n.keeper.OwnedShard()
	if owned == nil {
		return
	}
	status := owned.Status()
	_, _ = fmt.Fprintf(w, "citronbay_shard_waiting{shard=%q} %d\n", status.Shard, status.Waiting)
	_, _ = fmt.Fprintf(w, "citronbay_shard_running{shard=%q} %d\n", status.Shard, status.Running)
	for _, use := range status.Teams {
		_, _ = fmt.Fprintf(w, "citronbay_team_held{team=%q} %d\n", use.Team, use.Held)
		_, _ = fmt.Fprintf(w, "citronbay_team_running{team=%q} %d\n", use.Team, use.Running)
		_, _ = fmt.Fprintf(w, "citronbay_team_waiting{team=%q} %d\n", use.Team, use.Waiting)
	}
}
