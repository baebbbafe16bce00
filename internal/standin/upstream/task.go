package upstream

import (
	"context"
	"fmt"
	"strconv"
	"strings"
	"time"

	"github.com/citronbay/citronbay/internal/api/upstream"
)

// task is a task that has been started, or with StateRefused one that was stopped
// before its start.
type task struct {
	request upstream.StartRequest
	// checkpoint is the run time so far over all attempts, in decimal milliseconds.
	checkpoint    []byte
	startedMillis int64
	state         string
	reason        string
	result        []byte
	done          chan struct{}
	cancel        context.CancelFunc
	spanIndex     int // index in Observed.Spans
}

func (u *Upstream) startTask(request upstream.StartRequest) *task {
	ctx, cancel := context.WithCancel(context.Background())
	t := &task{
		request:       request,
		startedMillis: u.nowMillis(),
		state:         upstream.StateRunning,
		done:          make(chan struct{}),
		cancel:        cancel,
		spanIndex:     len(u.observed.Spans),
	}
	u.addTask(request.Task, t)
	u.used = u.used.Plus(request.Size)
	u.recordUsage()
	u.observed.Starts[request.Task]++
	u.observed.Running[request.Task] = request.Team
	u.observed.Spans = append(u.observed.Spans, Span{
		Task:  request.Task,
		Team:  request.Team,
		Begin: time.Now().UnixMilli(),
	})
	u.observed.Peak = maxResources(u.observed.Peak, u.used)
	if u.faults.FailAll {
		u.endTask(t, upstream.StateFailed, "the injected fault fails every task", nil)
		return t
	}
	go u.run(ctx, t)
	return t
}

func maxResources(a, b upstream.Resources) upstream.Resources {
	return upstream.Resources{
		MilliProcessors: max(a.MilliProcessors, b.MilliProcessors),
		MemoryBytes:     max(a.MemoryBytes, b.MemoryBytes),
		Accelerators:    max(a.Accelerators, b.Accelerators),
		Slots:           max(a.Slots, b.Slots),
	}
}

func (u *Upstream) addTask(id string, t *task) {
	u.tasks[id] = t
	u.taskOrder = append(u.taskOrder, id)
	if len(u.taskOrder) > maxKeptTasks {
		oldest := u.taskOrder[0]
		u.taskOrder = u.taskOrder[1:]
		if u.tasks[oldest].state != upstream.StateRunning {
			delete(u.tasks, oldest)
		}
	}
}

// run simulates a task that runs for RunMillis, less the run time in the checkpoint
// from which it resumes, or until it is stopped if RunMillis is negative. Its result is
// "command:payload"; a command that begins with "fail" fails.
func (u *Upstream) run(ctx context.Context, t *task) {
	var finished <-chan time.Time
	if t.request.RunMillis >= 0 {
		remaining := max(0, t.request.RunMillis-resumedMillis(t.request))
		timer := time.NewTimer(time.Duration(remaining) * time.Millisecond)
		defer timer.Stop()
		finished = timer.C
	}
	select {
	case <-ctx.Done():
		return
	case <-finished:
	}
	u.mu.Lock()
	defer u.mu.Unlock()
	if strings.HasPrefix(t.request.Command, "fail") {
		u.endTask(t, upstream.StateFailed, "the command failed", nil)
		return
	}
	result := fmt.Appendf(nil, "%s:%s", t.request.Command, t.request.Payload)
	u.endTask(t, upstream.StateCompleted, "", result)
}

// resumedMillis returns the run time recorded in the checkpoint that the task
// resumes from; zero without a valid one.
func resumedMillis(request upstream.StartRequest) int64 {
	ran, err := strconv.ParseInt(string(request.Resume), 10, 64)
	if err != nil {
		return 0
	}
	return ran
}

// endTask records the end of a running task and frees its resources; it does
// nothing if the task is not running. The end of a task started with Wait is not reported
// to the owner in LeaseResponse.Ended: the responses to its start and result calls carry
// it.
func (u *Upstream) endTask(t *task, state, reason string, result []byte) {
	if t.state != upstream.StateRunning {
		return
	}
	t.cancel()
	t.state = state
	t.reason = reason
	t.result = result
	u.used = u.used.Minus(t.request.Size)
	u.recordUsage()
	delete(u.observed.Running, t.request.Task)
	u.observed.Spans[t.spanIndex].End = time.Now().UnixMilli()
	close(t.done)
	if !t.request.Wait {
		u.reportEnd(t)
	}
}

func (u *Upstream) reportEnd(t *task) {
	u.lastSequence++
	u.unackedEnds = append(u.unackedEnds, upstream.Ended{
		Sequence:      u.lastSequence,
		Task:          t.request.Task,
		Job:           t.request.Job,
		Team:          t.request.Team,
		FailureReason: t.reason,
		Result:        t.result,
		Checkpoint:    t.checkpoint,
	})
	close(u.taskEnded)
	u.taskEnded = make(chan struct{})
}
