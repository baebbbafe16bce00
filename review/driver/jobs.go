package main

import (
	"fmt"
	"sync"
	"time"

	"github.com/citronbay/citronbay/review/cell"
)

const (
	// finish is finish_s on the sites' sheets: how long after the end of the traffic jobs are
	// asked for.
	finish = 14 * time.Second
	// idle is how long a job may have nothing running while a task's turn has come.
	idle = 3 * time.Second
)

// submitAll hands in jobs at the given rate and returns the paths of the accepted ones.
func (p *play) submitAll(prefix string, first, count int, perSecond float64, body any) []string {
	var paths []string
	var mu sync.Mutex
	var group sync.WaitGroup
	begin := time.Now()
	for n := range count {
		time.Sleep(time.Until(begin.Add(time.Duration(float64(n) / perSecond * float64(time.Second)))))
		group.Go(func() {
			path := prefix + cell.ID(first+n)
			if p.Submit(path, body) {
				mu.Lock()
				defer mu.Unlock()
				paths = append(paths, path)
			}
		})
	}
	group.Wait()
	return paths
}

// doneTasks returns how many tasks of the job have ended done, and when the job last ran, or the
// zero time if it never did; running is set if a run goes on.
func (p *play) doneTasks(id string) (done int, lastRan time.Time, running bool) {
	for _, r := range p.Runs.Of(id) {
		if r.How == "done" {
			done++
		}
		running = running || r.End.IsZero()
		if r.End.After(lastRan) {
			lastRan = r.End
		}
	}
	return done, lastRan, running
}

// checkFinished waits for finish and then checks that the job with the given number of tasks has
// ended done, or at least has run within the last three seconds.
func (p *play) checkFinished(path string, tasks int, accepted time.Time) bool {
	id := path[len(path)-len(cell.ID(0)):]
	done, lastRan, running := p.doneTasks(id)
	if done >= tasks || running {
		return true
	}
	if lastRan.IsZero() {
		lastRan = accepted
	}
	if time.Since(lastRan) < idle {
		return true
	}
	if ok, why := p.hasRoom(); !ok {
		p.Log.Add("job %s has nothing running, but is excused: %s", id, why)
		return true
	}
	p.fail("LOST: job %s, accepted at %.1f s, has nothing running since %.1f s; %d of %d tasks are done; it is shown as: %s",
		id, p.Log.Seconds(accepted), p.Log.Seconds(lastRan), done, tasks, p.State(path))
	return false
}

// taskCPU is what each task of a case needs, in thousandths of a core, unless it fits nowhere.
const taskCPU = 1000

// hasRoom reports whether the excuses of LOST are absent: under half of the service's capacity is
// in use, and a task that requires kind "a" fits twice over. Tenants have no maxCount here.
func (p *play) hasRoom() (ok bool, why string) {
	var capacity, used, room int64
	for _, r := range p.Runners {
		kind, cpu, up := r.Capacity()
		if !up {
			continue
		}
		inUse := taskCPU * int64(p.active(r))
		capacity, used = capacity+cpu, used+inUse
		if kind == "a" {
			room += (cpu - inUse) / taskCPU
		}
	}
	switch {
	case 2*used >= capacity:
		return false, fmt.Sprintf("%d of %d thousandths of a core are in use", used, capacity)
	case room < 2:
		return false, "there is no room for it twice over"
	}
	return true, ""
}

// await waits until the condition holds.
func await(what string, timeout time.Duration, condition func() bool) error {
	deadline := time.Now().Add(timeout)
	for !condition() {
		if time.Now().After(deadline) {
			return fmt.Errorf("waited in vain until %s", what)
		}
		time.Sleep(5 * time.Millisecond)
	}
	return nil
}

// setUp writes the first configuration, starts runners and waits until the nodes are ready.
func (p *play) setUp(routes []cell.Route, specs ...cell.RunnerSpec) error {
	p.Configure(3, 0, routes...)
	for _, s := range specs {
		if _, err := p.AddRunner(s); err != nil {
			return err
		}
	}
	if err := p.AwaitReady(); err != nil {
		return err
	}
	time.Sleep(2 * time.Second)
	return nil
}

