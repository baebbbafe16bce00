package node

import (
	"context"
	"fmt"
	"strings"
	"time"

	"github.com/citronbay/citronbay/internal/cluster/operator"
	"github.com/citronbay/citronbay/internal/cluster/shard"
	"github.com/citronbay/citronbay/internal/cluster/store"
	"github.com/citronbay/citronbay/internal/decide/evacuation"
)

const (
	// maxAgreementTimeout bounds the time of a read of the agreement at a takeover.
	maxAgreementTimeout = 8 * time.Second
	// maxFirstAgreementAge is the age of the agreement above which a new owner reads it once
	// more before it serves; a takeover usually takes a fifth of that.
	maxFirstAgreementAge = 100 * time.Millisecond
	// agreementReadShare is the time between two reads of the agreement as a share of that
	// within which a change, or an evacuation, has to be in force. At 0.8 of that time requests wait for a read.
	agreementReadShare = 0.3
)

// agreementPrefix returns the prefix of the keys that are read to know the agreement: its key, or the
// longest prefix that it shares with the requests to evacuate. One read, and one watch, then date
// both.
func (n *Node) agreementPrefix() string {
	key, prefix := n.options.AgreementSource.Key, n.options.EvacuationSource.Prefix
	if !n.hasEvacuations() {
		return key
	}
	common := 0
	for common < min(len(key), len(prefix)) && key[common] == prefix[common] {
		common++
	}
	return key[:common]
}

// hasEvacuations reports whether operators may request evacuations.
func (n *Node) hasEvacuations() bool {
	return n.options.EvacuationInForce > 0 && n.options.EvacuationSource.Prefix != ""
}

// agreementReadInterval returns the time between two reads of the agreement; zero means any.
func (n *Node) agreementReadInterval() time.Duration {
	inForce := n.options.ChangeInForce
	if n.hasEvacuations() && (inForce == 0 || n.options.EvacuationInForce < inForce) {
		inForce = n.options.EvacuationInForce
	}
	return time.Duration(agreementReadShare * float64(inForce))
}

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
		if c, err := last.Refresh(ctx, n.options.Store, n.agreementPrefix()); err == nil {
			return n.decodeCopy(c)
		}
	}
	if n.options.Link.IsSmall() || n.hasEvacuations() {
		c, err := store.ReadCopy(ctx, n.options.Store, n.agreementPrefix())
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
	a, err := n.decodeAgreement(item, c.AsOf)
	a.Evacuations = n.decodeEvacuations(c)
	return a, err
}

// decodeEvacuations returns the requests to evacuate failure domains in the copy. It logs each that
// cannot be read once.
func (n *Node) decodeEvacuations(c store.Copy) evacuation.Requests {
	if !n.hasEvacuations() {
		return evacuation.Requests{}
	}
	logged := n.unreadableEvacuations.Load()
	unreadable := map[string]int64{}
	var list []evacuation.Request
	for key, item := range c.Items {
		if !strings.HasPrefix(key, n.options.EvacuationSource.Prefix) {
			continue
		}
		r, err := n.options.EvacuationSource.Decode(item)
		if err != nil {
			unreadable[key] = item.Revision
			if logged == nil || (*logged)[key] != item.Revision {
				n.log.Warn("evacuationUnreadable", "key", key, "revision", item.Revision, "domain", r.Domain, "error", err)
			}
		}
		if r.Domain != "" {
			list = append(list, r)
		}
	}
	n.unreadableEvacuations.Store(&unreadable)
	return evacuation.New(c.Revision, list...)
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

// applyAgreement puts the agreement and the requests to evacuate in the copy in force. An agreement
// that cannot be read does not hold the requests back.
func (n *Node) applyAgreement(s *shard.Shard, c store.Copy) {
	s.SetEvacuations(shard.Evacuations{
		Requests: n.decodeEvacuations(c),
		AsOf:     c.AsOf,
	})
	item, ok := c.Items[n.options.AgreementSource.Key]
	if !ok {
		return
	}
	if a, err := n.decodeAgreement(item, c.AsOf); err == nil {
		s.SetAgreement(a)
	}
}
