package main

import (
	"cmp"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

// restartBound is the time after its last run by which a task that lasts has to have another:
// 6 s, and the 3 s for which nothing runs, by rule LOST.
const restartBound = 9 * time.Second

// servicesFail hands in one job whose tasks last. With trouble they fail now and then by their
// own fault, and have to be started again.
func servicesFail(c *cell, trouble bool) []string {
	const tasks, runners = 42, 3
	c.addRunners(runners, 64000, 262144)
	c.startNodes(3)
	c.awaitReady()
	w := work{}
	if trouble {
		w.FailMillis = 30000
	}
	id := jobID(1)
	if !c.submit(id, jobOf(w, map[string]any{"count": tasks, "cpu": 2000, "memMb": 1024, "estimatedMs": 1000, "daemon": true})) {
		c.fatal("the job is not accepted")
		return nil
	}
	longest := map[string]time.Duration{}
	for end := time.Now().Add(90 * time.Second); time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
		for n := range tasks {
			task := fmt.Sprintf("%s.0.0.%d", id, n)
			longest[task] = max(longest[task], c.watch.idleFor(task))
		}
	}
	var broken []string
	for n := range tasks {
		task := fmt.Sprintf("%s.0.0.%d", id, n)
		if c.watch.startsOf(task) == 0 {
			broken = append(broken, "LOST: "+task+" was never started")
		}
		c.note("%s: %d starts, longest time without a run %.1f s", task, c.watch.startsOf(task), longest[task].Seconds())
		if longest[task] > restartBound {
			broken = append(broken, fmt.Sprintf("LOST: %s had no run for %.1f s after its last one", task, longest[task].Seconds()))
		}
	}
	return broken
}

// runnersCrash hands in short jobs all the time, and one whose tasks last and fail now and then.
// With trouble, two of twenty runners at a time crash, whatever they run, and are back after 0.3 s.
func runnersCrash(c *cell, trouble bool) []string {
	const (
		runners, share = 20, 2
		pause, down    = 700 * time.Millisecond, 300 * time.Millisecond
		length         = 75 * time.Second
		finish         = 14 * time.Second
	)
	c.addRunners(runners, 64000, 262144)
	c.startNodes(3)
	c.awaitReady()
	service := jobID(0)
	if !c.submit(service, jobOf(work{FailMillis: 8000}, map[string]any{
		"count": 40, "cpu": 1000, "memMb": 1024, "estimatedMs": 1000, "antiAffinity": 2, "daemon": true,
	})) {
		c.fatal("the service is not accepted")
		return nil
	}
	end := time.Now().Add(length)
	var group sync.WaitGroup
	if trouble {
		group.Go(func() {
			for time.Now().Before(end) {
				time.Sleep(randomPause(pause))
				for _, n := range rand.Perm(runners)[:share] {
					group.Go(func() { c.runners[n].crashFor(down) })
				}
			}
		})
	}
	var mu sync.Mutex
	var ids []string
	for n := 1; time.Now().Before(end); n++ {
		group.Go(func() {
			id := jobID(n)
			if c.submit(id, jobOf(work{Millis: 640}, map[string]any{"count": 2, "cpu": 5600, "memMb": 21000, "estimatedMs": 640})) {
				mu.Lock()
				defer mu.Unlock()
				ids = append(ids, id)
			}
		})
		time.Sleep(randomPause(17 * time.Millisecond))
	}
	group.Wait()
	time.Sleep(finish)
	broken := c.failedWithoutCause(ids, 2)
	if state := c.state(service); state == "failed" {
		broken = append(broken, "LOST: "+service+" is shown as failed, whose tasks last and have no limit of attempts")
	}
	return broken
}

// randomPause returns a time with the given mean, as between independent events.
func randomPause(mean time.Duration) time.Duration {
	return time.Duration(rand.ExpFloat64() * float64(mean))
}

// failedWithoutCause returns the jobs that are shown as failed although none of their tasks has
// a run that ended failed.
func (c *cell) failedWithoutCause(ids []string, tasks int) []string {
	var broken []string
	for _, id := range ids {
		state := c.state(id)
		if state != "failed" {
			continue
		}
		failures, starts := 0, 0
		for n := range tasks {
			task := fmt.Sprintf("%s.0.0.%d", id, n)
			failures += c.watch.failuresOf(task)
			starts += c.watch.startsOf(task)
		}
		c.note("GET %s: %s, %d runs, %d ended failed", id, state, starts, failures)
		if failures == 0 {
			broken = append(broken, fmt.Sprintf("LOST: %s is shown as failed; of its %d runs none ended failed", id, starts))
		}
	}
	return broken
}