// equalRunners returns the specifications of runners of kind "a" and of the given clock rate.
func equalRunners(count int, cpu int64, clockRate float64) []cell.RunnerSpec {
	var specs []cell.RunnerSpec
	for n := range count {
		specs = append(specs, cell.RunnerSpec{
			ID:        fmt.Sprintf("i-%02d", n+1),
			Kind:      "a",
			CPU:       cpu,
			ClockRate: clockRate,
		})
	}
	return specs
}

// droppedRoute withdraws a route whose accepted jobs are still to be run.
func droppedRoute(p *play) error {
	queueA := cell.Route{Name: "queue-a", Prefix: "/a/", Attempts: 3}
	queueB := cell.Route{Name: "queue-b", Prefix: "/b/", Attempts: 3}
	err := p.setUp([]cell.Route{queueA, queueB}, equalRunners(2, 16000, 1)...)
	if err != nil {
		return err
	}
	second := cell.Step(2, 1000, 2000)
	second["after"] = []int{0}
	body := cell.Job(2*time.Second, cell.Step(2, 1000, 2000), second)
	const tasks = 4
	accepted := time.Now()
	paths := p.submitAll("/a/", 1, 3, 10, body)
	others := p.submitAll("/b/", 11, 3, 10, body)
	if len(paths) != 3 || len(others) != 3 {
		return fmt.Errorf("only %d and %d jobs were accepted", len(paths), len(others))
	}
	err = await("the first steps run", 5*time.Second, func() bool { return len(p.Runs.List()) >= 12 })
	if err != nil {
		return err
	}
	if p.trouble {
		p.Configure(7, 0, queueB)
	} else {
		p.Configure(7, 0, queueA, queueB)
	}
	time.Sleep(finish + 6*time.Second)
	for _, path := range others {
		p.checkFinished(path, tasks, accepted)
	}
	for _, path := range paths {
		// The tenant's key opens its jobs through any of its routes.
		p.checkFinished("/b/"+path[len("/a/"):], tasks, accepted)
	}
	return nil
}

// suspects crashes a runner on which tasks have just started, while each other runner has a
// long-running task. The runner comes back as one of another kind.
func suspects(p *play) error {
	err := p.setUp([]cell.Route{
		{Name: "services", Prefix: "/services/", Attempts: 3},
		{Name: "batch", Prefix: "/batch/", Attempts: 3},
	}, equalRunners(8, 32000, 1)...)
	if err != nil {
		return err
	}
	daemon := cell.Step(len(p.Runners), 1000, 1000)
	daemon["daemon"], daemon["antiAffinity"] = true, 1
	if !p.Submit("/services/"+cell.ID(1), cell.Job(0, daemon)) {
		return fmt.Errorf("the long-running job was not accepted")
	}
	err = await("the long-running job runs", 5*time.Second, func() bool { return len(p.Runs.List()) == len(p.Runners) })
	if err != nil {
		return err
	}
	const jobs, perSecond = 150, 15
	crashed := make(chan error, 1)
	go func() {
		defer close(crashed)
		time.Sleep(4 * time.Second)
		if !p.trouble {
			return
		}
		busiest := p.Runners[0]
		for _, r := range p.Runners {
			if p.active(r) > p.active(busiest) {
				busiest = r
			}
		}
		busiest.Crash(true)
		time.Sleep(4 * time.Second)
		crashed <- busiest.Restart("b", 4000)
	}()
	step := cell.Step(1, 1000, 1000)
	step["requires"] = "a"
	accepted := time.Now()
	paths := p.submitAll("/batch/", 100, jobs, perSecond, cell.Job(time.Second, step))
	if err := <-crashed; err != nil {
		return err
	}
	if len(paths) != jobs {
		return fmt.Errorf("only %d jobs were accepted", len(paths))
	}
	time.Sleep(finish + 6*time.Second)
	for _, path := range paths {
		p.checkFinished(path, 1, accepted)
	}
	p.CopyLogs("workerCrashed", "attemptCrashedWorker", "workerReborn", "suspectCleared")
	return nil
}

// active returns the number of tasks that run on the runner.
func (p *play) active(r *cell.Runner) int {
	n := 0
	for _, run := range p.Runs.List() {
		if run.Runner == r.ID() && run.End.IsZero() {
			n++
		}
	}
	return n
}

