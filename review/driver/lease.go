package main

import (
	"fmt"
	"sync"
	"time"

	"github.com/citronbay/citronbay/review/cell"
)

// farRack is a rack of the other region.
const farRack = "r9"

// cutRegion cuts off the runners of the other region.
func (p *play) cutRegion() {
	for _, r := range p.Runners {
		if r.Zone() == cell.FarZone {
			r.Cut()
		}
	}
}

// healRegion ends the cut.
func (p *play) healRegion() {
	for _, r := range p.Runners {
		if r.Zone() == cell.FarZone {
			r.Heal()
		}
	}
}

// lease cuts off the other region's runners while the platform's store is slow, after a report for
// which the poll had waited almost all of its time.
func lease(p *play) error {
	specs := equalRunners(6, 16000, 0.98)
	for n := range specs[:3] {
		specs[n].Zone, specs[n].Rack = cell.FarZone, farRack
	}
	err := p.setUp([]cell.Route{{Name: "batch", Prefix: "/batch/", Attempts: 3}}, specs...)
	if err != nil {
		return err
	}
	const (
		slowFactor = 75 // 300 ms an answer
		slowTime   = 5 * time.Second
		cutTime    = 10 * time.Second
		// endAfter is when the short task ends, counted from the arrival of a poll.
		endAfter = 960 * time.Millisecond
	)
	long, short := cell.ID(1), cell.ID(2)
	step := cell.Step(1, 1000, 60000)
	step["dataRack"] = farRack
	if !p.Submit("/batch/"+long, cell.Job(60*time.Second, step)) {
		return fmt.Errorf("the long job was not accepted")
	}
	if err := await("the long job runs", 5*time.Second, func() bool { return len(p.Runs.Of(long)) == 1 }); err != nil {
		return err
	}
	var holder *cell.Runner
	for _, r := range p.Runners {
		if p.Runs.Of(long)[0].Runner == r.ID() {
			holder = r
		}
	}
	step = cell.Step(1, 1000, 3000)
	step["dataRack"] = farRack
	if !p.Submit("/batch/"+short, cell.Job(0, step)) {
		return fmt.Errorf("the short job was not accepted")
	}
	if err := await("the short job runs", 5*time.Second, func() bool { return len(p.Runs.Of(short)) == 1 }); err != nil {
		return err
	}
	if p.Runs.Of(short)[0].Runner != holder.ID() {
		return fmt.Errorf("the short job runs on another runner")
	}
	time.Sleep(2 * time.Second)
	if p.trouble {
		p.Store.Slow(slowFactor)
		p.Log.Add("the store's answers take %d times as long", slowFactor)
		time.AfterFunc(slowTime, func() {
			p.Store.Slow(1)
			p.Log.Add("the store is as fast as usual again")
		})
	}
	time.Sleep(500 * time.Millisecond)
	var once, cut sync.Once
	cutOff := make(chan struct{})
	holder.SetOnHold(func() {
		once.Do(func() { holder.EndSoon(short+".0.0.0", endAfter) })
		if runs := p.Runs.Of(short); !runs[0].End.IsZero() {
			cut.Do(func() {
				if p.trouble {
					p.cutRegion()
				}
				close(cutOff)
			})
		}
	})
	select {
	case <-cutOff:
	case <-time.After(10 * time.Second):
		return fmt.Errorf("no poll came after the end of the short task")
	}
	time.Sleep(cutTime)
	if p.trouble {
		p.healRegion()
	}
	time.Sleep(3 * time.Second)
	for _, overlap := range p.Runs.Overlaps() {
		p.fail("TWICE: %s", overlap)
	}
	p.CopyLogs("attemptLost", "lookFailed", "strayAttempt", "tasksPlaced")
	return nil
}
