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
	// maxQueuedLines is the maximum number of lines that wait for the writer: one
	// second of logging on the busiest day.
	maxQueuedLines = 2048
	// maxEventLinesPerSecond limits the lines of one event, so that a flood of one
	// event does not displace the others. It exceeds the busiest day's 350 jobs per
	// second.
	maxEventLinesPerSecond = 400
	// maxBytesPerSecond limits the size of all lines together.
	maxBytesPerSecond = 256 << 10
	// batchDelay is how long the writer waits for more lines, so that a busy process
	// does not make a system call for each line.
	batchDelay = 20 * time.Millisecond
	// maxWriteBytes limits the size of one write of several lines. It is PIPE_BUF: a pipe
	// takes a write of at most that size as a whole, and a reader that splits larger
	// writes would cut a line.
	maxWriteBytes = 4096
)

// NewLogger returns a logger that writes each record as one line of key=value pairs
// and never blocks on the writer. It ignores records below slog.LevelInfo. It drops
// lines that exceed the rate limit of their event (the record's message), the total rate
// limit or the queue's length, and lines that cannot be written, and writes the number of
// dropped lines of each event once per second. The returned function writes the queued
// lines and stops the logger.
func NewLogger(w io.Writer) (*slog.Logger, func()) {
	sink := &logSink{
		lines:        make(chan []byte, maxQueuedLines),
		stopping:     make(chan struct{}),
		stopped:      make(chan struct{}),
		linesByEvent: map[string]int{},
		dropped:      map[string]int{},
	}
	go sink.run(w)
	return slog.New(&logHandler{
			sink:      sink,
			formatter: slog.NewTextHandler(sink, nil),
		}), sync.OnceFunc(func() {
			close(sink.stopping)
			<-sink.stopped
		})
}

// logHandler applies the rate limits before a line is formatted.
type logHandler struct {
	sink      *logSink
	formatter slog.Handler
}

// Enabled reports whether lines of the level are written.
func (h *logHandler) Enabled(ctx context.Context, level slog.Level) bool {
	return h.formatter.Enabled(ctx, level)
}

// Handle writes the record unless a rate limit is reached.
func (h *logHandler) Handle(ctx context.Context, r slog.Record) error {
	if !h.sink.admit(r.Message) {
		return nil
	}
	return h.formatter.Handle(ctx, r)
}

// WithAttrs returns a handler that adds the attributes to each line.
func (h *logHandler) WithAttrs(attrs []slog.Attr) slog.Handler {
	return &logHandler{
		sink:      h.sink,
		formatter: h.formatter.WithAttrs(attrs),
	}
}

// WithGroup returns a handler that adds later attributes to the group.
func (h *logHandler) WithGroup(name string) slog.Handler {
	return &logHandler{
		sink:      h.sink,
		formatter: h.formatter.WithGroup(name),
	}
}

type logSink struct {
	lines    chan []byte
	stopping chan struct{}
	stopped  chan struct{}
	// lineCut is set while the end of the last line that was written is missing; only run
	// uses it.
	lineCut bool

	mu sync.Mutex
	// The size of the lines and their number by event in the current second.
	unixSecond   int64
	bytes        int
	linesByEvent map[string]int
	// The number of dropped lines by event since the last report.
	dropped map[string]int
}

// admit reports whether a line of the event is within the rate limits. If so, it counts
// the line towards the event's limit, and otherwise as dropped.
func (s *logSink) admit(event string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if now := time.Now().Unix(); now != s.unixSecond {
		s.unixSecond = now
		s.bytes = 0
		clear(s.linesByEvent)
	}
	if s.linesByEvent[event] >= maxEventLinesPerSecond || s.bytes >= maxBytesPerSecond {
		s.countDropped(event, 1)
		return false
	}
	s.linesByEvent[event]++
	return true
}

// countDropped counts lines of the event as dropped; the caller holds s.mu.
func (s *logSink) countDropped(event string, lines int) {
	s.dropped[event] += lines
	metrics.GetOrCreateCounter(fmt.Sprintf("citronbay_log_left_out_total{event=%q}", event)).Add(lines)
}

// Write queues one line. If the queue is full, it drops the line and counts it under
// the event queueFull.
func (s *logSink) Write(line []byte) (int, error) {
	s.mu.Lock()
	s.bytes += len(line)
	s.mu.Unlock()
	select {
	case s.lines <- bytes.Clone(line):
	default:
		s.mu.Lock()
		s.countDropped("queueFull", 1)
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
			s.awaitBatch()
			s.writeBatch(w, line)
		case <-tick.C:
			s.writeDropped(w)
		case <-s.stopping:
			s.writeBatch(w, nil)
			s.writeDropped(w)
			return
		}
	}
}

// awaitBatch waits until more lines can be written together, or until the logger
// stops.
func (s *logSink) awaitBatch() {
	select {
	case <-time.After(batchDelay):
	case <-s.stopping:
	}
}

// writeBatch writes the first line and all queued lines, in writes of at most
// maxWriteBytes unless a line is longer. It counts lines that are not written in full
// under the event writeFailed.
func (s *logSink) writeBatch(w io.Writer, first []byte) {
	text := bytes.Clone(first)
	lost := 0
	for range len(s.lines) {
		line := <-s.lines
		if len(text)+len(line) > maxWriteBytes {
			lost += s.writeLines(w, text)
			text = text[:0]
		}
		text = append(text, line...)
	}
	lost += s.writeLines(w, text)
	if lost > 0 {
		s.mu.Lock()
		s.countDropped("writeFailed", lost)
		s.mu.Unlock()
	}
}

// writeLines writes whole lines and returns the number of those that were not written in
// full. They are not tried again, so that a writer that fails does not hold up later lines.
func (s *logSink) writeLines(w io.Writer, lines []byte) int {
	if s.lineCut && len(writeAll(w, []byte("\n"))) > 0 {
		return bytes.Count(lines, []byte("\n"))
	}
	rest := writeAll(w, lines)
	written := lines[:len(lines)-len(rest)]
	s.lineCut = len(written) > 0 && !bytes.HasSuffix(written, []byte("\n"))
	return bytes.Count(rest, []byte("\n"))
}

// writeAll writes the text, continues after a write that accepted a part of it, and
// returns what remains once a write accepts nothing. It counts all errors.
func writeAll(w io.Writer, text []byte) []byte {
	for len(text) > 0 {
		n, err := w.Write(text)
		if err != nil {
			metrics.GetOrCreateCounter("citronbay_log_write_errors_total").Inc()
		}
		if n == 0 {
			break
		}
		text = text[n:]
	}
	return text
}

// writeDropped writes the number of lines of each event that were dropped since the last
// call. Numbers that cannot be written are kept for the next call.
func (s *logSink) writeDropped(w io.Writer) {
	s.mu.Lock()
	dropped := maps.Clone(s.dropped)
	clear(s.dropped)
	s.mu.Unlock()
	for _, event := range slices.Sorted(maps.Keys(dropped)) {
		line := fmt.Appendf(nil, "time=%s level=WARN msg=linesLeftOut event=%s count=%d\n",
			time.Now().UTC().Format(time.RFC3339Nano), event, dropped[event])
		if s.writeLines(w, line) > 0 {
			s.mu.Lock()
			s.dropped[event] += dropped[event]
			s.mu.Unlock()
		}
	}
}
