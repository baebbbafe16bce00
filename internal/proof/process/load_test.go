package process

import (
	"context"
	"fmt"
	"sync"
	"sync/atomic"
	"time"

	"github.com/citronbay/citronbay/internal/api/caller"
)

// load sends requests from a number of concurrent callers, each with one request
// in flight, until it is stopped.
type load struct {
	stop    context.CancelFunc
	callers sync.WaitGroup
	sent    atomic.Int64

	mu sync.Mutex
	// fates holds the ids of answered requests, by fate.
	fates map[caller.Fate][]string
	// invalidIDs holds the ids of requests that got an error or a wrong answer.
	invalidIDs []string
	// reasons holds the answer's reason, or the error, of each request, by id.
	reasons map[string]string
}

// startLoad starts the load; each caller sends to the named entries in turn. A
// request's id is the prefix and a number, and its payload ends with the id, so
// that each answer can be matched with its request.
func (c *cell) startLoad(key, prefix string, entries []string, callers int, request caller.Request) *load {
	ctx, stop := context.WithCancel(context.Background())
	l := &load{
		stop:    stop,
		fates:   map[caller.Fate][]string{},
		reasons: map[string]string{},
	}
	for callerIndex := range callers {
		l.callers.Go(func() {
			for turn := callerIndex; ctx.Err() == nil; turn++ {
				r := request
				r.RequestID = fmt.Sprintf("%s-%d", prefix, l.sent.Add(1))
				r.Payload += r.RequestID
				entry := entries[turn%len(entries)]
				l.send(c.client(entry, key), r)
			}
		})
	}
	return l
}

func (l *load) send(client *caller.Client, request caller.Request) {
	ctx, cancel := context.WithTimeout(context.Background(), 30*time.Second)
	defer cancel()
	answer, err := client.Request(ctx, request)
	l.mu.Lock()
	defer l.mu.Unlock()
	if err != nil {
		l.invalidIDs = append(l.invalidIDs, request.RequestID)
		l.reasons[request.RequestID] = err.Error()
		return
	}
	l.fates[answer.Fate] = append(l.fates[answer.Fate], request.RequestID)
	l.reasons[request.RequestID] = answer.Reason
	if answer.RequestID != request.RequestID || (answer.Fate == caller.FateCompleted && string(answer.Answer) != request.Command+":"+request.Payload) {
		l.invalidIDs = append(l.invalidIDs, request.RequestID)
		l.reasons[request.RequestID] = fmt.Sprintf("answer %q for request %s", answer.Answer, answer.RequestID)
	}
}

// finish stops the load and waits for the last answers.
func (l *load) finish() {
	l.stop()
	l.callers.Wait()
}

// count returns how many requests have had the fate so far.
func (l *load) count(fate caller.Fate) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.fates[fate])
}

// reasonSummary returns the reasons or errors of the first three of the requests, given
// by id. The load must have finished.
func (l *load) reasonSummary(requests []string) string {
	text := ""
	for _, id := range requests[:min(3, len(requests))] {
		text += id + ": " + l.reasons[id] + "; "
	}
	return text
}
