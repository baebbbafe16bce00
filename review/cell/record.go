package cell

import (
	"fmt"
	"os"
	"sync"
	"time"
)

// Record writes what happened, with the seconds since its creation, to a file.
type Record struct {
	mu      sync.Mutex
	file    *os.File
	started time.Time
}

// NewRecord creates the file and returns its record and the function that closes it.
func NewRecord(path string) (*Record, func(), error) {
	file, err := os.Create(path)
	if err != nil {
		return nil, nil, err
	}
	r := &Record{
		file:    file,
		started: time.Now(),
	}
	return r, func() { _ = file.Close() }, nil
}

// Seconds returns the time since the record was created.
func (r *Record) Seconds(at time.Time) float64 {
	return at.Sub(r.started).Seconds()
}

// Add writes one line.
func (r *Record) Add(format string, arguments ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	_, _ = fmt.Fprintf(r.file, "%9.3f  %s\n", time.Since(r.started).Seconds(), fmt.Sprintf(format, arguments...))
}
