package operator

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"log/slog"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
)

const (
	// logQueue is the number of lines that wait for the writer; a second of the
	// busiest day.
	logQueue = 2048
	// eventBudget is the lines a second of one event, above the busiest day's 350
	// jobs a second, so that a flood of one kind leaves the others their room.
	eventBudget = 400
	// byteBudget is the bytes a second of all lines.
	byteBudget = 256 << 10
	// gatherTime is how long lines wait for others, so that a busy process does not
	// make a system call for each.
	gatherTime = 20 * time.Millisecond
)

// NewLogger returns a logger that writes one line of key=value pairs an event and
// never waits for the writer: lines beyond the budget of their event, of the whole,
// or of the queue are left out, and their number is written each second. The
// clean-up function writes what is queued.
func NewLogger(w io.Writer) (*slog.Logger, func()) {
	s := &logSink{
		lines:   make(chan []byte, logQueue),
		stop:    make(chan struct{}),
		stopped: make(chan struct{}),
		written: map[string]int{},
		leftOut: map[string]int{},
	}
	go s.run(w)
	return slog.New(&logHandler{
			sink:   s,
			format: slog.NewTextHandler(s, nil),
		}), sync.OnceFunc(func() {
			close(s.stop)
			<-s.stopped
		})
}

// logHandler applies the budgets before a line is formatted.
type logHandler struct {
	sink   *logSink
	format slog.Handler
}

// Enabled reports whether lines of the level are written.
func (h *logHandler) Enabled(ctx context.Context, level slog.Level) bool {
	return h.format.Enabled(ctx, level)
}

// Handle writes the record unless its event's budget is spent.
func (h *logHandler) Handle(ctx context.Context, r slog.Record) error {
	if !h.sink.admit(r.Message) {
		return nil
	}
	return h.format.Handle(ctx, r)
}

// WithAttrs returns a handler that adds the attributes to each line.
func (h *logHandler) WithAttrs(attrs []slog.Attr) slog.Handler {
	return &logHandler{
		sink:   h.sink,
		format: h.format.WithAttrs(attrs),
	}
}

// WithGroup returns a handler that puts later attributes into the group.
func (h *logHandler) WithGroup(name string) slog.Handler {
	return &logHandler{
		sink:   h.sink,
		format: h.format.WithGroup(name),
	}
}

type logSink struct {
	lines   chan []byte
	stop    chan struct{}
	stopped chan struct{}

	mu      sync.Mutex
	second  int64
	bytes   int
	written map[string]int
	leftOut map[string]int
}

// admit counts a line of the event against its budget.
func (s *logSink) admit(event string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if now := time.Now().Unix(); now != s.second {
		s.second = now
		s.bytes = 0
		clear(s.written)
	}
	if s.written[event] >= eventBudget || s.bytes >= byteBudget {
		s.leftOut[event]++
		metrics.GetOrCreateCounter(fmt.Sprintf("citronbay_log_left_out_total{event=%q}", event)).Inc()
		return false
	}
	s.written[event]++
	return true
}

// Write queues one line, or counts it as left out.
func (s *logSink) Write(line []byte) (int, error) {
	s.mu.Lock()
	s.bytes += len(line)
	s.mu.Unlock()
	select {
	case s.lines <- bytes.Clone(line):
	default:
		s.mu.Lock()
		s.leftOut["queueFull"]++
		s.mu.Unlock()
	}
	return len(line), nil
}

func (s *logSink) run(w io.Writer) {
	defer close(s.stopped)
	tick := time.NewTicker(time.Second)
	defer tick.Stop()
	for {
		select {
		case line := <-s.lines:
			s.gather()
			s.writeQueued(w, line)
		case <-tick.C:
			s.summarize(w)
		case <-s.stop:
			s.writeQueued(w, nil)
			s.summarize(w)
			return
		}
	}
}

// gather waits for more lines, but not for a logger that ends.
func (s *logSink) gather() {
	select {
	case <-time.After(gatherTime):
	case <-s.stop:
	}
}

// writeQueued writes the first line and all that are queued at once.
func (s *logSink) writeQueued(w io.Writer, first []byte) {
	var text bytes.Buffer
	text.Write(first)
	for range len(s.lines) {
		text.Write(<-s.lines)
	}
	_, _ = w.Write(text.Bytes()) // nobody is left to tell
}

// summarize writes how many lines were left out since the last time.
func (s *logSink) summarize(w io.Writer) {
	s.mu.Lock()
	leftOut := maps.Clone(s.leftOut)
	clear(s.leftOut)
	s.mu.Unlock()
	for _, event := range slices.Sorted(maps.Keys(leftOut)) {
		_, _ = fmt.Fprintf(w, "time=%s level=WARN msg=linesLeftOut event=%s count=%d\n",
			time.Now().UTC().Format(time.RFC3339Nano), event, leftOut[event])
	}
}
