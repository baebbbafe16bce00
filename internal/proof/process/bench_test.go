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

// quantile returns the part q of the sorted durations.
func quantile(sorted []time.Duration, q float64) time.Duration {
	if len(sorted) == 0 {
		return 0
	}
	return sorted[min(len(sorted)-1, int(q*float64(len(sorted))))]
}

// timed runs the call b.N times by a number of callers and reports its median
// and its 99th percentile.
func timed(b *testing.B, callers int, call func() error) {
	var mu sync.Mutex
	var all []time.Duration
	var left atomic.Int64
	left.Store(int64(b.N))
	var group sync.WaitGroup
	b.ResetTimer()
	for range callers {
		group.Go(func() {
			for left.Add(-1) >= 0 {
				begun := time.Now()
				err := call()
				took := time.Since(begun)
				mu.Lock()
				all = append(all, took)
				mu.Unlock()
				if err != nil {
					b.Error(err)
					return
				}
			}
		})
	}
	group.Wait()
	b.StopTimer()
	slices.Sort(all)
	b.ReportMetric(float64(quantile(all, 0.5).Microseconds()), "median-us")
	b.ReportMetric(float64(quantile(all, 0.99).Microseconds()), "p99-us")
	b.ReportMetric(float64(b.N)/b.Elapsed().Seconds(), "calls/s")
}

