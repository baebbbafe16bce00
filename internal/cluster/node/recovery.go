package node

import (
	"context"
	"fmt"
	"time"

	"github.com/citronbay/citronbay/internal/cluster/shard"
	"github.com/citronbay/citronbay/internal/cluster/store"
)

const (
	// maxRecoveryWait bounds how long a request waits for a new owner to read the journal.
	maxRecoveryWait = 800 * time.Millisecond
	// recoveryWaitMargin is the time before the end of a call at which the wait ends, so that
	// the answer that the request has had no effect arrives in time.
	recoveryWaitMargin = 300 * time.Millisecond
)

// recovery is a term of ownership from its claim until the shard is open.
type recovery struct {
	term *store.Term
	done chan struct{} // closed at its end
}

// beginRecovery makes this node the known owner and notes that it opens the
// shard in the term. If a newer owner is known already, it ends the term and reports false.
func (n *Node) beginRecovery(term *store.Term, self store.Owner) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.owner.Token > self.Token {
		term.Revoke(fmt.Errorf("%s is the owner with token %d", n.owner.Node, n.owner.Token))
		return false
	}
	n.recovery = &recovery{
		term: term,
		done: make(chan struct{}),
	}
	n.markOwnerServing()
	n.setOwnerLocked(self)
	return true
}

// abandonRecovery notes that this node does not open the shard, unless it has done so.
func (n *Node) abandonRecovery() {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.recovery != nil {
		n.endRecoveryLocked()
		n.ownerServingAt = time.Time{}
	}
}

// endRecoveryLocked ends the wait of requests for the shard. The caller holds n.mu.
func (n *Node) endRecoveryLocked() {
	if n.recovery != nil {
		close(n.recovery.done)
		n.recovery = nil
	}
}

// awaitShard returns the shard, or nil if this node is not the owner. While this node opens
// the shard, it waits for that, but no longer than maxRecoveryWait and recoveryWaitMargin
// before the context ends.
func (n *Node) awaitShard(ctx context.Context) *shard.Shard {
	n.mu.Lock()
	s, r := n.shard, n.recovery
	n.mu.Unlock()
	if s != nil || r == nil {
		return s
	}
	wait := maxRecoveryWait
	if deadline, ok := ctx.Deadline(); ok {
		wait = min(wait, time.Until(deadline)-recoveryWaitMargin)
	}
	select {
	case <-r.done:
	case <-time.After(wait):
	case <-ctx.Done():
	}
	return n.currentShard()
}

// isRecovering reports whether this node opens the shard.
func (n *Node) isRecovering() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.recovery != nil
}
