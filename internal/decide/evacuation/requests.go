package evacuation

import (
	"maps"
	"slices"
	"time"
)

// Request is an operator's request to evacuate a failure domain: until it is taken back, no task
// starts there. What runs there goes on.
type Request struct {
	Domain string
	// Key and Revision are the key of the request in the store and the revision that wrote it.
	Key      string
	Revision int64
}

// Requests are all requests that the store held at a revision. They are immutable. The zero value
// holds none and is older than any other.
type Requests struct {
	revision int64
	byDomain map[string]Request
}

// New returns the requests that the store held at the revision.
func New(revision int64, list ...Request) Requests {
	r := Requests{
		revision: revision,
		byDomain: make(map[string]Request, len(list)),
	}
	for _, request := range list {
		r.byDomain[request.Domain] = request
	}
	return r
}

// IsKnown reports whether the requests have been read at all.
func (r Requests) IsKnown() bool {
	return r.revision > 0
}

// Includes reports whether the requests are to hold no less than the other requests: they are from
// the same revision of the store or a later one.
func (r Requests) Includes(other Requests) bool {
	return r.revision >= other.revision
}

// Covers reports whether the failure domain is evacuated.
func (r Requests) Covers(domain string) bool {
	_, ok := r.byDomain[domain]
	return ok
}

// List returns the requests, ordered by failure domain.
func (r Requests) List() []Request {
	var list []Request
	for _, domain := range slices.Sorted(maps.Keys(r.byDomain)) {
		list = append(list, r.byDomain[domain])
	}
	return list
}

// Since returns the requests that were made, or made again, and those that were taken back since
// the earlier ones, ordered by failure domain.
func (r Requests) Since(earlier Requests) (made, takenBack []Request) {
	for _, request := range r.List() {
		if earlier.byDomain[request.Domain].Revision != request.Revision {
			made = append(made, request)
		}
	}
	for _, request := range earlier.List() {
		if !r.Covers(request.Domain) {
			takenBack = append(takenBack, request)
		}
	}
	return made, takenBack
}

// Unknown returns the requests for failure domains that are not among the given ones, ordered by
// failure domain. They have no effect until a worker joins there.
func (r Requests) Unknown(domains map[string]bool) []Request {
	return slices.DeleteFunc(r.List(), func(request Request) bool {
		return domains[request.Domain]
	})
}

// Verdict is what is decided about the start of a task in a failure domain.
type Verdict uint8

// The verdicts.
const (
	// Permitted: the start order may be sent now.
	Permitted Verdict = iota + 1
	// Undecided: a request may have been made that is not known yet. The requests have to be read
	// again before an order may be sent.
	Undecided
	// Evacuated: the failure domain is evacuated; the task has to start elsewhere.
	Evacuated
)

// Start decides whether a start order may be sent to the failure domain now. The age is the time
// for which the requests are known to be complete no more, and the bound is MaxAge. A bound of
// zero means that the deployment has no evacuations.
func (r Requests) Start(domain string, age, bound time.Duration) Verdict {
	switch {
	case bound == 0:
		return Permitted
	case r.Covers(domain):
		return Evacuated
	case age > bound:
		return Undecided
	}
	return Permitted
}

// MaxAge returns the greatest age of the requests at which an order may be sent so that no task
// starts later than inForce after a request: the order may take up to the transit time, but the
// requests may have at least half of inForce. Zero inForce gives zero.
func MaxAge(inForce, transit time.Duration) time.Duration {
	return max(inForce/2, inForce-transit)
}
