package peer

import (
	"context"
	"errors"
	"io"
	"net"
	"net/netip"
	"sync"

	"github.com/VictoriaMetrics/metrics"
	"github.com/quic-go/quic-go"
	"golang.org/x/sync/semaphore"
)

// ErrRefused reports that the peer had no memory left for the call and has not run it.
var ErrRefused = errors.New("peer: refused, not run")

// Limits are those of a Listener and of the calls that a Server serves. Zero means no limit.
type Limits struct {
	// Handshakes is the most handshakes that may be incomplete at once. Beyond a fifth of them, a
	// peer first has to prove its address (RFC 9000, section 8.1.2), and those of one address may take
	// a quarter of what is free.
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
	// networkBits is the length of an IPv6 network, all of whose addresses one host may have.
	networkBits = 64
)

var (
	callsRefused      = metrics.GetOrCreateCounter(`citronbay_peer_shed_total{reason="memory"}`)
	handshakesRefused = metrics.GetOrCreateCounter(`citronbay_peer_shed_total{reason="handshakes"}`)
	errHandshakes     = errors.New("peer: too many incomplete handshakes of all peers or of one address")
)

// handshakes counts the connections whose peers have not proved the secret, by the network that has
// proved to be theirs. Those that have proved none count as one network, the zero value: a stranger could
// send the first packet from the address of any peer.
type handshakes struct {
	mu         sync.Mutex
	incomplete *shares[netip.Prefix]
}

type handshakeKey struct{}

// limitTransport makes the transport refuse handshakes beyond the limit.
func limitTransport(t *quic.Transport, limit int) {
	if limit <= 0 {
		return
	}
	h := &handshakes{incomplete: newShares[netip.Prefix](limit)}
	t.VerifySourceAddress = func(net.Addr) bool {
		h.mu.Lock()
		defer h.mu.Unlock()
		return h.incomplete.isBeyondOne()
	}
	t.ConnContext = func(ctx context.Context, info *quic.ClientInfo) (context.Context, error) {
		network := provedNetwork(info)
		if !h.begin(network) {
			handshakesRefused.Inc()
			return nil, errHandshakes
		}
		end := sync.OnceFunc(func() { h.end(network) })
		context.AfterFunc(ctx, end)
		return context.WithValue(ctx, handshakeKey{}, end), nil
	}
}

func (h *handshakes) begin(network netip.Prefix) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.incomplete.take(network)
}

func (h *handshakes) end(network netip.Prefix) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.incomplete.giveBack(network)
}

// provedNetwork returns the network of the address that the peer has proved to be its own, or the zero
// value if it has proved none.
func provedNetwork(info *quic.ClientInfo) netip.Prefix {
	udp, ok := info.RemoteAddr.(*net.UDPAddr)
	if !ok || !info.AddrVerified {
		return netip.Prefix{}
	}
	address := udp.AddrPort().Addr().Unmap().WithZone("")
	network, err := address.Prefix(min(networkBits, address.BitLen()))
	if err != nil { // not an address; it counts as one without proof
		return netip.Prefix{}
	}
	return network
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