// flap has a runner go down and up by turns, while a job runs there that could run elsewhere.
func flap(p *play) error {
	err := p.setUp([]cell.Route{{Name: "batch", Prefix: "/batch/", Attempts: 4}},
		cell.RunnerSpec{ID: "i-01", Kind: "a", CPU: 16000, Rack: "r1"},
		cell.RunnerSpec{ID: "i-02", Kind: "a", CPU: 16000, Rack: "r2"})
	if err != nil {
		return err
	}
	near := func(rack string) map[string]any {
		step := cell.Step(1, 1000, 5000)
		step["dataRack"] = rack
		return step
	}
	if !p.Submit("/batch/"+cell.ID(1), cell.Job(50*time.Second, near("r1"))) || !p.Submit("/batch/"+cell.ID(2), cell.Job(5*time.Second, near("r2"))) {
		return fmt.Errorf("a job was not accepted")
	}
	if err := await("both jobs run", 5*time.Second, func() bool { return len(p.Runs.List()) == 2 }); err != nil {
		return err
	}
	time.Sleep(1500 * time.Millisecond)
	flapping := p.Runners[1]
	const period, length = 1400 * time.Millisecond, 6500 * time.Millisecond
	for begin := time.Now(); p.trouble && time.Since(begin) < length; {
		flapping.Crash(true)
		time.Sleep(period / 2)
		if err := flapping.Restart("a", 16000); err != nil {
			return err
		}
		time.Sleep(period / 2)
	}
	err = await("the job has ended", finish+10*time.Second, func() bool {
		state := p.State("/batch/" + cell.ID(2))
		return state == "completed" || state == "failed"
	})
	if err != nil {
		p.fail("LOST: %v", err)
	}
	state, failures := p.State("/batch/"+cell.ID(2)), 0
	for _, r := range p.Runs.Of(cell.ID(2)) {
		if r.How == "failed" {
			failures++
		}
	}
	p.Log.Add("job %s is shown as %s; %d of its runs have ended failed", cell.ID(2), state, failures)
	if state == "failed" && failures < 4 {
		p.fail("LOST: job %s is shown as failed; %d of its runs have ended failed, the queue has 4 attempts", cell.ID(2), failures)
	}
	p.CopyLogs("workerCrashed", "attemptCrashedWorker", "workerReborn", "suspectCleared", "jobGivenUp")
	return nil
}

// hopeless has a client hand in a gang that fits on no runner, beside jobs of a less urgent queue.
func hopeless(p *play) error {
	err := p.setUp([]cell.Route{
		{Name: "urgent", Prefix: "/urgent/", Attempts: 3},
		{Name: "batch", Prefix: "/batch/", Attempts: 3, Priority: 2},
	}, equalRunners(3, 32000, 1)...)
	if err != nil {
		return err
	}
	gang := cell.Step(2, 1000, 1000)
	if p.trouble {
		gang = cell.Step(2, 40000, 1000)
	}
	gang["gang"] = true
	if !p.Submit("/urgent/"+cell.ID(1), cell.Job(time.Second, gang)) {
		return fmt.Errorf("the gang was not accepted")
	}
	// The gang that fits nowhere is one of 21 jobs of its queue.
	fitting := cell.Step(2, 1000, 1000)
	fitting["gang"] = true
	if n := len(p.submitAll("/urgent/", 10, 20, 10, cell.Job(time.Second, fitting))); n != 20 {
		return fmt.Errorf("only %d urgent jobs were accepted", n)
	}
	const jobs, perSecond = 40, 10
	accepted := time.Now()
	paths := p.submitAll("/batch/", 100, jobs, perSecond, cell.Job(time.Second, cell.Step(1, 1000, 1000)))
	if len(paths) != jobs {
		return fmt.Errorf("only %d jobs were accepted", len(paths))
	}
	time.Sleep(finish + 6*time.Second)
	for _, path := range paths {
		p.checkFinished(path, 1, accepted)
	}
	code, _ := p.Call(p.Nodes[0], "DELETE", "/urgent/"+cell.ID(1), nil)
	p.Log.Add("DELETE of the gang: %d", code)
	time.Sleep(5 * time.Second)
	for _, path := range paths {
		p.Log.Add("5 s later, job %s is shown as: %s", path, p.State(path))
	}
	return nil
}
