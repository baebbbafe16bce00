package node

import (
	"context"
	"fmt"

	"github.com/citronbay/citronbay/internal/api/peer"
	"github.com/citronbay/citronbay/internal/cluster/caller"
	"github.com/citronbay/citronbay/internal/cluster/shard"
)

// methodPreview asks the owner where a submission would go now.
const methodPreview = "preview"

// Preview returns where the submission would go now, as the owner says, without sending it. If the
// owner is unknown or does not answer, the status is caller.NotOwner and the reason names the owner
// that is known.
func (n *Node) Preview(ctx context.Context, r shard.PreviewRequest) shard.PreviewResponse {
	response, err := n.previewAsOwner(ctx, r)
	owner, _ := n.currentOwner()
	switch {
	case err != nil || response.Status != caller.NotOwner:
		return response
	case owner.Address == "" || owner.Incarnation == n.incarnation:
		response.Reason = "no owner of the shard is known"
		return response
	}
	ctx, cancel := context.WithTimeout(ctx, attemptTimeout)
	defer cancel()
	response, err = peer.Call[shard.PreviewResponse](ctx, n.peerClient(owner.Address), methodPreview, r)
	if err != nil {
		response = shard.PreviewResponse{Status: caller.NotOwner}
	}
	if response.Status == caller.NotOwner {
		response.Reason = fmt.Sprintf("this node does not own the shard, and the owner, %s at %s, does not answer", owner.Node, owner.Address)
		if err != nil {
			response.Reason += ": " + err.Error()
		}
	}
	return response
}

// previewAsOwner answers if this node is the owner, and with caller.NotOwner otherwise.
func (n *Node) previewAsOwner(ctx context.Context, r shard.PreviewRequest) (shard.PreviewResponse, error) {
	s := n.currentShard()
	if s == nil || r.Submission == nil {
		return shard.PreviewResponse{Status: caller.NotOwner}, nil
	}
	response := s.Preview(ctx, r)
	response.Preview.Owner = n.options.Name
	return response, nil
}
