package process

import (
	"context"
	"fmt"
	"os"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/citronbay/citronbay/internal/api/caller"
	apiupstream "github.com/citronbay/citronbay/internal/api/upstream"
)

// quantile returns the q-quantile of the sorted durations, zero if there are none.
func quantile(sorted []time.Duration, q float64) time.Duration {
	if len(sorted) == 0 {
		return 0
	}
	return sorted[min(len(sorted)-1, int(q*float64(len(sorted))))]
}

// measureLatency makes the call b.N times from a number of concurrent callers and
// reports the median and the 99th percentile of its latency, and the throughput.
func measureLatency(b *testing.B, callers int, call func() error) {
	var mu sync.Mutex
	var latencies []time.Duration
	var remaining atomic.Int64
	remaining.Store(int64(b.N))
	var running sync.WaitGroup
	b.ResetTimer()
	for range callers {
		running.Go(func() {
			for remaining.Add(-1) >= 0 {
				start := time.Now()
				err := call()
				latency := time.Since(start)
				mu.Lock()
				latencies = append(latencies, latency)
				mu.Unlock()
				if err != nil {
					b.Error(err)
					return
				}
			}
		})
	}
	running.Wait()
	b.StopTimer()
	slices.Sort(latencies)
	b.ReportMetric(float64(quantile(latencies, 0.5).Microseconds()), "median-us")
	b.ReportMetric(float64(quantile(latencies, 0.99).Microseconds()), "p99-us")
	b.ReportMetric(float64(b.N)/b.Elapsed().Seconds(), "calls/s")
}

// BenchmarkRequest measures the latency of a request whose task ends at once: sent
// directly to the runner, through its owner, and through another entry.
func BenchmarkRequest(b *testing.B) {
	c := startCell(b, oneDomain())
	key, _ := c.createTeam("kiln", 1000)
	owner := c.owner("izmir-a")
	for _, callers := range []int{1, 64} {
		b.Run(fmt.Sprintf("straight/callers=%d", callers), func(b *testing.B) {
			c.measureDirectCalls(b, callers)
		})
		for name, entry := range map[string]string{
			"owner": owner,
			"other": c.otherEntry("izmir-a", owner),
		} {
			b.Run(fmt.Sprintf("%s/callers=%d", name, callers), func(b *testing.B) {
				client := c.client(entry, key)
				measureLatency(b, callers, func() error {
					answer, err := client.Request(context.Background(), caller.Request{
						Service: service,
						Command: "shade",
					})
					if err == nil && answer.Fate != caller.FateCompleted {
						err = fmt.Errorf("fate %s: %s", answer.Fate, answer.Reason)
					}
					return err
				})
			})
		}
	}
}

// measureDirectCalls calls a runner without any entry, under the benchmark's own
// lease. No entry is in the runner's failure domain, so no owner leases the runner.
func (c *cell) measureDirectCalls(b *testing.B, callers int) {
	u := c.addUpstream(fmt.Sprintf("straight-%d-%d", callers, b.N), "runner", "elsewhere")
	client, closeClient := apiupstream.NewClient(u.vm.Name, u.vm.Address, 64)
	defer closeClient()
	status, err := client.Lease(context.Background(), apiupstream.LeaseRequest{Holder: "bench"})
	assert.NilError(b, err)
	lease, err := client.Lease(context.Background(), apiupstream.LeaseRequest{
		Holder:      "bench",
		Incarnation: status.Incarnation,
		Until:       time.Hour.Milliseconds(),
		TasksUntil:  time.Hour.Milliseconds(),
	})
	assert.NilError(b, err)
	var taskNumber atomic.Int64
	measureLatency(b, callers, func() error {
		_, err := client.Start(context.Background(), apiupstream.StartRequest{
			Epoch:    lease.Epoch,
			NotAfter: time.Hour.Milliseconds(),
			Task:     strconv.FormatInt(taskNumber.Add(1), 10),
			Wait:     true,
		})
		return err
	})
}

// BenchmarkBatch runs one batch job through each failure domain of a cell of
// production size. It measures task starts per second, and the longest time from the
// submission to the end of an urgent job. The batch jobs keep the cell full if b.N is
// large.
func BenchmarkBatch(b *testing.B) {
	c := startCell(b, productionSize())
	key, _ := c.createTeam("kiln", 100000)
	urgentKey, _ := c.createTeam("tally", 1000)
	jobs := make([]string, 0, 3)
	b.ResetTimer()
	for i := range 3 {
		client := c.client(c.otherEntry(c.layout.domains[i], ""), key)
		jobs = append(jobs, c.submitBatch(client, max(1, b.N/3), 20*time.Millisecond))
	}
	var durations []time.Duration
	for i, id := range jobs {
		client := c.client(c.otherEntry(c.layout.domains[i], ""), urgentKey)
		start := time.Now()
		urgent, err := client.Submit(context.Background(), caller.Job{
			Kind:      caller.KindBatch,
			Tasks:     1,
			Size:      smallTask,
			RunMillis: 1,
			Urgency:   caller.Urgent,
		})
		assert.NilError(b, err)
		awaitJob(b, client, urgent.JobID, defaultTimeout)
		durations = append(durations, time.Since(start))
		_ = id
	}
	for i, id := range jobs {
		awaitJob(b, c.client(c.otherEntry(c.layout.domains[i], ""), key), id, 5*time.Minute)
	}
	b.StopTimer()
	slices.Sort(durations)
	b.ReportMetric(float64(b.N)/b.Elapsed().Seconds(), "starts/s")
	b.ReportMetric(float64(quantile(durations, 1).Milliseconds()), "urgent-max-ms")
	c.checkNoOverfill()
}

