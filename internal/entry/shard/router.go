package shard

import (
	"context"
	"errors"
	"fmt"
	"strings"
	"sync"
	"time"

	"github.com/google/uuid"

	"github.com/citronbay/citronbay/internal/api/caller"
	"github.com/citronbay/citronbay/internal/api/operator"
	apipeer "github.com/citronbay/citronbay/internal/api/peer"
	apiplatform "github.com/citronbay/citronbay/internal/api/platform"
	"github.com/citronbay/citronbay/internal/entry/peer"
	"github.com/citronbay/citronbay/internal/entry/platform"
	"github.com/citronbay/citronbay/internal/entry/upstream"
)

// Methods that owners serve to other entries.
const (
	methodServe        = "serve"
	methodSubmit       = "submit"
	methodJobStatus    = "jobStatus"
	methodJobCancel    = "jobCancel"
	methodJobExplain   = "jobExplain"
	methodShardStatus  = "shardStatus"
	methodQueryRequest = "askRequest"
)

const (
	// spilloverTimeout is how long a request waits for a slot in one shard before
	// the next shard is tried. The last shard is given the whole deadline.
	spilloverTimeout = 150 * time.Millisecond
	// retryDelay is the delay before the shards are tried again if no owner was
	// found, none accepted the work, or an answer was lost.
	retryDelay = 50 * time.Millisecond
	// shardStatusTimeout bounds the status calls to all owners together.
	shardStatusTimeout = time.Second
)

// reasonNoWorkers is the reason given for a job that could not be sent to the owner
// of any shard that has workers.
const reasonNoWorkers = "no reachable failure domain has workers"

// JobRequest identifies a job and the team that asks for it; the team is empty if
// an operator asks.
type JobRequest struct {
	Team  string `json:"team"`
	JobID string `json:"jobId"`
}

// RequestQuery asks an owner for the answer of a request that its caller has given
// an id, and cancels the request if Cancel is set.
type RequestQuery struct {
	Team      string `json:"team"`
	RequestID string `json:"requestId"`
	Cancel    bool   `json:"cancel"`
}

// RequestReply is the answer of a request so far; Found is false if the owner does
// not know the request.
type RequestReply struct {
	Answer caller.Answer `json:"answer"`
	Found  bool          `json:"found"`
}

// JobReply is a job's status; Found is false if the owner does not know the job or
// it is another team's.
type JobReply struct {
	Status caller.JobStatus `json:"status"`
	Found  bool             `json:"found"`
}

// ExplainReply is a job's explanation; Found is false if the owner does not know
// the job.
type ExplainReply struct {
	Explanation caller.Explanation `json:"explanation"`
	Found       bool               `json:"found"`
}

// Empty is a request without fields.
type Empty struct{}

// Router finds the owners of shards and sends work to them. Create it with
// NewRouter.
type Router struct {
	self        peer.Member
	ownership   *Ownership
	membership  *peer.Membership
	sync        *platform.Sync
	registry    *platform.Registry
	retryBudget *retryBudget
}

// NewRouter returns a router that runs on the entry self.
func NewRouter(self peer.Member, ownership *Ownership, membership *peer.Membership, sync *platform.Sync, registry *platform.Registry) *Router {
	return &Router{
		self:        self,
		ownership:   ownership,
		membership:  membership,
		sync:        sync,
		registry:    registry,
		retryBudget: newRetryBudget(time.Now()),
	}
}

// Register adds the methods of the shard owned by this entry to the server.
func (r *Router) Register(server *apipeer.Server) {
	apipeer.Handle(server, methodServe, func(ctx context.Context, request upstream.ServeRequest) (caller.Answer, error) {
		if owned := r.ownership.OwnedShard(); owned != nil {
			// The work goes on if the connection is lost, so that a repeated call gets its answer.
			ctx, cancel := withoutCancel(ctx)
			defer cancel()
			return owned.Serve(ctx, request), nil
		}
		return notOwnerAnswer(request), nil
	})
	apipeer.Handle(server, methodSubmit, func(ctx context.Context, request upstream.SubmitRequest) (caller.JobStatus, error) {
		if owned := r.ownership.OwnedShard(); owned != nil {
			return owned.Submit(ctx, request), nil
		}
		return caller.JobStatus{
			Fate:   caller.FateNotRun,
			Reason: reasonNotOwner,
		}, nil
	})
	apipeer.Handle(server, methodJobStatus, ownedShardHandler(r, jobStatus))
	apipeer.Handle(server, methodJobCancel, ownedShardHandler(r, cancelJob))
	apipeer.Handle(server, methodJobExplain, ownedShardHandler(r, explainJob))
	apipeer.Handle(server, methodQueryRequest, func(ctx context.Context, request RequestQuery) (RequestReply, error) {
		return r.queryOwnedShard(ctx, request), nil
	})
	apipeer.Handle(server, methodShardStatus, ownedShardHandler(r, func(owned *upstream.Shard, _ Empty) (operator.ShardStatus, error) {
		return owned.Status(), nil
	}))
}