// gangFails hands in a gang whose members need a runner each. With trouble, two of the 24 runners
// fail all that they start.
func gangFails(c *cell, trouble bool) []string {
	const members, failing = 24, 2
	c.addRunners(members, 64000, 262144)
	for _, r := range c.runners[:failing] {
		r.fails = trouble
	}
	c.startNodes(3)
	c.awaitReady()
	id := jobID(1)
	body := jobOf(work{Millis: 2000, Gang: members}, map[string]any{
		"count": members, "cpu": 18000, "memMb": 68000, "estimatedMs": 2000, "gang": true, "antiAffinity": 1,
	})
	if !c.submit(id, body) {
		c.fatal("the job is not accepted")
		return nil
	}
	state := ""
	for end := time.Now().Add(40 * time.Second); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		if state = c.state(id); state != "queued" && state != "running" {
			break
		}
	}
	c.note("GET %s: %s", id, state)
	runs := 0
	for n := range members {
		runs = max(runs, c.watch.startsOf(fmt.Sprintf("%s.0.0.%d", id, n)))
	}
	if state == "failed" && runs < attempts["gang"] {
		return []string{fmt.Sprintf("LOST: %s is shown as failed after %d run of its gang, with %d attempts", id, runs, attempts["gang"])}
	}
	return nil
}

// hangupWhileLeaving stops the two nodes of a deployment in turn, 2 s apart, and starts each again
// once it has ended, as the platform does. Clients go on using their connections. With trouble,
// the settings files change and the first node gets SIGHUP while it leaves.
func hangupWhileLeaving(c *cell, trouble bool) []string {
	const gap, hangupAfter = 2 * time.Second, 320 * time.Millisecond
	c.addRunners(4, 64000, 262144)
	c.startNodes(2)
	c.awaitReady()
	time.Sleep(2 * time.Second)
	second := c.owner()
	if second == nil {
		c.fatal("no owner")
		return nil
	}
	first := c.nodes[0]
	if first == second {
		first = c.nodes[1]
	}
	stop := make(chan struct{})
	cuts := make(chan string, 1000)
	var group sync.WaitGroup
	for n := range 20 {
		group.Go(func() {
			c.useConnection(first, 1000*(n+1), stop, cuts)
		})
	}
	time.Sleep(time.Second)
	firstExit, secondExit := first.exited, second.exited
	c.signal(first, syscall.SIGTERM)
	go func() {
		<-firstExit
		time.Sleep(100 * time.Millisecond)
		c.startNode(first)
	}()
	time.Sleep(gap)
	c.signal(second, syscall.SIGTERM)
	time.Sleep(hangupAfter)
	if trouble {
		c.signal(first, syscall.SIGHUP)
	}
	<-firstExit
	<-secondExit
	c.startNode(second)
	close(stop)
	group.Wait()
	close(cuts)
	var broken []string
	for cut := range cuts {
		broken = append(broken, cut)
	}
	return broken
}

// useConnection submits jobs on one connection to the node, one after the other, until it breaks or
// stop is closed. It reports a connection that ends without an answer more than lossSlack after the
// request was sent.
func (c *cell) useConnection(x *node, firstID int, stop <-chan struct{}, cuts chan<- string) {
	const lossSlack = 200 * time.Millisecond
	client := &http.Client{
		Timeout:   callTimeout + time.Second,
		Transport: &http.Transport{MaxConnsPerHost: 1},
	}
	for n := 0; ; n++ {
		select {
		case <-stop:
			return
		case <-time.After(20 * time.Millisecond):
		}
		id, sent := jobID(firstID+n), time.Now()
		a := c.call(client, x, http.MethodPost, "/batch/"+id, jobOf(work{Millis: 100}, map[string]any{
			"count": 1, "cpu": 100, "memMb": 10, "estimatedMs": 100,
		}))
		took := time.Since(sent)
		if a.code == 0 || took > lossSlack {
			c.note("POST %s to %s: %d after %d ms %v", id, x.name, a.code, took.Milliseconds(), a.err)
		}
		if a.code != 0 {
			continue
		}
		if took > lossSlack {
			cuts <- fmt.Sprintf("LOST: the connection of %s broke without an answer %d ms after the request was sent", id, took.Milliseconds())
		}
		return
	}
}

