package node

import (
	"context"
	"fmt"
	"time"

	"github.com/citronbay/citronbay/internal/cluster/operator"
	"github.com/citronbay/citronbay/internal/cluster/shard"
	"github.com/citronbay/citronbay/internal/cluster/store"
)

const (
	// maxAgreementTimeout bounds the time of a read of the agreement at a takeover.
	maxAgreementTimeout = 8 * time.Second
	// maxFirstAgreementAge is the age of the agreement above which a new owner reads it once
	// more before it serves; a takeover usually takes a fifth of that.
	maxFirstAgreementAge = 100 * time.Millisecond
	// agreementReadShare is the time between two reads of the agreement as a share of that
	// within which a change has to be in force. At 0.8 of that time requests wait for a read.
	agreementReadShare = 0.3
)

// renewAgreement returns the agreement, or the present one if that was read longer ago than
// maxFirstAgreementAge and the store answers. The owner before may have answered callers by a
// newer version while this node read the journal.
func (n *Node) renewAgreement(ctx context.Context, a shard.DatedAgreement) shard.DatedAgreement {
	if ctx.Err() != nil || a.AsOf.Age() <= maxFirstAgreementAge {
		return a
	}
	callCtx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	if present, err := n.readAgreement(callCtx); err == nil {
		return present
	}
	return a
}

// awaitAgreement reads the agreement from the store, retrying until it can be decoded,
// and returns the zero value if the context ends first. Retries get more time, since the link
// may be too small for the agreement in that of the first.
func (n *Node) awaitAgreement(ctx context.Context) shard.DatedAgreement {
	timeout := storeTimeout
	if n.options.Link.IsSmall() {
		timeout = maxAgreementTimeout // the client gives up reads that make no progress
	}
	for ; ctx.Err() == nil; timeout = min(2*timeout, maxAgreementTimeout) {
		callCtx, cancel := context.WithTimeout(ctx, timeout)
		a, err := n.readAgreement(callCtx)
		cancel()
		if err == nil {
			return a
		}
		sleep(ctx, electInterval)
	}
	return shard.DatedAgreement{}
}

// readAgreement reads the agreement from the store once. If it is large for the link, the copy
// of the last read is brought up to date.
func (n *Node) readAgreement(ctx context.Context) (shard.DatedAgreement, error) {
	if last := n.agreementCopy.Load(); last != nil && last.IsLargeFor(n.options.Link) {
		if c, err := last.Refresh(ctx, n.options.Store, n.options.AgreementSource.Key); err == nil {
			return n.decodeCopy(c)
		}
	}
	if n.options.Link.IsSmall() {
		c, err := store.ReadCopy(ctx, n.options.Store, n.options.AgreementSource.Key)
		if err != nil {
			return shard.DatedAgreement{}, fmt.Errorf("node: read agreement: %w", err)
		}
		return n.decodeCopy(c)
	}
	asOf := store.Now()
	item, err := n.options.Store.Get(ctx, n.options.AgreementSource.Key)
	if err != nil {
		return shard.DatedAgreement{}, fmt.Errorf("node: read agreement: %w", err)
	}
	return n.decodeAgreement(item, asOf)
}

// decodeCopy decodes the agreement in the copy and keeps the copy for the next read.
func (n *Node) decodeCopy(c store.Copy) (shard.DatedAgreement, error) {
	item, ok := c.Items[n.options.AgreementSource.Key]
	if !ok {
		return shard.DatedAgreement{}, fmt.Errorf("node: read agreement: %w", store.ErrNotFound)
	}
	n.agreementCopy.Store(&c)
	return n.decodeAgreement(item, c.AsOf)
}

// decodedAgreement is the agreement that the store had at a revision.
type decodedAgreement struct {
	revision  int64
	agreement *operator.Agreement
}

// decodeAgreement decodes the agreement that was read from the store at the given time or
// later. Each version is decoded once.
func (n *Node) decodeAgreement(item store.Item, asOf store.Instant) (shard.DatedAgreement, error) {
	if d := n.decoded.Load(); d != nil && d.revision == item.Revision && item.Revision != 0 {
		return shard.DatedAgreement{
			Agreement: d.agreement,
			AsOf:      asOf,
		}, nil
	}
	a, err := n.options.AgreementSource.Decode(item.Value)
	if err != nil {
		n.log.Error("agreementUnreadable", "revision", item.Revision, "error", err)
		return shard.DatedAgreement{}, err
	}
	n.decoded.Store(&decodedAgreement{
		revision:  item.Revision,
		agreement: a,
	})
	return shard.DatedAgreement{
		Agreement: a,
		AsOf:      asOf,
	}, nil
}

func (n *Node) applyAgreement(s *shard.Shard, c store.Copy) {
	item, ok := c.Items[n.options.AgreementSource.Key]
	if !ok {
		return
	}
	if a, err := n.decodeAgreement(item, c.AsOf); err == nil {
		s.SetAgreement(a)
	}
}