// BenchmarkRequest measures a quick request that takes no time itself: at the
// runner straight, through its owner, and through another entry.
func BenchmarkRequest(b *testing.B) {
	c := startCell(b, oneDomain())
	key, _ := c.team("kiln", 1000)
	owner := c.owner("izmir-a")
	for _, callers := range []int{1, 64} {
		b.Run(fmt.Sprintf("straight/callers=%d", callers), func(b *testing.B) {
			c.straight(b, callers)
		})
		for name, entry := range map[string]string{
			"owner": owner,
			"other": c.other("izmir-a", owner),
		} {
			b.Run(fmt.Sprintf("%s/callers=%d", name, callers), func(b *testing.B) {
				client := c.client(entry, key)
				timed(b, callers, func() error {
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

// straight calls a runner without the system, under a lease of its own.
func (c *cell) straight(b *testing.B, callers int) {
	m := c.addUpstream(fmt.Sprintf("straight-%d-%d", callers, b.N), "runner", "elsewhere")
	client, closeClient := apiupstream.NewClient(m.vm.Name, m.vm.Address, 64)
	defer closeClient()
	lease, err := client.Lease(context.Background(), apiupstream.LeaseRequest{
		Holder:     "bench",
		Until:      time.Hour.Milliseconds(),
		TasksUntil: time.Hour.Milliseconds(),
	})
	assert.NilError(b, err)
	var n atomic.Int64
	timed(b, callers, func() error {
		_, err := client.Start(context.Background(), apiupstream.StartRequest{
			Epoch:    lease.Epoch,
			NotAfter: time.Hour.Milliseconds(),
			Task:     strconv.FormatInt(n.Add(1), 10),
			Wait:     true,
		})
		return err
	})
}

// BenchmarkBatch measures task starts a second through a whole cell of today's
// size, and the wait of urgent work while batch work saturates it.
func BenchmarkBatch(b *testing.B) {
	c := startCell(b, whole())
	key, _ := c.team("kiln", 100000)
	tally, _ := c.team("tally", 1000)
	jobs := make([]string, 0, 3)
	b.ResetTimer()
	for i := range 3 {
		client := c.client(c.other(c.layout.domains[i], ""), key)
		jobs = append(jobs, c.fill(client, max(1, b.N/3), 20*time.Millisecond))
	}
	var waits []time.Duration
	for i, id := range jobs {
		client := c.client(c.other(c.layout.domains[i], ""), tally)
		begun := time.Now()
		urgent, err := client.Submit(context.Background(), caller.Job{
			Kind:      caller.KindBatch,
			Tasks:     1,
			Size:      small,
			RunMillis: 1,
			Urgency:   caller.Urgent,
		})
		assert.NilError(b, err)
		awaitJob(b, client, urgent.JobID, patience)
		waits = append(waits, time.Since(begun))
		_ = id
	}
	for i, id := range jobs {
		awaitJob(b, c.client(c.other(c.layout.domains[i], ""), key), id, 5*time.Minute)
	}
	b.StopTimer()
	slices.Sort(waits)
	b.ReportMetric(float64(b.N)/b.Elapsed().Seconds(), "starts/s")
	b.ReportMetric(float64(quantile(waits, 1).Milliseconds()), "urgent-max-ms")
	c.checkFilled()
}

// usage reads the processor time and memory that an entry has used so far.
func (p *process) usage(b testing.TB) (cpu time.Duration, resident int64) {
	content, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", p.command.Process.Pid))
	assert.NilError(b, err)
	fields := strings.Fields(string(content[strings.LastIndex(string(content), ")")+2:]))
	user, err := strconv.ParseInt(fields[11], 10, 64)
	assert.NilError(b, err)
	system, err := strconv.ParseInt(fields[12], 10, 64)
	assert.NilError(b, err)
	pages, err := strconv.ParseInt(fields[21], 10, 64)
	assert.NilError(b, err)
	const ticks = 100
	return time.Duration(user+system) * time.Second / ticks, pages * int64(os.Getpagesize())
}

// BenchmarkRest measures what an entry costs at rest, in a cell with different
// numbers of upstreams an owner, over ten seconds.
func BenchmarkRest(b *testing.B) {
	for _, machines := range []int{4, 17, 56} {
		b.Run(fmt.Sprintf("upstreams=%d", 2*machines), func(b *testing.B) {
			l := oneDomain()
			l.workers = machines
			l.runners = machines
			c := startCell(b, l)
			c.team("kiln", 100)
			owner := c.entries[c.owner("izmir-a")]
			c.reportRest(b, owner)
		})
	}
}

// traffic counts the bytes that have passed the proxies.
type traffic struct {
	upstream int64
	peer     int64
}

func (c *cell) proxied() traffic {
	var sum traffic
	for _, m := range c.upstreams {
		sum.upstream += m.proxy.Bytes()
	}
	for _, path := range c.paths {
		sum.peer += path.Bytes()
	}
	return sum
}

// BenchmarkRecovery measures the time until a request is answered again after
// the owner was killed or frozen, or handed over.
func BenchmarkRecovery(b *testing.B) {
	for name, strike := range map[string]syscall.Signal{
		"killed":     syscall.SIGKILL,
		"frozen":     syscall.SIGSTOP,
		"terminated": syscall.SIGTERM,
	} {
		b.Run(name, func(b *testing.B) {
			var worst time.Duration
			for range b.N {
				c := startCell(b, oneDomain())
				key, _ := c.team("kiln", 100)
				owner := c.owner("izmir-a")
				other := c.other("izmir-a", owner)
				c.signal(owner, strike)
				begun := time.Now()
				c.checkServed(other, key)
				worst = max(worst, time.Since(begun))
				_ = c.entries[owner].command.Process.Kill()
			}
			b.ReportMetric(float64(worst.Milliseconds()), "worst-ms")
		})
	}
}

// BenchmarkCancel measures the wait of lookups while 10,000 tasks are cancelled
// again and again.
func BenchmarkCancel(b *testing.B) {
	c := startCell(b, oneDomain())
	key, _ := c.team("kiln", 1000)
	tally, _ := c.team("tally", 1000)
	client := c.client(c.owner("izmir-a"), tally)
	lookup := func() error {
		_, err := client.Request(context.Background(), caller.Request{
			Service:   service,
			RunMillis: 1,
		})
		return err
	}
	b.Run("idle", func(b *testing.B) { timed(b, 4, lookup) })
	b.Run("wave", func(b *testing.B) {
		stop := make(chan struct{})
		var wave sync.WaitGroup
		wave.Go(func() { c.cancelWave(key, stop) })
		timed(b, 4, lookup)
		close(stop)
		wave.Wait()
	})
}

func (c *cell) cancelWave(key string, stop <-chan struct{}) {
	client := c.client(c.order[0], key)
	for {
		select {
		case <-stop:
			return
		default:
		}
		status, err := client.Submit(context.Background(), caller.Job{
			Kind:      caller.KindBatch,
			Tasks:     10000,
			Size:      small,
			RunMillis: 5000,
		})
		if err == nil {
			_, _ = client.Cancel(context.Background(), status.JobID)
		}
	}
}
