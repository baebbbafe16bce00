package process

import (
	"fmt"
	"testing"
	"time"

	"github.com/citronbay/citronbay/internal/api/caller"
	apiupstream "github.com/citronbay/citronbay/internal/api/upstream"
)

// tinyTask is the size of a task of which 4000 fit on a worker (see addUpstream).
var tinyTask = apiupstream.Resources{MilliProcessors: 1}

// BenchmarkShares lets teams with different shares compete for a full cell for
// 30 s and reports the largest deviation of a team's running time from its share,
// in percent of that share. The first 5 s are not counted.
func BenchmarkShares(b *testing.B) {
	for name, shares := range map[string][]int64{
		"two":   {3, 1},
		"three": {5, 3, 2},
	} {
		b.Run(name, func(b *testing.B) {
			l := oneDomain()
			l.workers = 5
			c := startCell(b, l)
			var sum int64
			for i, share := range shares {
				c.createBackloggedTeam(fmt.Sprintf("team-%d", i), share)
				sum += share
			}
			from := time.Now().Add(5 * time.Second)
			time.Sleep(30 * time.Second)
			used, total := c.runningSecondsByTeam(from, time.Now())
			worst := 0.0
			for i, share := range shares {
				expected := float64(share) / float64(sum) * total
				deviation := used[fmt.Sprintf("team-%d", i)]/expected - 1
				worst = max(worst, deviation, -deviation)
			}
			b.ReportMetric(100*worst, "worst-%-off")
		})
	}
}

// createBackloggedTeam creates a team with the share and a backlog of tasks that
// outlasts the measurement.
func (c *cell) createBackloggedTeam(name string, share int64) {
	key, _ := c.createTeam(name, 10000)
	var response struct{}
	if err := c.callOperator(c.entryNames[0], "POST", "/v1/operator/teams", map[string]any{
		"name":  name,
		"share": share,
	}, &response); err != nil {
		c.t.Fatal(err)
	}
	status := c.submit(c.client(c.entryNames[0], key), caller.Job{
		Kind:      caller.KindBatch,
		Tasks:     6000,
		RunMillis: 200,
	})
	if status.Fate != caller.FateInProgress {
		c.t.Fatal(status.Reason)
	}
}

// runningSecondsByTeam returns the time in seconds that the tasks of each team ran
// within the interval, and the sum over all teams.
func (c *cell) runningSecondsByTeam(from, to time.Time) (used map[string]float64, total float64) {
	used = map[string]float64{}
	for _, span := range c.spans() {
		end := span.End
		if end == 0 {
			end = to.UnixMilli()
		}
		ran := min(end, to.UnixMilli()) - max(span.Begin, from.UnixMilli())
		if ran > 0 {
			used[span.Team] += float64(ran) / 1000
			total += float64(ran) / 1000
		}
	}
	return used, total
}

// BenchmarkRunningTasks measures an owner's memory and processor time by the number
// of running tasks, while none starts or ends.
func BenchmarkRunningTasks(b *testing.B) {
	for _, tasks := range []int{0, 1000, 4000} {
		b.Run(fmt.Sprintf("tasks=%d", tasks), func(b *testing.B) {
			c := startCell(b, oneDomain())
			key, _ := c.createTeam("kiln", 100000)
			if tasks > 0 {
				c.submit(c.client(c.entryNames[0], key), caller.Job{
					Kind:  caller.KindService,
					Tasks: tasks,
					Size:  tinyTask,
				})
				c.awaitRunning("kiln", tasks, time.Minute)
			}
			c.reportUsage(b, c.entries[c.owner("izmir-a")])
		})
	}
}

// BenchmarkTeams measures the memory and processor time of an idle owner by the
// number of teams.
func BenchmarkTeams(b *testing.B) {
	for _, teams := range []int{6, 60, 260} {
		b.Run(fmt.Sprintf("teams=%d", teams), func(b *testing.B) {
			c := startCell(b, oneDomain())
			for i := range teams {
				c.createTeam(fmt.Sprintf("team-%d", i), 100)
			}
			c.reportUsage(b, c.entries[c.owner("izmir-a")])
		})
	}
}