// withoutCancel returns a context that ends at the deadline of ctx, if it has one, but not when ctx is
// cancelled.
func withoutCancel(ctx context.Context) (context.Context, context.CancelFunc) {
	detached := context.WithoutCancel(ctx)
	if deadline, ok := ctx.Deadline(); ok {
		return context.WithDeadline(detached, deadline)
	}
	return context.WithCancel(detached)
}

// errJobsNotRead reports that a new owner does not know yet which jobs earlier owners have
// left.
var errJobsNotRead = errors.New("shard: the owner has not read the shard's jobs yet")

// checkFound returns errJobsNotRead if a job was not found, but may exist. Callers set
// jobsRead to whether the jobs had been read before the search.
func checkFound(found, jobsRead bool) error {
	if !found && !jobsRead {
		return errJobsNotRead
	}
	return nil
}

func jobStatus(owned *upstream.Shard, request JobRequest) (JobReply, error) {
	jobsRead := owned.JobsRead()
	status, found := owned.JobStatus(request.Team, request.JobID)
	return JobReply{
		Status: status,
		Found:  found,
	}, checkFound(found, jobsRead)
}

func cancelJob(owned *upstream.Shard, request JobRequest) (JobReply, error) {
	jobsRead := owned.JobsRead()
	status, found := owned.Cancel(request.Team, request.JobID)
	return JobReply{
		Status: status,
		Found:  found,
	}, checkFound(found, jobsRead)
}

func explainJob(owned *upstream.Shard, request JobRequest) (ExplainReply, error) {
	jobsRead := owned.JobsRead()
	explanation, found := owned.Explain(request.JobID)
	return ExplainReply{
		Explanation: explanation,
		Found:       found,
	}, checkFound(found, jobsRead)
}

// ownedShardHandler returns a handler that calls handle with the shard owned by
// this entry, or fails if the entry owns none.
func ownedShardHandler[Request, Response any](r *Router, handle func(*upstream.Shard, Request) (Response, error)) func(context.Context, Request) (Response, error) {
	return func(_ context.Context, request Request) (Response, error) {
		owned := r.ownership.OwnedShard()
		if owned == nil {
			var zero Response
			return zero, errors.New(reasonNotOwner)
		}
		return handle(owned, request)
	}
}

// candidate is a shard that may accept work.
type candidate struct {
	domain string
	region string
}

// candidates returns the shards that have an eligible VM listed in the directory:
// the shard of the entry's domain, then those of its region. Those of other regions
// follow if the preset in force allows it.
func (r *Router) candidates(isEligible func(platform.Machine) bool) []candidate {
	var own, sameRegion, otherRegions []candidate
	seen := map[string]bool{}
	for _, machine := range r.sync.Machines() {
		if !machine.VM.IsUpstream() || seen[machine.VM.Domain] || !machine.MissingSince.IsZero() || !isEligible(machine) {
			continue
		}
		seen[machine.VM.Domain] = true
		c := candidate{
			domain: machine.VM.Domain,
			region: machine.VM.Region,
		}
		switch {
		case c.domain == r.self.Domain:
			own = append(own, c)
		case c.region == r.self.Region:
			sameRegion = append(sameRegion, c)
		case r.registry.Preset().CrossRegion:
			otherRegions = append(otherRegions, c)
		}
	}
	return append(append(own, sameRegion...), otherRegions...)
}

