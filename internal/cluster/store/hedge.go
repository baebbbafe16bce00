package store

import (
	"context"
	"errors"
	"time"
)

const (
	// maxParallelAttempts bounds the attempts of one write in flight at once. With a
	// third of the responses lost, one write in a hundred needs more.
	maxParallelAttempts = 4
	// minHedgeDelay and hedgeDelayFactor determine when a further attempt is sent:
	// after the factor times the average commit latency, but not before the minimum.
	minHedgeDelay    = 60 * time.Millisecond
	hedgeDelayFactor = 3
	// transmissionFactor times the time in which the link transmits a write is added to the delay:
	// the link carries other traffic too, and a repeated snapshot would take all of it.
	transmissionFactor = 5
)

// attemptResult is the outcome of one attempt to commit a write.
type attemptResult struct {
	result  TxnResult
	err     error
	latency time.Duration
}

// runWrite commits the write and sends the result to Run, unless the context ends
// first.
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

// commit sends the transaction until its outcome is known, and returns the revision
// at which it took effect. It hedges: when an attempt takes much longer than the
// average, its response may be lost, and a further attempt is sent beside it. This is
// safe because the first attempt that takes effect changes the key's revision, so
// that the condition of all others fails. The error wraps ErrNotApplied only if no
// attempt can still take effect.
func (j *Journal[R]) commit(ctx context.Context, w *journalWrite[R]) (int64, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	results := make(chan attemptResult, maxParallelAttempts)
	inFlight := 0
	send := func() {
		inFlight++
		go j.sendAttempt(ctx, w, results)
	}
	outcomeUnknown := false
	send()
	for {
		select {
		case <-ctx.Done():
			return 0, context.Cause(ctx)
		case <-time.After(j.hedgeDelay(w)):
			if inFlight < maxParallelAttempts {
				send()
			}
			continue
		case r := <-results:
			inFlight--
			if r.err == nil {
				j.observeLatency(r.latency)
				if r.result.Applied {
					return r.result.Revision, nil
				}
				return j.resolveConflict(r.result, w)
			}
			if ctx.Err() != nil {
				return 0, context.Cause(ctx)
			}
			outcomeUnknown = outcomeUnknown || !errors.Is(r.err, ErrNotApplied)
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

func (j *Journal[R]) sendAttempt(ctx context.Context, w *journalWrite[R], results chan<- attemptResult) {
	started := time.Now()
	callCtx, cancel := context.WithTimeout(ctx, callTimeout+j.transmissionTime(w))
	defer cancel()
	result, err := j.client.Commit(callCtx, w.txn)
	results <- attemptResult{
		result:  result,
		err:     err,
		latency: time.Since(started),
	}
}

// observeLatency adds the latency of a commit to the exponential moving average, with
// weight 1/smoothing.
func (j *Journal[R]) observeLatency(latency time.Duration) {
	const smoothing = 4
	j.mu.Lock()
	defer j.mu.Unlock()
	j.commitLatency += (latency - j.commitLatency) / smoothing
}

// hedgeDelay returns the time to wait for a response to the write before a further attempt is
// sent.
func (j *Journal[R]) hedgeDelay(w *journalWrite[R]) time.Duration {
	j.mu.Lock()
	defer j.mu.Unlock()
	return max(minHedgeDelay, hedgeDelayFactor*j.commitLatency) + j.transmissionTime(w)
}

// transmissionTime returns the time by which a write may take longer for its size.
func (j *Journal[R]) transmissionTime(w *journalWrite[R]) time.Duration {
	perSecond := j.link.BytesPerSecond()
	if perSecond == 0 {
		return 0
	}
	return time.Duration(transmissionFactor * float64(w.bytes) / perSecond * float64(time.Second))
}
