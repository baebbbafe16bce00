package shard

import (
	"errors"

	"github.com/citronbay/citronbay/internal/cluster/worker"
	"github.com/citronbay/citronbay/internal/decide/job"
)

// maxLinks is the maximum number of links in a term of ownership, which a link's fencing
// token has room for. The tokens of all terms remain within the 53 bits that a JSON number
// can hold exactly for the first 2^37 revisions of the store.
const maxLinks = 1 << 16

// newLinkToken returns the fencing token of a new link. The term ends once its tokens are
// used up.
func (s *Shard) newLinkToken() int64 {
	s.linkCount++
	if s.linkCount == maxLinks {
		s.term.Revoke(errors.New("shard: all fencing tokens of the term are used"))
	}
	return s.term.Token()*maxLinks + min(s.linkCount, maxLinks-1)
}

// replaceLink replaces the link to an incarnation that has ended by one to the next. An
// attempt that ran there, or was not ordered yet, is lost. The others stay placed until the
// first report of the new incarnation, which may have carried out their start orders: the
// orders name only the worker, whose ID is the same.
func (s *Shard) replaceLink(l *link, r worker.Registration, listed bool) {
	s.closeLink(l)
	s.endSuspects(l, endsWithIncarnation)
	s.losePlacements(l.key(), "new incarnation", endsWithIncarnation)
	remaining := s.state.Placements(l.key())
	s.log.Info("workerReborn", "worker", r.ID, "born", r.Incarnation, "before", l.registration.Incarnation,
		"unsettled", len(remaining))
	s.earlier[r.ID] = append(s.earlier[r.ID], l.key())
	s.addLink(r, listed)
	s.links[r.ID].endedIncarnations = append(l.endedIncarnations, l.registration.Incarnation)
	for _, p := range remaining {
		p.Confirmed, p.Reported, p.StoppedMillis, p.ProgressMillis = false, false, 0, 0
	}
}

// endsWithIncarnation reports whether the attempt ends with its incarnation of the worker: the
// next one cannot carry out its start order, because the present one has, or none was sent.
func endsWithIncarnation(p *job.Placement) bool {
	return p.Settled() || (!p.Uncertain && !p.Confirmed)
}

// dropReplacedLink drops the link if its incarnation has certainly ended: the directory does
// not list the worker, and another one answers at its address. Either alone does not show
// it: the directory omits workers that cannot reach the store, and its address may be out of
// date.
func (s *Shard) dropReplacedLink(l *link) {
	if l.addressReused && !l.listed {
		s.endSuspects(l, nil)
		s.dropLink(l, "replaced by another worker")
	}
}
