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
	methodServe   = "serve"
	methodSubmit  = "submit"
	methodStatus  = "jobStatus"
	methodCancel  = "jobCancel"
	methodExplain = "jobExplain"
	methodShard   = "shardStatus"
	methodRequest = "askRequest"
)

const (
	// spillAfter is how long a request waits in one shard before the next is
	// tried, while there is a next.
	spillAfter = 150 * time.Millisecond
	// ownerPause is the wait for an owner to be found.
	ownerPause = 50 * time.Millisecond
	// statusTimeout bounds the questions to owners about their state.
	statusTimeout = time.Second
)

// notOwner is the reason with which an entry refuses work of a shard that it
// does not own.
const notOwner = "the entry does not own the shard"

// noWorkers is the reason with which a job is refused that no owner has seen.
const noWorkers = "no failure domain that can be reached has workers"

// JobRequest names a job and who asks; an empty team is an operator.
type JobRequest struct {
	Team  string `json:"team"`
	JobID string `json:"jobId"`
}

// AskRequest asks after a named request, or cancels it.
type AskRequest struct {
	Team      string `json:"team"`
	RequestID string `json:"requestId"`
	Cancel    bool   `json:"cancel"`
}

// AskReply is what an owner knows of a request, if it knows it.
type AskReply struct {
	Answer caller.Answer `json:"answer"`
	Found  bool          `json:"found"`
}

// JobReply is a job's status, if the owner knows it.
type JobReply struct {
	Status caller.JobStatus `json:"status"`
	Found  bool             `json:"found"`
}

// ExplainReply is a job's explanation, if the owner knows it.
type ExplainReply struct {
	Explanation caller.Explanation `json:"explanation"`
	Found       bool               `json:"found"`
}

// Empty is a message without content.
type Empty struct{}

// Router finds the owners of shards and hands work to them. Create it with
// NewRouter.
type Router struct {
	self       peer.Member
	keeper     *Keeper
	membership *peer.Membership
	sync       *platform.Sync
	registry   *platform.Registry
	budget     *budget
}

// NewRouter returns a router of the entry itself.
func NewRouter(self peer.Member, keeper *Keeper, membership *peer.Membership, sync *platform.Sync, registry *platform.Registry) *Router {
	return &Router{
		self:       self,
		keeper:     keeper,
		membership: membership,
		sync:       sync,
		registry:   registry,
		budget:     newBudget(time.Now()),
	}
}

// Register serves the methods of the shard owned by this entry.
func (r *Router) Register(server *apipeer.Server) {
	apipeer.Handle(server, methodServe, func(ctx context.Context, request upstream.ServeRequest) (caller.Answer, error) {
		if owned := r.keeper.Owned(); owned != nil {
			return owned.Serve(ctx, request), nil
		}
		return caller.Answer{
			RequestID: request.Request.RequestID,
			Fate:      caller.FateNotRun,
			Reason:    notOwner,
		}, nil
	})
	apipeer.Handle(server, methodSubmit, func(ctx context.Context, request upstream.SubmitRequest) (caller.JobStatus, error) {
		if owned := r.keeper.Owned(); owned != nil {
			return owned.Submit(ctx, request), nil
		}
		return caller.JobStatus{
			Fate:   caller.FateNotRun,
			Reason: notOwner,
		}, nil
	})
	apipeer.Handle(server, methodStatus, owning(r, jobStatus))
	apipeer.Handle(server, methodCancel, owning(r, cancelJob))
	apipeer.Handle(server, methodExplain, owning(r, explainJob))
	apipeer.Handle(server, methodRequest, func(ctx context.Context, request AskRequest) (AskReply, error) {
		return r.askHere(ctx, request), nil
	})
	apipeer.Handle(server, methodShard, owning(r, func(owned *upstream.Shard, _ Empty) operator.ShardStatus {
		return owned.Status()
	}))
}

func jobStatus(owned *upstream.Shard, request JobRequest) JobReply {
	status, found := owned.JobStatus(request.Team, request.JobID)
	return JobReply{
		Status: status,
		Found:  found,
	}
}

func cancelJob(owned *upstream.Shard, request JobRequest) JobReply {
	status, found := owned.Cancel(request.Team, request.JobID)
	return JobReply{
		Status: status,
		Found:  found,
	}
}

func explainJob(owned *upstream.Shard, request JobRequest) ExplainReply {
	explanation, found := owned.Explain(request.JobID)
	return ExplainReply{
		Explanation: explanation,
		Found:       found,
	}
}

