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

// buffer collects what is written.
type buffer struct {
	mu   sync.Mutex
	text strings.Builder
}

func (b *buffer) Write(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.text.Write(p)
}

// TestFloodIsBounded floods one event: others keep their room, the volume is
// bounded, and what is left out is counted.
func TestFloodIsBounded(t *testing.T) {
	b := &buffer{}
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

// TestLoggingNeverWaits writes to a reader that takes nothing.
func TestLoggingNeverWaits(t *testing.T) {
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
		t.Fatal("logging waits for its reader")
	}
	assert.NilError(t, reader.Close())
}