// ownersChange hands in a job whose tasks last. With trouble, one runner is lost for good and, from
// then on, the owner's process is killed every 12 s and started again.
func ownersChange(c *cell, trouble bool) []string {
	const (
		tasks, runners  = 16, 8
		kills           = 6
		pause           = 12 * time.Second
		restartNode     = 500 * time.Millisecond
		entryExpiry     = 3 * heartbeat
		calmBefore      = 7 * time.Second // the 3 s in which nothing runs, and the 4 s before
		idleBeforeCheck = 6 * time.Second
	)
	c.addRunners(runners, 64000, 262144)
	c.startNodes(3)
	c.awaitReady()
	id := jobID(1)
	if !c.submit(id, jobOf(work{}, map[string]any{
		"count": tasks, "cpu": 2000, "memMb": 1024, "estimatedMs": 1000, "antiAffinity": 4, "daemon": true,
	})) {
		c.fatal("the job is not accepted")
		return nil
	}
	time.Sleep(5 * time.Second)
	disturbed := time.Now()
	if trouble {
		lost := slices.MaxFunc(c.runners, func(a, b *runner) int {
			return cmp.Compare(a.runCount(), b.runCount())
		})
		lost.crash()
		time.AfterFunc(entryExpiry, func() { c.store.remove("servers/" + lost.id) })
	}
	broken := map[string]time.Duration{}
	for range kills {
		time.Sleep(3 * time.Second)
		if owner := c.owner(); trouble && owner != nil {
			c.signal(owner, syscall.SIGKILL)
			<-owner.exited
			time.Sleep(restartNode)
			c.startNode(owner)
			disturbed = time.Now()
		}
		for end := time.Now().Add(pause - 3*time.Second); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
			for n := range tasks {
				task := fmt.Sprintf("%s.0.0.%d", id, n)
				if idle := c.watch.idleFor(task); idle > idleBeforeCheck+calmBefore && time.Since(disturbed) > calmBefore {
					broken[task] = max(broken[task], idle)
				}
			}
		}
	}
	var list []string
	for task, idle := range broken {
		list = append(list, fmt.Sprintf("LOST: %s had no run for %.1f s after its last one", task, idle.Seconds()))
	}
	return list
}

// requestComesAgain hands in a job whose answer is lost on the way. The job runs. With trouble, the
// client's request comes again, at another node, after the state of the job need not be kept any
// more. In any case all processes are killed a little later, as by the final fault of a day, and
// started again.
func requestComesAgain(c *cell, trouble bool) []string {
	const (
		down     = 1600 * time.Millisecond
		recovery = 12 * time.Second // recoveryS of the site file
		requests = 10
	)
	c.addRunners(4, 64000, 262144)
	c.startNodes(3)
	c.awaitReady()
	id := jobID(1)
	body := jobOf(work{Millis: 500}, map[string]any{"count": 2, "cpu": 1000, "memMb": 1024, "estimatedMs": 500})
	if a := c.callWithoutAnswer(c.nodes[0], "/batch/"+id, body); a.code != 0 {
		c.fatal("the answer has arrived")
		return nil
	}
	time.Sleep(time.Duration(c.statusSeconds+8) * time.Second)
	if trouble {
		a := c.call(sharedClient, c.nodes[1], http.MethodPost, "/batch/"+id, body)
		c.note("POST %s again to %s: %d %v", id, c.nodes[1].name, a.code, a.body)
	}
	before := c.countServed(100, requests)
	time.Sleep(3 * time.Second)
	for _, x := range c.nodes {
		c.signal(x, syscall.SIGKILL)
		<-x.exited
	}
	time.Sleep(down)
	for _, x := range c.nodes {
		c.startNode(x)
	}
	time.Sleep(recovery + time.Second)
	after := c.countServed(200, requests)
	c.note("%d of %d requests were served before the final fault, %d after it", before, requests, after)
	if before*4 >= requests && after*4 < requests {
		return []string{fmt.Sprintf("RECOVER: %d of %d requests are served later than recoveryS after the machines are back, %d before the final fault",
			after, requests, before)}
	}
	return nil
}

// countServed submits jobs to all nodes in turn, and returns how many are accepted.
func (c *cell) countServed(firstID, requests int) int {
	served := 0
	for n := range requests {
		id, x := jobID(firstID+n), c.nodes[n%len(c.nodes)]
		a := c.call(sharedClient, x, http.MethodPost, "/batch/"+id, jobOf(work{Millis: 100}, map[string]any{
			"count": 1, "cpu": 100, "memMb": 10, "estimatedMs": 100,
		}))
		c.note("POST %s to %s: %d %v", id, x.name, a.code, a.body)
		if a.code == http.StatusOK {
			served++
		}
	}
	return served
}

// callWithoutAnswer submits a job through a proxy that passes the request on, and breaks the
// connection once the answer has come.
func (c *cell) callWithoutAnswer(x *node, path string, body any) answer {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		c.fatal("proxy: %v", err)
		return answer{}
	}
	defer func() { _ = listener.Close() }()
	go func() {
		client, err := listener.Accept()
		if err != nil {
			return
		}
		defer func() { _ = client.Close() }()
		upstream, err := net.Dial("tcp", net.JoinHostPort(x.ip, strconv.Itoa(c.ports)))
		if err != nil {
			return
		}
		defer func() { _ = upstream.Close() }()
		go func() { _, _ = io.Copy(upstream, client) }()
		answer := make([]byte, 1024)
		n, _ := upstream.Read(answer)
		status, _, _ := strings.Cut(string(answer[:n]), "\r\n")
		c.note("the proxy drops the answer %q", status)
	}()
	a := c.callAddress(&http.Client{Timeout: callTimeout}, listener.Addr().String(), http.MethodPost, path, body)
	c.note("POST %s to %s: %d %v", path, x.name, a.code, a.err)
	return a
}
