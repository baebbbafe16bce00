package shard

import (
	"context"
	"time"

	"github.com/citronbay/citronbay/internal/cluster/operator"
	"github.com/citronbay/citronbay/internal/cluster/store"
)

const (
	// agreementReadTimeout bounds a read of the agreement for which requests wait. A store
	// fifty times slower than its normal 4 ms answers within it.
	agreementReadTimeout = 300 * time.Millisecond
	// agreementRetryInterval is the time after a failed read in which requests wait for no
	// further one, as in an outage of the store.
	agreementRetryInterval = time.Second
	// maxUnconfirmedAge is the age of the agreement above which an owner that reaches the
	// store, but cannot read the agreement, answers no request by it: changes have to be in
	// force everywhere within this time.
	maxUnconfirmedAge = 7 * time.Second
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

// refreshAgreement reads the agreement from the store if the present one is older than
// Options.MaxAgreementAge, as after a time in which this process was frozen. Requests that
// need it at the same time share one read. If the store cannot be read, the present
// agreement stays in force: the store may be unavailable to everyone, and no newer version
// exists then. See mayDecide for an owner whose lease is renewed all the same.
func (s *Shard) refreshAgreement(ctx context.Context) {
	s.mu.Lock()
	age, version := s.agreement.AsOf.Age(), s.agreement.Version
	wanted := s.options.MaxAgreementAge > 0 && age > s.options.MaxAgreementAge &&
		s.agreementReadFailedAt.Age() > agreementRetryInterval
	s.mu.Unlock()
	if !wanted {
		return
	}
	read := s.agreementReads.DoChan("", func() (any, error) {
		s.log.Info("agreementOutdated", "version", version, "age", age, "leaseRemaining", s.term.Remaining())
		return nil, s.readAgreement()
	})
	select {
	case <-read:
	case <-ctx.Done():
	case <-s.term.Context().Done():
	}
}

// mayDecide reports whether requests may be answered by the present agreement. The caller
// holds s.mu.
func (s *Shard) mayDecide() bool {
	return s.options.MaxAgreementAge == 0 || !s.LeaseValid() || s.agreement.AsOf.Age() <= maxUnconfirmedAge
}

// readAgreement reads the agreement once and puts it in force.
func (s *Shard) readAgreement() error {
	ctx, cancel := context.WithTimeout(s.term.Context(), agreementReadTimeout)
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