// BenchmarkCrossRegionTraffic measures the traffic between entries of different
// regions, while the cell is idle and while it runs requests, each in the region that
// receives it.
func BenchmarkCrossRegionTraffic(b *testing.B) {
	for _, callers := range []int{0, 16} {
		b.Run(fmt.Sprintf("callers=%d", callers), func(b *testing.B) {
			c := startCell(b, productionSize())
			key, _ := c.createTeam("kiln", 1000)
			var l *load
			if callers > 0 {
				l = c.startLoadInEachDomain(key, callers, 5*time.Millisecond)
			}
			before := c.crossRegionBytes()
			start := time.Now()
			c.reportUsage(b, c.entries[c.owner("izmir-a")])
			b.ReportMetric(float64(c.crossRegionBytes()-before)/time.Since(start).Seconds()/1000, "region-KB/s")
			if l != nil {
				l.finish()
			}
		})
	}
}

func (c *cell) crossRegionBytes() int64 {
	var sum int64
	for ends, peerProxy := range c.peerProxies {
		if c.entries[ends[0]].region != c.entries[ends[1]].region {
			sum += peerProxy.Bytes()
		}
	}
	return sum
}

// reportUsage reports, over ten seconds, the entry's processor time (in percent of one
// core), memory (in units of 2^20 bytes) and traffic with the platform, and the calls
// to the platform, upstream traffic and peer traffic of the whole cell. Traffic is in
// units of 1000 bytes per second.
func (c *cell) reportUsage(b *testing.B, p *entryProcess) {
	const interval = 10 * time.Second
	cpuBefore, _ := p.usage(b)
	callsBefore := c.platform.Calls()
	trafficBefore := c.proxiedTraffic()
	platformBytesBefore := p.platformProxy.Bytes()
	time.Sleep(interval)
	cpuAfter, resident := p.usage(b)
	callsAfter := c.platform.Calls()
	trafficAfter := c.proxiedTraffic()
	perSecond := func(n int64) float64 { return float64(n) / interval.Seconds() }
	b.ReportMetric((cpuAfter-cpuBefore).Seconds()/interval.Seconds()*100, "core-%")
	b.ReportMetric(float64(resident)/(1<<20), "MB")
	b.ReportMetric(perSecond(callsAfter.Reads+callsAfter.Watches-callsBefore.Reads-callsBefore.Watches), "store-reads/s")
	b.ReportMetric(perSecond(callsAfter.Writes-callsBefore.Writes), "store-writes/s")
	b.ReportMetric(perSecond(trafficAfter.upstream-trafficBefore.upstream)/1000, "upstream-KB/s")
	b.ReportMetric(perSecond(p.platformProxy.Bytes()-platformBytesBefore)/1000, "store-KB/s")
	b.ReportMetric(perSecond(trafficAfter.peer-trafficBefore.peer)/1000, "peer-KB/s")
}

// BenchmarkRequestDuringGangJobs measures the latency of requests without other work
// and while 200 gang-scheduled (all-at-once) jobs are queued.
func BenchmarkRequestDuringGangJobs(b *testing.B) {
	c := startCell(b, oneDomain())
	key, _ := c.createTeam("kiln", 1000)
	client := c.client(c.owner("izmir-a"), key)
	lookup := func() error {
		_, err := client.Request(b.Context(), caller.Request{
			Service:   service,
			RunMillis: 1,
		})
		return err
	}
	b.Run("idle", func(b *testing.B) { measureLatency(b, 4, lookup) })
	for range 200 {
		c.submit(client, caller.Job{
			Kind:      caller.KindAllAtOnce,
			Tasks:     12,
			RunMillis: 30,
		})
	}
	b.Run("wave", func(b *testing.B) { measureLatency(b, 4, lookup) })
}
