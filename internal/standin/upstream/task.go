package upstream

import (
	"context"
	"fmt"
	"strconv"
	"strings"
	"time"

	"github.com/citronbay/citronbay/internal/api/upstream"
)

type task struct {
	request upstream.StartRequest
	// checkpoint is the time that it has run, in milliseconds, as text.
	checkpoint []byte
	begun      int64
	state      string
	reason     string
	result     []byte
	done       chan struct{}
	cancel     context.CancelFunc
	span       int
}

func (u *Upstream) begins(request upstream.StartRequest) *task {
	ctx, cancel := context.WithCancel(context.Background())
	t := &task{
		request: request,
		begun:   u.clock(),
		state:   upstream.StateRunning,
		done:    make(chan struct{}),
		cancel:  cancel,
		span:    len(u.observed.Spans),
	}
	u.remember(request.Task, t)
	u.used = u.used.Plus(request.Size)
	u.noteUse()
	u.observed.Starts[request.Task]++
	u.observed.Running[request.Task] = request.Team
	u.observed.Spans = append(u.observed.Spans, Span{
		Task:  request.Task,
		Team:  request.Team,
		Begin: time.Now().UnixMilli(),
	})
	u.observed.Peak = peak(u.observed.Peak, u.used)
	if u.faults.FailAll {
		u.end(t, upstream.StateFailed, "the machine fails every task", nil)
		return t
	}
	go u.run(ctx, t)
	return t
}

func peak(a, b upstream.Resources) upstream.Resources {
	return upstream.Resources{
		MilliProcessors: max(a.MilliProcessors, b.MilliProcessors),
		MemoryBytes:     max(a.MemoryBytes, b.MemoryBytes),
		Accelerators:    max(a.Accelerators, b.Accelerators),
		Slots:           max(a.Slots, b.Slots),
	}
}

func (u *Upstream) remember(id string, t *task) {
	u.tasks[id] = t
	u.order = append(u.order, id)
	if len(u.order) > keptEnds {
		oldest := u.order[0]
		u.order = u.order[1:]
		if u.tasks[oldest].state != upstream.StateRunning {
			delete(u.tasks, oldest)
		}
	}
}

// run simulates a task: it lasts as long as asked, for ever when the time is
// negative, and gives back its command and payload; the command "fail" fails.
func (u *Upstream) run(ctx context.Context, t *task) {
	var over <-chan time.Time
	if t.request.RunMillis >= 0 {
		left := max(0, t.request.RunMillis-resumed(t.request))
		timer := time.NewTimer(time.Duration(left) * time.Millisecond)
		defer timer.Stop()
		over = timer.C
	}
	select {
	case <-ctx.Done():
		return
	case <-over:
	}
	u.mu.Lock()
	defer u.mu.Unlock()
	if strings.HasPrefix(t.request.Command, "fail") {
		u.end(t, upstream.StateFailed, "the command failed", nil)
		return
	}
	result := fmt.Appendf(nil, "%s:%s", t.request.Command, t.request.Payload)
	u.end(t, upstream.StateCompleted, "", result)
}

// resumed returns how long the task has run before, in milliseconds.
func resumed(request upstream.StartRequest) int64 {
	ran, err := strconv.ParseInt(string(request.Resume), 10, 64)
	if err != nil {
		return 0
	}
	return ran
}

// end records a task's end once and frees what it held.
func (u *Upstream) end(t *task, state, reason string, result []byte) {
	if t.state != upstream.StateRunning {
		return
	}
	t.cancel()
	t.state = state
	t.reason = reason
	t.result = result
	u.used = u.used.Minus(t.request.Size)
	u.noteUse()
	delete(u.observed.Running, t.request.Task)
	u.observed.Spans[t.span].End = time.Now().UnixMilli()
	close(t.done)
	if !t.request.Wait {
		u.report(t)
	}
}

func (u *Upstream) report(t *task) {
	u.sequence++
	u.ended = append(u.ended, upstream.Ended{
		Sequence:   u.sequence,
		Task:       t.request.Task,
		Job:        t.request.Job,
		Team:       t.request.Team,
		Failed:     t.reason,
		Result:     t.result,
		Checkpoint: t.checkpoint,
	})
	close(u.signal)
	u.signal = make(chan struct{})
}