// Serve runs a request in the nearest shard that can run it and returns its answer.
// A request without an id is given one. If an owner may have begun the request but
// its answer was lost, only that shard is tried again, and only if the request may
// run twice or its caller has given it an id, under which the journal prevents a
// second run. Retryable rejections are retried until the context ends; the last
// answer is then returned. Once a call may have reached an owner, each further call
// takes a retry from the retry budget.
func (r *Router) Serve(ctx context.Context, request upstream.ServeRequest) caller.Answer {
	r.retryBudget.deposit(r.registry.Preset().RetryPercent)
	request.Named = request.Request.RequestID != ""
	if !request.Named {
		request.Request.RequestID = uuid.NewString()
	}
	answer := caller.Answer{
		RequestID: request.Request.RequestID,
		Entry:     r.self.Name,
		Fate:      caller.FateNotRun,
		Reason:    "no reachable failure domain offers the service",
	}
	candidates := r.serviceCandidates(request.Request.Service)
	attempted := false
	for {
		for i, c := range candidates {
			request.WaitMillis = 0
			if i < len(candidates)-1 {
				request.WaitMillis = spilloverTimeout.Milliseconds()
			}
			target, ok := r.findOwner(c)
			if !ok {
				continue
			}
			if attempted && !r.retryBudget.tryWithdraw(time.Now()) {
				break
			}
			result, outcome := r.callServe(ctx, target, request)
			if outcome == undelivered {
				continue
			}
			attempted = true
			answer = result
			if outcome == answerLost && (!request.Request.AtMostOnce || request.Named) {
				candidates = []candidate{c}
				request.Retry = true
				break
			}
			if outcome == answerLost || !isRetryableAnswer(result, request.Retry) {
				return result
			}
		}
		if !sleep(ctx, retryDelay) {
			return answer
		}
		if !request.Retry {
			candidates = r.serviceCandidates(request.Request.Service)
		}
	}
}

func (r *Router) serviceCandidates(service string) []candidate {
	return r.candidates(func(machine platform.Machine) bool {
		return machine.VM.Role == apiplatform.RoleRunner && machine.VM.Service == service
	})
}

// callOutcome is the outcome of a call to an owner.
type callOutcome int

const (
	// undelivered means that the request was not sent to any owner.
	undelivered callOutcome = iota
	// answered means that the owner has returned the request's fate.
	answered
	// answerLost means that the call failed after the owner may have begun the
	// request.
	answerLost
)

// target is the owner of a shard: the shard itself if this entry owns it, and otherwise a peer.
type target struct {
	owned *upstream.Shard
	owner peer.Status
}

// findOwner returns the owner of the shard c, and false if none is known.
func (r *Router) findOwner(c candidate) (target, bool) {
	if c.domain == r.self.Domain {
		if owned := r.ownership.OwnedShard(); owned != nil {
			return target{owned: owned}, true
		}
	}
	owner, ok := r.membership.Owner(c.domain)
	return target{owner: owner}, ok
}

// callServe runs the request at the owner. An answer to another request counts as lost.
func (r *Router) callServe(ctx context.Context, t target, request upstream.ServeRequest) (caller.Answer, callOutcome) {
	if t.owned != nil {
		return t.owned.Serve(ctx, request), answered
	}
	answer, err := apipeer.Call[caller.Answer](ctx, t.owner.Client, methodServe, request)
	switch {
	case err == nil && answer.RequestID == request.Request.RequestID:
		return answer, answered
	case err != nil && errors.Is(err, apipeer.ErrNotSent):
		return answer, undelivered
	}
	return caller.Answer{
		RequestID: request.Request.RequestID,
		Entry:     r.self.Name,
		Fate:      caller.FateUnknown,
		Reason:    fmt.Sprintf("the call to the owner %s failed before it answered", t.owner.Member.Name),
	}, answerLost
}

// Submit sends a job to the nearest shard that accepts it and returns the job's
// status. If none does, it retries until the context ends, unless the last shard
// that answered gave a reason that is not retryable. If an answer was lost, the fate
// is FateUnknown, and the job is not sent again.
func (r *Router) Submit(ctx context.Context, request upstream.SubmitRequest) caller.JobStatus {
	status := caller.JobStatus{
		Fate:   caller.FateNotRun,
		Reason: reasonNoWorkers,
	}
	for {
		candidates := r.candidates(func(machine platform.Machine) bool { return machine.VM.Role == apiplatform.RoleWorker })
		for _, c := range candidates {
			result, sent := r.callSubmit(ctx, c, request)
			if !sent {
				continue
			}
			status = result
			if result.Fate != caller.FateNotRun {
				return result
			}
		}
		if !isRetryable(status.Reason) && status.Reason != reasonNoWorkers {
			return status
		}
		if !sleep(ctx, retryDelay) {
			return status
		}
	}
}

// callSubmit sends the job to the shard c. It returns false if the job was not sent
// to any owner.
func (r *Router) callSubmit(ctx context.Context, c candidate, request upstream.SubmitRequest) (caller.JobStatus, bool) {
	t, ok := r.findOwner(c)
	if !ok {
		return caller.JobStatus{}, false
	}
	if t.owned != nil {
		return t.owned.Submit(ctx, request), true
	}
	status, err := apipeer.Call[caller.JobStatus](ctx, t.owner.Client, methodSubmit, request)
	switch {
	case err == nil:
		return status, true
	case errors.Is(err, apipeer.ErrNotSent):
		return caller.JobStatus{}, false
	}
	return caller.JobStatus{
		Fate:   caller.FateUnknown,
		Reason: fmt.Sprintf("the call to the owner %s failed before it answered", t.owner.Member.Name),
	}, true
}

