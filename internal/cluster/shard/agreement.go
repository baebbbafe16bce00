package shard

import (
	"context"
	"time"

	"github.com/citronbay/citronbay/internal/cluster/operator"
	"github.com/citronbay/citronbay/internal/cluster/store"
)

const (
	// refreshFraction is the age of the agreement, as a fraction of Options.ChangeInForce,
	// above which it is read again before requests are answered by it.
	refreshFraction = 0.8
	// A read of the agreement for which requests wait takes at most agreementReadTimeout,
	// like other calls to the store, and at most maxAgreementWait while the present
	// agreement may be used. A store fifty times slower than its normal 4 ms answers within
	// the latter.
	agreementReadTimeout = time.Second
	maxAgreementWait     = 300 * time.Millisecond
	// agreementRetryInterval is the time after a failed read in which requests wait for no
	// further one, as in an outage of the store; minAgreementRetryInterval is that while
	// they are refused otherwise.
	agreementRetryInterval    = time.Second
	minAgreementRetryInterval = 50 * time.Millisecond
)

// DatedAgreement is the operators' agreement as read from the store.
type DatedAgreement struct {
	*operator.Agreement
	// AsOf is a time at which no newer version was acknowledged yet.
	AsOf store.Instant
}

// SetAgreement puts the agreement in force if it is newer than the present one, and notes
// until when it is known to have been the newest.
func (s *Shard) SetAgreement(a DatedAgreement) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if a.Version < s.agreement.Version {
		return
	}
	if a.Version == s.agreement.Version {
		if a.AsOf.Age() < s.agreement.AsOf.Age() {
			s.agreement.AsOf = a.AsOf
		}
		return
	}
	s.log.Info("agreementInForce", "version", a.Version, "before", s.agreement.Version)
	s.agreement = a
	s.requestPass()
}

// refreshAgreement reads the agreement from the store if the present one may soon lack a
// change that has to be in force, as after a time in which this process was frozen. Requests
// that need it at the same time share one read. If the store cannot be read, the present
// agreement stays in force as long as mayDecide allows it.
func (s *Shard) refreshAgreement(ctx context.Context) {
	s.mu.Lock()
	age, version, usable := s.agreement.AsOf.Age(), s.agreement.Version, s.mayDecide()
	sinceFailure := s.agreementReadFailedAt.Age()
	s.mu.Unlock()
	timeout, retryInterval := agreementReadTimeout, minAgreementRetryInterval
	if usable {
		timeout, retryInterval = maxAgreementWait, agreementRetryInterval
	}
	if s.options.ChangeInForce == 0 || float64(age) <= refreshFraction*float64(s.options.ChangeInForce) || sinceFailure <= retryInterval {
		return
	}
	read := s.agreementReads.DoChan("", func() (any, error) {
		s.log.Info("agreementOutdated", "version", version, "age", age, "leaseRemaining", s.term.Remaining())
		return nil, s.readAgreement(timeout)
	})
	select {
	case <-read:
	case <-ctx.Done():
	case <-s.term.Context().Done():
	}
}

// mayDecide reports whether requests may be answered by the present agreement. An owner
// whose lease is valid reaches the store, so that the operators may have changed an agreement
// of unknown age. Without a lease, the store may be unavailable to everyone. The caller holds
// s.mu.
func (s *Shard) mayDecide() bool {
	return s.options.ChangeInForce == 0 || !s.LeaseValid() || s.agreement.AsOf.Age() <= s.options.ChangeInForce
}

// readAgreement reads the agreement once and puts it in force.
func (s *Shard) readAgreement(timeout time.Duration) error {
	ctx, cancel := context.WithTimeout(s.term.Context(), timeout)
	defer cancel()
	a, err := s.options.ReadAgreement(ctx)
	if err != nil {
		s.log.Warn("agreementReadFailed", "error", err)
		s.mu.Lock()
		defer s.mu.Unlock()
		s.agreementReadFailedAt = store.Now()
		return err
	}
	s.SetAgreement(a)
	return nil
}
