package peer

import (
	"context"
	"errors"
	"io"
	"net"
	"sync"
	"sync/atomic"

	"github.com/VictoriaMetrics/metrics"
	"github.com/quic-go/quic-go"
	"golang.org/x/sync/semaphore"
)

// ErrRefused reports that the peer had no memory left for the call and has not run it.
var ErrRefused = errors.New("peer: refused, not run")

// Limits are those of a Listener and of the calls that a Server serves. Zero means no limit.
type Limits struct {
	// Handshakes is the most handshakes that may be incomplete at once. Beyond a quarter of
	// them, a peer first has to prove its address (RFC 9000, section 8.1.2).
	Handshakes int
	// Bytes is the memory that the bodies of calls may hold, of the methods that Limit names and of
	// all while they are read.
	Bytes int64
}

const (
	// smallBytes is the size up to which a message is always read, so that the peers' own messages
	// are not refused. Few of them are in progress at once.
	smallBytes = 4 << 10
	// callBytes is what a call takes beside its body.
	callBytes = 8 << 10
	// decodedCost is what a byte of a body takes beside the body once it is decoded.
	decodedCost = 2
	// retryFraction is the part of the handshakes beyond which addresses have to be proved.
	retryFraction = 4
)

var (
	callsRefused      = metrics.GetOrCreateCounter(`citronbay_peer_shed_total{reason="memory"}`)
	handshakesRefused = metrics.GetOrCreateCounter(`citronbay_peer_shed_total{reason="handshakes"}`)
	errHandshakes     = errors.New("peer: too many incomplete handshakes")
)

// handshakes counts the connections whose peers have not proved the secret.
type handshakes struct {
	limit      int64
	incomplete atomic.Int64
}

type handshakeKey struct{}

// limit makes the transport refuse handshakes beyond the limit.
func (h *handshakes) limitTransport(t *quic.Transport) {
	if h.limit <= 0 {
		return
	}
	t.VerifySourceAddress = func(net.Addr) bool {
		return h.incomplete.Load() >= h.limit/retryFraction
	}
	t.ConnContext = func(ctx context.Context, _ *quic.ClientInfo) (context.Context, error) {
		if h.incomplete.Add(1) > h.limit {
			h.incomplete.Add(-1)
			handshakesRefused.Inc()
			return nil, errHandshakes
		}
		end := sync.OnceFunc(func() { h.incomplete.Add(-1) })
		context.AfterFunc(ctx, end)
		return context.WithValue(ctx, handshakeKey{}, end), nil
	}
}

// completeHandshake notes that the peer of an accepted connection has proved the secret.
func completeHandshake(conn *quic.Conn) {
	if end, ok := conn.Context().Value(handshakeKey{}).(func()); ok {
		end()
	}
}

// Limit limits the memory of calls. Those of the methods hold it until they are answered. It must be
// called before Serve.
func (s *Server) Limit(limits Limits, methods ...string) {
	if limits.Bytes <= 0 {
		return
	}
	s.budget = semaphore.NewWeighted(limits.Bytes)
	s.limited = map[string]bool{}
	for _, m := range methods {
		s.limited[m] = true
	}
}

// call is the memory that one call holds.
type call struct {
	server *Server
	held   int64
}

// hold takes more memory from the budget. It returns ErrRefused if there is none.
func (c *call) hold(bytes int64) error {
	if c.server.budget == nil {
		return nil
	}
	if !c.server.budget.TryAcquire(bytes) {
		callsRefused.Inc()
		return ErrRefused
	}
	c.held += bytes
	return nil
}

// end returns all memory of the call to the budget.
func (c *call) end() {
	if c.held > 0 {
		c.server.budget.Release(c.held)
	}
}

// reader reads a message and holds memory for what is beyond smallBytes, before it is read.
type reader struct {
	io.Reader
	call *call
	read int64
	paid int64
}

func (r *reader) Read(p []byte) (int, error) {
	p = p[:min(len(p), smallBytes)]
	if due := 2*(r.read+int64(len(p))-smallBytes) - r.paid; due > 0 { // io.ReadAll grows its buffer
		if err := r.call.hold(due); err != nil {
			return 0, err
		}
		r.paid += due
	}
	n, err := r.Reader.Read(p)
	r.read += int64(n)
	return n, err
}
