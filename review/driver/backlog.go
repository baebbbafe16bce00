package main

import (
	"fmt"
	"strings"
	"time"

	"github.com/citronbay/citronbay/review/cell"
)

// backlog cuts off the region in which all runners are while jobs go on coming at the usual rate,
// and then heals the cut.
func backlog(p *play) error {
	specs := equalRunners(4, 64000, 1)
	for n := range specs {
		specs[n].Zone = cell.FarZone
	}
	err := p.setUp([]cell.Route{{Name: "batch", Prefix: "/batch/", Attempts: 3}}, specs...)
	if err != nil {
		return err
	}
	const jobs, perSecond = 5200, 110
	body := cell.Job(200*time.Millisecond, cell.Step(1, 1000, 200))
	spec, _ := body["spec"].(string)
	body["spec"] = spec + " " + strings.Repeat("x", 3999-len(spec))
	if p.trouble {
		p.cutRegion()
	}
	accepted := time.Now()
	paths := p.submitAll("/batch/", 1, jobs, perSecond, body)
	p.Log.Add("%d of %d jobs were accepted", len(paths), jobs)
	fmt.Println(len(paths), "of", jobs, "jobs were accepted")
	if p.trouble {
		p.healRegion()
	}
	time.Sleep(finish + 6*time.Second)
	if ok, why := p.hasRoom(); !ok {
		return fmt.Errorf("the check has no say: %s", why)
	}
	lost := 0
	for n, path := range paths {
		id := path[len("/batch/"):]
		done, lastRan, running := p.doneTasks(id)
		if done > 0 || running || time.Since(lastRan) < idle {
			continue
		}
		lost++
		if lost <= 3 {
			p.fail("LOST: job %d, %s, accepted after %.1f s, has not run; it is shown as: %s", n, id, p.Log.Seconds(accepted), p.State(path))
		}
	}
	if lost > 0 {
		p.fail("LOST: %d of %d accepted jobs have nothing running and are not done, %d s after the cut has ended", lost, len(paths), int((finish + 6*time.Second).Seconds()))
	}
	p.CopyLogs("ownershipTaken", "ownershipEnded", "shardRecovered", "snapshotWritten")
	return nil
}
