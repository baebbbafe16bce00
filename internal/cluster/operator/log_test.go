package operator_test

import (
	"io"
	"strings"
	"sync"
	"testing"
	"time"

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
	log, _ := operator.NewLogger(writer)
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
}
