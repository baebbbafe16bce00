package store

import (
	"context"
	"errors"
	"time"
)

const (
	// maxCopies bounds the copies of one write that are under way; with a third of
	// the answers lost, one in a hundred writes needs more.
	maxCopies = 4
	// leastPatience and patienceFactor times the usual time of an answer is when
	// another copy is sent.
	leastPatience  = 60 * time.Millisecond
	patienceFactor = 3
)

// answer is the outcome of one copy of a write.
type answer struct {
	result TxnResult
	err    error
	took   time.Duration
}

// fly writes the flight and hands its result to Run.
func (j *Journal[R]) fly(ctx context.Context, f *flight[R]) {
	revision, err := j.write(ctx, f)
	if ctx.Err() != nil {
		return
	}
	j.results <- flightResult[R]{
		flight:   f,
		revision: revision,
		err:      err,
	}
}

// write sends copies of the transaction until its outcome is certain. Copies are
// harmless: whichever comes first changes the key, and the others fail. Another
// copy goes out when the one before takes much longer than usual, since an answer
// that is lost never comes. It returns ErrNotDone only if no copy can take effect
// any more.
func (j *Journal[R]) write(ctx context.Context, f *flight[R]) (int64, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	answers := make(chan answer, maxCopies)
	inFlight := 0
	send := func() {
		inFlight++
		go j.sendCopy(ctx, f.txn, answers)
	}
	unknown := false
	send()
	for {
		select {
		case <-ctx.Done():
			return 0, context.Cause(ctx)
		case <-time.After(j.patience()):
			if inFlight < maxCopies {
				send()
			}
			continue
		case a := <-answers:
			inFlight--
			if a.err == nil {
				j.measure(a.took)
				if a.result.Done {
					return a.result.Revision, nil
				}
				return j.judge(a.result, f)
			}
			if ctx.Err() != nil {
				return 0, context.Cause(ctx)
			}
			unknown = unknown || !errors.Is(a.err, ErrNotDone)
			if !unknown && inFlight == 0 {
				return 0, a.err
			}
			j.log.Warn("commitRepeated", "shard", j.tenure.shard, "entry", f.number, "error", a.err)
		}
		if inFlight == 0 {
			pause(ctx, retryPause/4)
			send()
		}
	}
}

func (j *Journal[R]) sendCopy(ctx context.Context, txn Txn, answers chan<- answer) {
	begun := time.Now()
	call, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	result, err := j.client.Commit(call, txn)
	answers <- answer{
		result: result,
		err:    err,
		took:   time.Since(begun),
	}
}

// measure takes the time of an answer into the usual one.
func (j *Journal[R]) measure(took time.Duration) {
	const weight = 4
	j.mu.Lock()
	defer j.mu.Unlock()
	j.usual += (took - j.usual) / weight
}

// patience returns how long a copy may take before another is sent.
func (j *Journal[R]) patience() time.Duration {
	j.mu.Lock()
	defer j.mu.Unlock()
	return max(leastPatience, patienceFactor*j.usual)
}
