package shard

import (
	"context"
	"time"

	"github.com/citronbay/citronbay/internal/cluster/operator"
	"github.com/citronbay/citronbay/internal/cluster/store"
	"github.com/citronbay/citronbay/internal/decide/evacuation"
)

const (
	// refreshFraction is the age of the agreement, as a fraction of agreementAgeLimit, above
	// which it is read again before requests are answered by it.
	refreshFraction = 0.8
	// agreementReadTimeout bounds a read of the agreement, like other calls to the store.
	agreementReadTimeout = time.Second
	// maxAgreementWait is how long after its start requests wait for a read while the
	// present agreement may be used. A store fifty times slower than its normal 4 ms answers
	// within it.
	maxAgreementWait = 300 * time.Millisecond
	// agreementRetryInterval is the time after a failed read in which requests wait for no
	// further one, as in an outage of the store; minAgreementRetryInterval is that while
	// they are refused otherwise.
	agreementRetryInterval    = time.Second
	minAgreementRetryInterval = 50 * time.Millisecond
)

// DatedAgreement is the operators' agreement as read from the store.
type DatedAgreement struct {
	*operator.Agreement
	// Evacuations are the requests that were read with it, if there are evacuations.
	Evacuations evacuation.Requests
	// AsOf is a time at which no newer version was acknowledged yet.
	AsOf store.Instant
}

// evacuations returns the requests that were read with the agreement.
func (a DatedAgreement) evacuations() Evacuations {
	return Evacuations{
		Requests: a.Evacuations,
		AsOf:     a.AsOf,
	}
}

// SetAgreement puts the agreement in force if it is newer than the present one, and notes
// until when it is known to have been the newest.
func (s *Shard) SetAgreement(a DatedAgreement) {
	s.SetEvacuations(a.evacuations())
	s.mu.Lock()
	defer s.mu.Unlock()
	if a.Version < s.agreement.Version {
		return
	}
	if a.Version == s.agreement.Version {
		if a.AsOf.Sub(s.agreement.AsOf) > 0 {
			s.agreement.AsOf = a.AsOf
		}
		return
	}
	s.log.Info("agreementInForce", "version", a.Version, "before", s.agreement.Version)
	s.agreement = a
	s.agreementVersion.Store(a.Version)
	s.requestPass()
}

// agreementRead is a read of the agreement in progress.
type agreementRead struct {
	started time.Time
	done    chan struct{} // closed when the read has ended
}

// refreshAgreement waits for a read of the agreement from the store if the present one may
// soon lack a change that has to be in force, as after a time in which this process was
// frozen, or is older than the version. If the store cannot be read, the present agreement
// stays in force as long as mayDecide allows it.
func (s *Shard) refreshAgreement(ctx context.Context, now store.Instant, version int64) {
	s.mu.Lock()
	read := s.startAgreementRead(now, version)
	timeout := agreementReadTimeout
	if read != nil && s.mayDecide(now) {
		timeout = maxAgreementWait
	}
	s.mu.Unlock()
	if read == nil {
		return
	}
	select {
	case <-read.done:
	case <-time.After(time.Until(read.started.Add(timeout))):
	case <-ctx.Done():
	case <-s.term.Context().Done():
	}
}

// startAgreementRead returns the read of the agreement in progress. It starts one if the
// agreement should be read again, for its age or since it is older than the version, and
// returns nil otherwise. The caller holds s.mu.
func (s *Shard) startAgreementRead(now store.Instant, version int64) *agreementRead {
	age := now.Sub(s.agreement.AsOf)
	limit := s.agreementAgeLimit()
	if limit == 0 || float64(age) <= refreshFraction*float64(limit) && s.agreement.Version >= version {
		return nil
	}
	if s.agreementRead != nil {
		return s.agreementRead
	}
	retryInterval := minAgreementRetryInterval
	if s.mayDecide(now) {
		retryInterval = agreementRetryInterval
	}
	if now.Sub(s.agreementReadFailedAt) <= retryInterval {
		return nil
	}
	s.log.Info("agreementOutdated", "version", s.agreement.Version, "age", age, "leaseRemaining", s.term.Remaining())
	s.agreementRead = &agreementRead{
		started: time.Now(),
		done:    make(chan struct{}),
	}
	go s.readAgreement(s.agreementRead)
	return s.agreementRead
}

// agreementAgeLimit returns the age of the agreement, or of the requests that are read with it, from
// which something may not be decided any more; zero if there is none.
func (s *Shard) agreementAgeLimit() time.Duration {
	if limit := s.maxEvacuationAge(); limit > 0 && (s.options.ChangeInForce == 0 || limit < s.options.ChangeInForce) {
		return limit
	}
	return s.options.ChangeInForce
}

// readAgreement reads the agreement once and puts it in force.
func (s *Shard) readAgreement(read *agreementRead) {
	ctx, cancel := context.WithTimeout(s.term.Context(), agreementReadTimeout)
	defer cancel()
	a, err := s.options.ReadAgreement(ctx)
	if err == nil {
		s.SetAgreement(a)
	} else {
		s.log.Warn("agreementReadFailed", "error", err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if err != nil {
		s.agreementReadFailedAt = store.Now()
	}
	s.agreementRead = nil
	close(read.done)
}

// mayDecide reports whether requests may be answered, and tasks placed, by the present
// agreement. An owner whose lease is valid reaches the store, so that the operators may have
// changed an agreement of unknown age. Without a lease, the store may be unavailable to
// everyone. The caller holds s.mu.
func (s *Shard) mayDecide(now store.Instant) bool {
	return s.options.ChangeInForce == 0 || now.Sub(s.agreement.AsOf) <= s.options.ChangeInForce || !s.LeaseValid()
}