// owning serves a question from the shard owned here, or refuses it.
func owning[Request, Response any](r *Router, serve func(*upstream.Shard, Request) Response) func(context.Context, Request) (Response, error) {
	return func(_ context.Context, request Request) (Response, error) {
		owned := r.keeper.Owned()
		if owned == nil {
			var none Response
			return none, errors.New(notOwner)
		}
		return serve(owned, request), nil
	}
}

// place is one shard that may take work.
type place struct {
	domain string
	region string
}

// places returns the shards that may take the work, the nearest first.
// Those of other regions follow only if the preset allows it.
func (r *Router) places(fits func(platform.Machine) bool) []place {
	var own, near, far []place
	seen := map[string]bool{}
	for _, machine := range r.sync.Machines() {
		if !machine.VM.IsUpstream() || seen[machine.VM.Domain] || !machine.Missing.IsZero() || !fits(machine) {
			continue
		}
		seen[machine.VM.Domain] = true
		p := place{
			domain: machine.VM.Domain,
			region: machine.VM.Region,
		}
		switch {
		case p.domain == r.self.Domain:
			own = append(own, p)
		case p.region == r.self.Region:
			near = append(near, p)
		case r.registry.Preset().CrossRegion:
			far = append(far, p)
		}
	}
	return append(append(own, near...), far...)
}

// Serve runs a request in the nearest shard that can and returns its fate. Once
// an owner was lost that may have begun it, only that shard is asked again, and
// only if a second run is no harm or the journal prevents it.
func (r *Router) Serve(ctx context.Context, request upstream.ServeRequest) caller.Answer {
	r.budget.earn(r.registry.Preset().RetryPercent)
	request.Named = request.Request.RequestID != ""
	if !request.Named {
		request.Request.RequestID = uuid.NewString()
	}
	answer := caller.Answer{
		RequestID: request.Request.RequestID,
		Entry:     r.self.Name,
		Fate:      caller.FateNotRun,
		Reason:    "no failure domain that can be reached offers the service",
	}
	places := r.servicePlaces(request.Request.Service)
	seen := false
	for {
		for i, p := range places {
			request.WaitMillis = 0
			if i < len(places)-1 {
				request.WaitMillis = spillAfter.Milliseconds()
			}
			if seen && !r.budget.spend(time.Now()) {
				break
			}
			found, h := r.serveAt(ctx, p, request)
			if h == unseen {
				continue
			}
			seen = true
			answer = found
			if h == lost && (!request.Request.AtMostOnce || request.Named) {
				places = []place{p}
				request.Retry = true
				break
			}
			if h == lost || found.Fate != caller.FateNotRun || !elsewhere(found.Reason) {
				return found
			}
		}
		if !sleep(ctx, ownerPause) {
			return answer
		}
		if !request.Retry {
			places = r.servicePlaces(request.Request.Service)
		}
	}
}

func (r *Router) servicePlaces(service string) []place {
	return r.places(func(machine platform.Machine) bool {
		return machine.VM.Role == apiplatform.RoleRunner && machine.VM.Service == service
	})
}

// elsewhere reports whether another shard, or the same one a moment later, may
// take work that was refused for the reason.
func elsewhere(reason string) bool {
	return reason == notOwner || reason == upstream.ReasonBusy || strings.Contains(reason, "hands over")
}

// hearing is what an owner has told of a request.
type hearing int

const (
	// unseen means that no owner has seen the request.
	unseen hearing = iota
	// answered means that the owner has told its fate.
	answered
	// lost means that the owner may have begun it.
	lost
)

// serveAt runs the request in one shard.
func (r *Router) serveAt(ctx context.Context, p place, request upstream.ServeRequest) (caller.Answer, hearing) {
	if p.domain == r.self.Domain {
		if owned := r.keeper.Owned(); owned != nil {
			return owned.Serve(ctx, request), answered
		}
	}
	owner, ok := r.membership.Owner(p.domain)
	if !ok {
		return caller.Answer{}, unseen
	}
	answer, err := apipeer.Call[caller.Answer](ctx, owner.Client, methodServe, request)
	switch {
	case err == nil && answer.RequestID == request.Request.RequestID:
		return answer, answered
	case err != nil && errors.Is(err, apipeer.ErrNotSent):
		return answer, unseen
	}
	return caller.Answer{
		RequestID: request.Request.RequestID,
		Entry:     r.self.Name,
		Fate:      caller.FateUnknown,
		Reason:    fmt.Sprintf("the owner %s was lost before it answered", owner.Member.Name),
	}, lost
}

