package node

import (
	"log/slog"

	"github.com/citronbay/citronbay/internal/cluster/store"
	"github.com/citronbay/citronbay/internal/cluster/worker"
)

// Directory locates the workers' entries in the store and decodes them.
type Directory struct {
	// Prefix is the common prefix of the entries' keys.
	Prefix string
	// Decode returns the worker's registration. An entry for which it returns an error is
	// logged and ignored.
	Decode func(store.Item) (worker.Registration, error)
}

const (
	// maxWorkerConnections is the number of connections to one worker if there are descriptors
	// enough, and minWorkerConnections the least: one for polls and one for orders.
	maxWorkerConnections = 8
	minWorkerConnections = 2
	// reservedDescriptors is the number of file descriptors for everything but workers: files,
	// callers, other nodes, the store.
	reservedDescriptors = 800
)

// newWorkerClient returns a client of the worker. Clients of all workers together stay within
// the descriptors that the settings give, as long as these suffice for minWorkerConnections.
func (n *Node) newWorkerClient(r worker.Registration) (worker.Client, func()) {
	return n.options.NewWorkerClient(r, workerConnections(n.options.Descriptors, int(n.fleetSize.Load())))
}

// workerConnections returns the number of connections to each of the workers; zero descriptors
// means that their number is unknown.
func workerConnections(descriptors, workers int) int {
	if descriptors <= 0 || workers <= 0 {
		return maxWorkerConnections
	}
	return max(minWorkerConnections, min(maxWorkerConnections, (descriptors-reservedDescriptors)/workers))
}

// directoryReader decodes each version of an entry only once, since the whole directory
// is read every second. It must not be used by more than one goroutine.
type directoryReader struct {
	directory Directory
	log       *slog.Logger
	entries   map[string]directoryEntry
}

// directoryEntry is the decoded form of one version of an entry.
type directoryEntry struct {
	revision     int64
	registration worker.Registration
	readable     bool
}

func newDirectoryReader(directory Directory, log *slog.Logger) *directoryReader {
	return &directoryReader{
		directory: directory,
		log:       log,
		entries:   map[string]directoryEntry{},
	}
}

// read returns the registrations of all entries that can be decoded. Each version of an
// entry that cannot be decoded is logged once.
func (r *directoryReader) read(items map[string]store.Item) []worker.Registration {
	entries := make(map[string]directoryEntry, len(items))
	registrations := make([]worker.Registration, 0, len(items))
	for key, item := range items {
		e, ok := r.entries[key]
		if !ok || e.revision != item.Revision {
			e = r.decode(key, item)
		}
		entries[key] = e
		if e.readable {
			registrations = append(registrations, e.registration)
		}
	}
	r.entries = entries
	return registrations
}

func (r *directoryReader) decode(key string, item store.Item) directoryEntry {
	registration, err := r.directory.Decode(item)
	if err != nil {
		r.log.Warn("workerEntryUnreadable", "key", key, "revision", item.Revision, "error", err)
	}
	return directoryEntry{
		revision:     item.Revision,
		registration: registration,
		readable:     err == nil,
	}
}
