package store

import (
	"context"
	"errors"
	"time"
)

const (
	// maxParallelAttempts bounds the copies of one write that are under way; with a third of
	// the answers lost, one in a hundred writes needs more.
	maxParallelAttempts = 4
	// minHedgeDelay and patienceFactor times the usual time of an answer is when
	// another copy is sent.
	minHedgeDelay    = 60 * time.Millisecond
	hedgeDelayFactor = 3
)

// attemptResult is the outcome of one copy of a write.
type attemptResult struct {
	result  TxnResult
	err     error
	latency time.Duration
}

// runWrite writes the flight and hands its result to Run.
func (j *Journal[R]) runWrite(ctx context.Context, w *journalWrite[R]) {
	revision, err := j.commit(ctx, w)
	if ctx.Err() != nil {
		return
	}
	j.results <- writeResult[R]{
		write:    w,
		revision: revision,
		err:      err,
	}
}

// commit sends copies of the transaction until its outcome is certain. Copies are
// harmless: whichever comes first changes the key, and the others fail. Another
// copy goes out when the one before takes much longer than usual, since an answer
// that is lost never comes. It returns ErrNotDone only if no copy can take effect
// any more.
func (j *Journal[R]) commit(ctx context.Context, w *journalWrite[R]) (int64, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	results := make(chan attemptResult, maxParallelAttempts)
	inFlight := 0
	send := func() {
		inFlight++
		go j.sendAttempt(ctx, w.txn, results)
	}
	outcomeUnknown := false
	send()
	for {
		select {
		case <-ctx.Done():
			return 0, context.Cause(ctx)
		case <-time.After(j.hedgeDelay()):
			if inFlight < maxParallelAttempts {
				send()
			}
			continue
		case r := <-results:
			inFlight--
			if r.err == nil {
				j.observeLatency(r.latency)
				if r.result.Done {
					return r.result.Revision, nil
				}
				return j.resolveConflict(r.result, w)
			}
			if ctx.Err() != nil {
				return 0, context.Cause(ctx)
			}
			outcomeUnknown = outcomeUnknown || !errors.Is(r.err, ErrNotDone)
			if !outcomeUnknown && inFlight == 0 {
				return 0, r.err
			}
			j.log.Warn("commitRepeated", "shard", j.term.shard, "entry", w.number, "error", r.err)
		}
		if inFlight == 0 {
			sleep(ctx, retryDelay/4)
			send()
		}
	}
}

func (j *Journal[R]) sendAttempt(ctx context.Context, txn Txn, results chan<- attemptResult) {
	started := time.Now()
	call, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	result, err := j.client.Commit(call, txn)
	results <- attemptResult{
		result:  result,
		err:     err,
		latency: time.Since(started),
	}
}

// observeLatency takes the time of an answer into the usual one.
func (j *Journal[R]) observeLatency(latency time.Duration) {
	const smoothing = 4
	j.mu.Lock()
	defer j.mu.Unlock()
	j.commitLatency += (latency - j.commitLatency) / smoothing
}

// hedgeDelay returns how long a copy may take before another is sent.
func (j *Journal[R]) hedgeDelay() time.Duration {
	j.mu.Lock()
	defer j.mu.Unlock()
	return max(minHedgeDelay, hedgeDelayFactor*j.commitLatency)
}