// Submit hands a job to the nearest shard that takes it.
func (r *Router) Submit(ctx context.Context, request upstream.SubmitRequest) caller.JobStatus {
	status := caller.JobStatus{
		Fate:   caller.FateNotRun,
		Reason: noWorkers,
	}
	for {
		places := r.places(func(machine platform.Machine) bool { return machine.VM.Role == apiplatform.RoleWorker })
		for _, p := range places {
			found, answered := r.submitAt(ctx, p, request)
			if !answered {
				continue
			}
			status = found
			if found.Fate != caller.FateNotRun {
				return found
			}
		}
		if !elsewhere(status.Reason) && status.Reason != noWorkers {
			return status
		}
		if !sleep(ctx, ownerPause) {
			return status
		}
	}
}

func (r *Router) submitAt(ctx context.Context, p place, request upstream.SubmitRequest) (caller.JobStatus, bool) {
	if p.domain == r.self.Domain {
		if owned := r.keeper.Owned(); owned != nil {
			return owned.Submit(ctx, request), true
		}
	}
	owner, ok := r.membership.Owner(p.domain)
	if !ok {
		return caller.JobStatus{}, false
	}
	status, err := apipeer.Call[caller.JobStatus](ctx, owner.Client, methodSubmit, request)
	switch {
	case err == nil:
		return status, true
	case errors.Is(err, apipeer.ErrNotSent):
		return caller.JobStatus{}, false
	}
	return caller.JobStatus{
		Fate:   caller.FateUnknown,
		Reason: fmt.Sprintf("the owner %s was lost before it answered", owner.Member.Name),
	}, true
}

// ErrUnreached reports that the owner of a job's shard cannot be asked now.
var ErrUnreached = errors.New("shard: the owner cannot be reached")

// Job returns the status of a job; found is false when its owner does not
// know it for the team.
func (r *Router) Job(ctx context.Context, request JobRequest) (JobReply, error) {
	return ask(ctx, r, request, methodStatus, jobStatus)
}

// Cancel stops a job and returns its status.
func (r *Router) Cancel(ctx context.Context, request JobRequest) (JobReply, error) {
	return ask(ctx, r, request, methodCancel, cancelJob)
}

// Explain tells why a job waits or where it was placed.
func (r *Router) Explain(ctx context.Context, request JobRequest) (ExplainReply, error) {
	return ask(ctx, r, request, methodExplain, explainJob)
}

// ask puts a question about a job to the owner of the shard that its id names.
func ask[Response any](ctx context.Context, r *Router, request JobRequest, method string, local func(*upstream.Shard, JobRequest) Response) (Response, error) {
	domain, _, _ := strings.Cut(request.JobID, ".")
	owned := r.keeper.Owned()
	if domain == r.self.Domain && owned != nil {
		return local(owned, request), nil
	}
	var none Response
	owner, ok := r.membership.Owner(domain)
	if !ok {
		return none, ErrUnreached
	}
	reply, err := apipeer.Call[Response](ctx, owner.Client, method, request)
	if err != nil {
		return none, errors.Join(ErrUnreached, err)
	}
	return reply, nil
}

func (r *Router) askHere(ctx context.Context, request AskRequest) AskReply {
	owned := r.keeper.Owned()
	if owned == nil {
		return AskReply{}
	}
	answer, found := owned.AskRequest(ctx, request.Team, request.RequestID, request.Cancel)
	return AskReply{
		Answer: answer,
		Found:  found,
	}
}

// Ask tells what the owners that can be reached know of a named request, and
// cancels it if asked.
func (r *Router) Ask(ctx context.Context, request AskRequest) AskReply {
	if reply := r.askHere(ctx, request); reply.Found {
		return reply
	}
	for _, status := range r.membership.Peers() {
		if !status.Heard || !status.Beat.Owns() {
			continue
		}
		reply, err := apipeer.Call[AskReply](ctx, status.Client, methodRequest, request)
		if err == nil && reply.Found {
			return reply
		}
	}
	return AskReply{}
}

// Shards returns the state of every shard whose owner answers.
func (r *Router) Shards(ctx context.Context) []operator.ShardStatus {
	ctx, cancel := context.WithTimeout(ctx, statusTimeout)
	defer cancel()
	var mu sync.Mutex
	var shards []operator.ShardStatus
	var calls sync.WaitGroup
	if owned := r.keeper.Owned(); owned != nil {
		shards = append(shards, owned.Status())
	}
	for _, status := range r.membership.Peers() {
		if !status.Heard || !status.Beat.Owns() {
			continue
		}
		calls.Go(func() {
			reply, err := apipeer.Call[operator.ShardStatus](ctx, status.Client, methodShard, Empty{})
			if err != nil {
				return
			}
			mu.Lock()
			defer mu.Unlock()
			shards = append(shards, reply)
		})
	}
	calls.Wait()
	return shards
}

// sleep waits and reports whether the context goes on.
func sleep(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}