// ErrOwnerUnreachable reports that the owner of a job's shard is not known, that
// the call to it failed, that the entry called no longer owns the shard, or that a new
// owner has not read its jobs yet. After a failed call, the outcome may be unknown.
var ErrOwnerUnreachable = errors.New("shard: the owner cannot be reached")

// JobStatus returns the status of a job. Found is false in the reply if the owner
// does not know the job or it is another team's. The error wraps ErrOwnerUnreachable.
func (r *Router) JobStatus(ctx context.Context, request JobRequest) (JobReply, error) {
	return callJobOwner(ctx, r, request, methodJobStatus, jobStatus)
}

// Cancel cancels a job and returns its status. Found and the error are as for JobStatus;
// after an error the job may have been cancelled.
func (r *Router) Cancel(ctx context.Context, request JobRequest) (JobReply, error) {
	return callJobOwner(ctx, r, request, methodJobCancel, cancelJob)
}

// Explain returns why a job waits or where it was placed. It does not check the
// job's team. The error wraps ErrOwnerUnreachable.
func (r *Router) Explain(ctx context.Context, request JobRequest) (ExplainReply, error) {
	return callJobOwner(ctx, r, request, methodJobExplain, explainJob)
}

// callJobOwner calls the owner of the job's shard, which the part of the job's id
// before the first dot names. If that is this entry, it calls handle instead.
func callJobOwner[Response any](ctx context.Context, r *Router, request JobRequest, method string, handle func(*upstream.Shard, JobRequest) (Response, error)) (Response, error) {
	domain, _, _ := strings.Cut(request.JobID, ".")
	owned := r.ownership.OwnedShard()
	var zero Response
	if domain == r.self.Domain && owned != nil {
		reply, err := handle(owned, request)
		if err != nil {
			return zero, errors.Join(ErrOwnerUnreachable, err)
		}
		return reply, nil
	}
	owner, ok := r.membership.Owner(domain)
	if !ok {
		return zero, ErrOwnerUnreachable
	}
	reply, err := apipeer.Call[Response](ctx, owner.Client, method, request)
	if err != nil {
		return zero, errors.Join(ErrOwnerUnreachable, err)
	}
	return reply, nil
}

// queryOwnedShard queries the shard owned by this entry. Found is false in the
// reply if the entry owns none or the shard does not know the request.
func (r *Router) queryOwnedShard(ctx context.Context, request RequestQuery) RequestReply {
	owned := r.ownership.OwnedShard()
	if owned == nil {
		return RequestReply{}
	}
	answer, found := owned.QueryRequest(ctx, request.Team, request.RequestID, request.Cancel)
	return RequestReply{
		Answer: answer,
		Found:  found,
	}
}

// QueryRequest asks the owners in turn for a request, and cancels the request if
// Cancel is set in the query. Found is false in the reply if no owner that answered
// knows the request.
func (r *Router) QueryRequest(ctx context.Context, request RequestQuery) RequestReply {
	if reply := r.queryOwnedShard(ctx, request); reply.Found {
		return reply
	}
	for _, status := range r.membership.Peers() {
		if !status.Alive || !status.LastHeartbeat.OwnsShard() {
			continue
		}
		reply, err := apipeer.Call[RequestReply](ctx, status.Client, methodQueryRequest, request)
		if err == nil && reply.Found {
			return reply
		}
	}
	return RequestReply{}
}

// ShardStatuses returns the status of each shard whose owner answers within one
// second.
func (r *Router) ShardStatuses(ctx context.Context) []operator.ShardStatus {
	ctx, cancel := context.WithTimeout(ctx, shardStatusTimeout)
	defer cancel()
	var mu sync.Mutex
	var statuses []operator.ShardStatus
	var calls sync.WaitGroup
	if owned := r.ownership.OwnedShard(); owned != nil {
		statuses = append(statuses, owned.Status())
	}
	for _, status := range r.membership.Peers() {
		if !status.Alive || !status.LastHeartbeat.OwnsShard() {
			continue
		}
		calls.Go(func() {
			reply, err := apipeer.Call[operator.ShardStatus](ctx, status.Client, methodShardStatus, Empty{})
			if err != nil {
				return
			}
			mu.Lock()
			defer mu.Unlock()
			statuses = append(statuses, reply)
		})
	}
	calls.Wait()
	return statuses
}

// sleep waits for the delay, and returns false if the context ends first.
func sleep(ctx context.Context, delay time.Duration) bool {
	timer := time.NewTimer(delay)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}
