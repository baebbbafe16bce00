package shard

import (
	"fmt"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"github.com/citronbay/citronbay/internal/cluster/worker"
	"github.com/citronbay/citronbay/internal/decide/admission"
	"github.com/citronbay/citronbay/internal/decide/job"
)

// responseReason is why the response to a request is not OK, as logs and metrics show it.
type responseReason string

const (
	reasonStoreUnavailable responseReason = "storeAway"
	reasonAgreementUnknown responseReason = "agreementUnknown"
	reasonGivenUp          responseReason = "givenUp"
	reasonDeadline         responseReason = "deadline"
	reasonOwnershipUnknown responseReason = "ownershipUnknown"
	reasonUnconfirmed      responseReason = "unconfirmed"
	reasonOverloaded       responseReason = "overloaded"
	reasonInvalid          responseReason = "invalid"
	reasonNoQueue          responseReason = "noQueue"
	reasonBadKey           responseReason = "badKey"
)

func countSubmission(outcome string) {
	metrics.GetOrCreateCounter(fmt.Sprintf("citronbay_submissions_total{outcome=%q}", outcome)).Inc()
}

func countRefusedRequest(reason string) {
	metrics.GetOrCreateCounter(fmt.Sprintf("citronbay_requests_refused_total{reason=%q}", reason)).Inc()
}

// countRefusedJob counts a submission that admission has refused, and the time after which its caller
// may return.
func countRefusedJob(team string, d admission.Decision, repeated bool) {
	metrics.GetOrCreateCounter(fmt.Sprintf("citronbay_admission_refused_total{team=%q,reason=%q}", team, d.Reason)).Inc()
	metrics.GetOrCreateHistogram(fmt.Sprintf("citronbay_admission_retry_seconds{reason=%q}", d.Reason)).Update(float64(d.RetryMillis) / 1000)
	if repeated {
		metrics.GetOrCreateCounter("citronbay_admission_returned_total{outcome=\"refused\"}").Inc()
	}
}

// countAcceptedJob counts a submission that admission has accepted.
func countAcceptedJob(team string, overRate, repeated bool) {
	metrics.GetOrCreateCounter(fmt.Sprintf("citronbay_admission_accepted_total{team=%q,over_rate=\"%t\"}", team, overRate)).Inc()
	if repeated {
		metrics.GetOrCreateCounter("citronbay_admission_returned_total{outcome=\"accepted\"}").Inc()
	}
}

// countEstimate records by how much a completed job was later than expected at its acceptance, or
// earlier.
func countEstimate(queue string, late time.Duration) {
	side := "late"
	if late < 0 {
		side, late = "early", -late
	}
	metrics.GetOrCreateHistogram(fmt.Sprintf("citronbay_admission_estimate_error_seconds{queue=%q,side=%q}", queue, side)).Update(late.Seconds())
}

func countJobEnd(queue string, outcome job.Outcome, age time.Duration) {
	metrics.GetOrCreateCounter(fmt.Sprintf("citronbay_jobs_ended_total{queue=%q,outcome=%q}", queue, outcome)).Inc()
	metrics.GetOrCreateHistogram(fmt.Sprintf("citronbay_job_seconds{queue=%q}", queue)).Update(age.Seconds())
}

func countFirstStart(priority int, wait time.Duration) {
	metrics.GetOrCreateHistogram(fmt.Sprintf("citronbay_first_start_seconds{priority=\"%d\"}", priority)).Update(wait.Seconds())
}

func countStartAnswer(answer worker.Answer) {
	metrics.GetOrCreateCounter(fmt.Sprintf("citronbay_starts_total{answer=%q}", answer)).Inc()
}

func countUnansweredOrder(order string) {
	metrics.GetOrCreateCounter(fmt.Sprintf("citronbay_orders_unanswered_total{order=%q}", order)).Inc()
}

func countLostAttempt(reason string) {
	metrics.GetOrCreateCounter(fmt.Sprintf("citronbay_attempts_lost_total{reason=%q}", reason)).Inc()
}

func countGivenUpJob(queue string) {
	metrics.GetOrCreateCounter(fmt.Sprintf("citronbay_jobs_given_up_total{queue=%q}", queue)).Inc()
}

// countJournalMismatch counts a record of the journal that did not match the state at a takeover.
func countJournalMismatch() {
	metrics.GetOrCreateCounter("citronbay_journal_mismatches_total").Inc()
}

// setWaitingSteps updates the gauges of the ready steps of jobs within their team's rate, by the
// cause for which they wait.
func setWaitingSteps(byCause map[job.WaitCause]int) {
	for _, cause := range job.AllWaitCauses() {
		metrics.GetOrCreateGauge(fmt.Sprintf("citronbay_steps_waiting{cause=%q}", cause), nil).Set(float64(byCause[cause]))
	}
}

// setGauges updates the gauges from the state; the caller holds s.mu.
func (s *Shard) setGauges(workers []*job.Worker) {
	metrics.GetOrCreateGauge("citronbay_open_jobs", nil).Set(float64(len(s.state.OpenJobs())))
	metrics.GetOrCreateGauge("citronbay_agreement_version", nil).Set(float64(s.agreement.Version))
	used, capacity, usable := s.fleetUsage(workers)
	metrics.GetOrCreateGauge("citronbay_workers_usable", nil).Set(float64(usable))
	metrics.GetOrCreateGauge("citronbay_cores_used", nil).Set(float64(used.MilliCores) / 1000)
	metrics.GetOrCreateGauge("citronbay_cores", nil).Set(float64(capacity.MilliCores) / 1000)
	for name := range s.agreement.Rules.Teams {
		metrics.GetOrCreateGauge(fmt.Sprintf("citronbay_team_cores{team=%q}", name), nil).
			Set(float64(s.state.TeamUsed(name).MilliCores) / 1000)
	}
}

// fleetUsage returns the resources that are used and those that exist on all workers, and
// the number of usable workers. The caller holds s.mu.
func (s *Shard) fleetUsage(workers []*job.Worker) (used, capacity job.Resources, usable int) {
	for _, w := range workers {
		if w.Usable {
			usable++
		}
		used = used.Plus(s.state.Used(w.Key()))
		capacity = capacity.Plus(w.Capacity)
	}
	return used, capacity, usable
}
