package operator_test

import (
	"errors"
	"io"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"gotest.tools/v3/assert"

	"github.com/citronbay/citronbay/internal/cluster/operator"
)

// syncBuffer is a buffer that is safe for concurrent use.
type syncBuffer struct {
	mu   sync.Mutex
	text strings.Builder
}

func (b *syncBuffer) Write(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.text.Write(p)
}

// TestLogDropsFloodOfOneEvent logs one event 20,000 times: its lines are limited,
// another event is still written, and the dropped lines are reported.
func TestLogDropsFloodOfOneEvent(t *testing.T) {
	b := &syncBuffer{}
	log, flush := operator.NewLogger(b)
	for n := range 20_000 {
		log.Info("flood", "number", n)
	}
	log.Info("rare", "number", 1)
	flush()
	text := b.text.String()
	lines := strings.Count(text, "msg=flood")
	assert.Assert(t, lines >= 400 && lines <= 2*400, "%d lines", lines)
	assert.Equal(t, strings.Count(text, "msg=rare"), 1)
	assert.Assert(t, strings.Contains(text, "msg=linesLeftOut event=flood"))
}

// TestLogDoesNotBlock logs to a pipe that nobody reads.
func TestLogDoesNotBlock(t *testing.T) {
	reader, writer := io.Pipe()
	log, flush := operator.NewLogger(writer)
	done := make(chan struct{})
	go func() {
		defer close(done)
		for n := range 10_000 {
			log.Info("blocked", "number", n)
		}
	}()
	select {
	case <-done:
	case <-time.After(10 * time.Second):
		t.Fatal("logging blocked on its writer")
	}
	assert.NilError(t, reader.Close())
	flush() // ends the logger, whose write errors would count in other tests
}

// faultyWriter accepts only the given number of bytes of each of its first writes.
type faultyWriter struct {
	syncBuffer
	accepted []int
	sizes    []int // of all writes
}

func (w *faultyWriter) Write(p []byte) (int, error) {
	w.sizes = append(w.sizes, len(p))
	if len(w.sizes) > len(w.accepted) || w.accepted[len(w.sizes)-1] >= len(p) {
		return w.syncBuffer.Write(p)
	}
	n, _ := w.syncBuffer.Write(p[:w.accepted[len(w.sizes)-1]])
	return n, errors.New("not all was written")
}

// TestLogLinesStayApart checks that each write is small enough for a pipe to take it as a
// whole, that a write that accepted a part is continued, and that the lines lost with a
// failed write are counted and not joined to the next line.
func TestLogLinesStayApart(t *testing.T) {
	const number, pipeBuffer = 200, 4096
	for name, c := range map[string]struct {
		accepted []int
		wantLost bool
	}{
		"no fault": {},
		"short writes": {
			accepted: slices.Repeat([]int{50}, 10_000),
		},
		"failed write": {
			accepted: []int{0},
			wantLost: true,
		},
		"short write that cannot be continued": {
			accepted: []int{50, 0},
			wantLost: true,
		},
	} {
		t.Run(name, func(t *testing.T) {
			errorCount := metrics.GetOrCreateCounter("citronbay_log_write_errors_total")
			errorsBefore := errorCount.Get()
			w := &faultyWriter{accepted: c.accepted}
			log, flush := operator.NewLogger(w)
			for n := range number {
				log.Info("event", "number", n)
			}
			flush()
			text := w.text.String()
			for line := range strings.Lines(text) {
				assert.Equal(t, strings.Count(line, "time="), 1, "%q", line)
			}
			for _, size := range w.sizes {
				assert.Assert(t, size <= pipeBuffer, "a write of %d bytes", size)
			}
			assert.Equal(t, strings.Contains(text, "msg=linesLeftOut event=writeFailed"), c.wantLost)
			assert.Equal(t, strings.Count(text, "msg=event") < number, c.wantLost)
			assert.Equal(t, errorCount.Get() > errorsBefore, len(c.accepted) > 0)
		})
	}
}