// usage returns the processor time that the entry has used since its start, and its
// resident memory in bytes.
func (p *entryProcess) usage(b testing.TB) (cpu time.Duration, resident int64) {
	content, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", p.command.Process.Pid))
	assert.NilError(b, err)
	// The fields after the command name, which is in parentheses: those with index
	// 11, 12 and 21 are utime, stime and rss of proc_pid_stat(5).
	fields := strings.Fields(string(content[strings.LastIndex(string(content), ")")+2:]))
	user, err := strconv.ParseInt(fields[11], 10, 64)
	assert.NilError(b, err)
	system, err := strconv.ParseInt(fields[12], 10, 64)
	assert.NilError(b, err)
	pages, err := strconv.ParseInt(fields[21], 10, 64)
	assert.NilError(b, err)
	const clockTicksPerSecond = 100
	return time.Duration(user+system) * time.Second / clockTicksPerSecond, pages * int64(os.Getpagesize())
}

// BenchmarkIdleEntry measures the resources that an idle owner uses over ten seconds,
// by the number of its upstreams.
func BenchmarkIdleEntry(b *testing.B) {
	for _, countPerRole := range []int{4, 17, 56} {
		b.Run(fmt.Sprintf("upstreams=%d", 2*countPerRole), func(b *testing.B) {
			l := oneDomain()
			l.workers = countPerRole
			l.runners = countPerRole
			c := startCell(b, l)
			c.createTeam("kiln", 100)
			owner := c.entries[c.owner("izmir-a")]
			c.reportUsage(b, owner)
		})
	}
}

// traffic counts the bytes that have passed through the proxies.
type traffic struct {
	upstream int64
	peer     int64
}

func (c *cell) proxiedTraffic() traffic {
	var sum traffic
	for _, u := range c.upstreams {
		sum.upstream += u.proxy.Bytes()
	}
	for _, peerProxy := range c.peerProxies {
		sum.peer += peerProxy.Bytes()
	}
	return sum
}

// BenchmarkRecovery measures the longest time until a request through another entry
// completes after the owner is killed, frozen, or terminated with a handover.
func BenchmarkRecovery(b *testing.B) {
	for name, end := range map[string]func(c *cell, owner string){
		"killed":     (*cell).killEntry,
		"frozen":     (*cell).freezeEntry,
		"terminated": func(c *cell, owner string) { c.signalEntry(owner, syscall.SIGTERM) },
	} {
		b.Run(name, func(b *testing.B) {
			var worst time.Duration
			for range b.N {
				c := startCell(b, oneDomain())
				key, _ := c.createTeam("kiln", 100)
				owner := c.owner("izmir-a")
				other := c.otherEntry("izmir-a", owner)
				start := time.Now()
				end(c, owner)
				c.checkServed(other, key)
				worst = max(worst, time.Since(start))
				_ = c.entries[owner].command.Process.Kill()
			}
			b.ReportMetric(float64(worst.Milliseconds()), "worst-ms")
		})
	}
}

// BenchmarkRequestDuringCancel measures the latency of requests while jobs of
// 10,000 tasks are submitted and cancelled repeatedly.
func BenchmarkRequestDuringCancel(b *testing.B) {
	c := startCell(b, oneDomain())
	key, _ := c.createTeam("kiln", 1000)
	otherKey, _ := c.createTeam("tally", 1000)
	client := c.client(c.owner("izmir-a"), otherKey)
	lookup := func() error {
		_, err := client.Request(context.Background(), caller.Request{
			Service:   service,
			RunMillis: 1,
		})
		return err
	}
	b.Run("idle", func(b *testing.B) { measureLatency(b, 4, lookup) })
	b.Run("wave", func(b *testing.B) {
		stop := make(chan struct{})
		var cancelling sync.WaitGroup
		cancelling.Go(func() { c.submitAndCancelUntil(key, stop) })
		measureLatency(b, 4, lookup)
		close(stop)
		cancelling.Wait()
	})
}

// submitAndCancelUntil submits jobs of 10,000 tasks and cancels each of them at once,
// until stop is closed.
func (c *cell) submitAndCancelUntil(key string, stop <-chan struct{}) {
	client := c.client(c.entryNames[0], key)
	for {
		select {
		case <-stop:
			return
		default:
		}
		status, err := client.Submit(context.Background(), caller.Job{
			Kind:      caller.KindBatch,
			Tasks:     10000,
			Size:      smallTask,
			RunMillis: 5000,
		})
		if err == nil {
			_, _ = client.Cancel(context.Background(), status.JobID)
		}
	}
}
