package shard

import (
	"context"
	"fmt"
	"io"
	"log/slog"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/citronbay/citronbay/internal/api/traffic"
	"github.com/citronbay/citronbay/internal/cluster/store"
	"github.com/citronbay/citronbay/internal/cluster/worker"
	"github.com/citronbay/citronbay/internal/decide/job"
)

// firstPolls records the workers that are polled, in order, and those whose client was closed.
type firstPolls struct {
	mu     sync.Mutex
	polled []string
	at     []time.Time
	closed map[string]bool
}

// polledWorker is a worker that never answers.
type polledWorker struct {
	worker.Client
	id     string
	record *firstPolls
}

func (w polledWorker) Poll(ctx context.Context, _ worker.Poll) (worker.Report, error) {
	w.record.mu.Lock()
	w.record.polled = append(w.record.polled, w.id)
	w.record.at = append(w.record.at, time.Now())
	w.record.mu.Unlock()
	<-ctx.Done()
	return worker.Report{}, ctx.Err()
}

// TestNewOwnerMeetsWorkersInTurn checks that a new owner polls the workers with placements first,
// and all of them at a rate that leaves room on its link. At the end of the term it closes its
// connections at once.
func TestNewOwnerMeetsWorkersInTurn(t *testing.T) {
	const workers = 144
	for name, c := range map[string]struct {
		link            traffic.Link
		earliest, until time.Duration // of the last first poll
	}{
		"small link": {
			link:     traffic.Link{Mbps: 2},
			earliest: 600 * time.Millisecond,
			until:    900 * time.Millisecond,
		},
		"large link": {
			link:  traffic.Link{Mbps: 1000},
			until: 100 * time.Millisecond,
		},
		"unknown link": {until: 100 * time.Millisecond},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				log := slog.New(slog.NewTextHandler(io.Discard, nil))
				term, release, err := store.Claim(t.Context(), emptyStore{}, "fleet", store.Owner{}, log)
				assert.NilError(t, err)
				defer release()
				record := &firstPolls{closed: map[string]bool{}}
				s := &Shard{
					options: Options{
						Link: c.link,
						NewWorkerClient: func(r worker.Registration) (worker.Client, func()) {
							return polledWorker{
								id:     r.ID,
								record: record,
							}, func() {
								record.closed[r.ID] = true
							}
						},
					},
					state:    job.NewState(),
					links:    map[string]*link{},
					earlier:  map[string][]job.WorkerKey{},
					term:     term,
					log:      log,
					openedAt: time.Now(),
				}
				var list []worker.Registration
				for n := range workers {
					list = append(list, worker.Registration{ID: fmt.Sprintf("w%03d", n)})
				}
				busy := map[string]bool{"w007": true, "w100": true, "w143": true}
				for id := range busy {
					s.earlier[id] = []job.WorkerKey{{ID: id}}
				}
				start := time.Now()
				s.SetWorkers(list)
				time.Sleep(c.until)
				synctest.Wait()
				record.mu.Lock()
				assert.Equal(t, len(record.polled), workers)
				for n := range busy {
					assert.Assert(t, busy[record.polled[0]] && busy[record.polled[1]] && busy[record.polled[2]], "%s: %v", n, record.polled[:3])
				}
				last := record.at[workers-1].Sub(start)
				assert.Assert(t, last >= c.earliest && last <= c.until, "%v", last)
				record.mu.Unlock()
				s.closeLinks()
				assert.Equal(t, len(record.closed), workers)
				assert.Equal(t, len(s.links), 0)
			})
		})
	}
}
