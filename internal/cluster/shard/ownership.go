package shard

import (
	"context"

	"github.com/citronbay/citronbay/internal/cluster/caller"
)

// ownershipCheck is a check with the store that this process is still the owner.
type ownershipCheck struct {
	done chan struct{} // closed after err is set
	err  error
}

// denyJob answers a request about a job that was not found. The other nodes end the lease of
// a silent owner before its time is over, so the next owner may have accepted the job.
func (s *Shard) denyJob(ctx context.Context, r caller.Request) caller.Response {
	err := s.confirmOwnership(ctx)
	switch {
	case s.term.Context().Err() != nil:
		return caller.Response{Status: caller.NotOwner}
	case err != nil:
		return s.refuseRequest(r, reasonOwnershipUnknown)
	}
	return caller.Response{
		Status: caller.NoJob,
		Reason: "no such job",
	}
}

// confirmOwnership checks with the store that this process is the owner at some time after
// the call. Calls that come while a check is in progress share the next one.
func (s *Shard) confirmOwnership(ctx context.Context) error {
	s.mu.Lock()
	check := s.nextCheck
	if check == nil {
		check = &ownershipCheck{done: make(chan struct{})}
		s.nextCheck = check
	}
	if !s.checking {
		s.checking = true
		go s.runOwnershipChecks()
	}
	s.mu.Unlock()
	select {
	case <-check.done:
		return check.err
	case <-ctx.Done():
		return ctx.Err()
	}
}

// runOwnershipChecks carries out the checks that are waited for, one after the other.
func (s *Shard) runOwnershipChecks() {
	for {
		s.mu.Lock()
		check := s.nextCheck
		s.nextCheck = nil
		s.checking = check != nil
		s.mu.Unlock()
		if check == nil {
			return
		}
		check.err = s.term.Confirm()
		close(check.done)
	}
}
