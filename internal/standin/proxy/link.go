package proxy

import (
	"sync"
	"time"
)

// Link is a network link with a rate and a queue in each direction, which any number of proxies
// may share. TCP connections wait in the queue, datagrams are dropped when it is long. Create it
// with NewLink.
type Link struct {
	mu             sync.Mutex
	bytesPerSecond float64 // zero means no limit
	maxQueueing    time.Duration
	freeAt         map[direction]time.Time // when the queued data will have been transmitted
}

// direction is that of data on a link, as seen by the VM.
type direction int

const (
	outbound direction = iota
	inbound
)

// attachment is the use of a link by a proxy. The zero value is no link.
type attachment struct {
	link       *Link
	vmIsTarget bool // the VM of the link is the target of the proxy, not its client
}

// enqueue adds data to the queue of the link, as Link.enqueue does.
func (a attachment) enqueue(bytes int, fromTarget, isDatagram bool) (time.Duration, bool) {
	if a.link == nil {
		return 0, true
	}
	d := outbound
	if fromTarget != a.vmIsTarget {
		d = inbound
	}
	return a.link.enqueue(bytes, d, isDatagram)
}

// NewLink returns a link without a limit. A datagram is dropped if it would wait for longer than
// maxQueueing.
func NewLink(maxQueueing time.Duration) *Link {
	return &Link{
		maxQueueing: maxQueueing,
		freeAt:      map[direction]time.Time{},
	}
}

// SetRate sets the rate in each direction in bytes per second; zero means no limit.
func (l *Link) SetRate(bytesPerSecond float64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.bytesPerSecond = bytesPerSecond
	clear(l.freeAt)
}

// enqueue adds data to the queue of one direction and returns how long it takes until the data is
// transmitted. It reports false if the data is a datagram and was dropped.
func (l *Link) enqueue(bytes int, d direction, isDatagram bool) (time.Duration, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.bytesPerSecond == 0 {
		return 0, true
	}
	now := time.Now()
	start := l.freeAt[d]
	if start.Before(now) {
		start = now
	}
	if isDatagram && start.Sub(now) > l.maxQueueing {
		return 0, false
	}
	l.freeAt[d] = start.Add(time.Duration(float64(bytes) / l.bytesPerSecond * float64(time.Second)))
	return l.freeAt[d].Sub(now), true
}
