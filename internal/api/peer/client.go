package peer

import (
	"context"
	"crypto/tls"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/quic-go/quic-go"

	"github.com/citronbay/citronbay/internal/api/traffic"
)

// Client calls the methods of one peer. It opens a QUIC connection on the first call.
// If the connection fails, the next call opens a new one.
type Client struct {
	address   string
	tlsConfig *tls.Config
	// server serves the calls that the peer makes over the connection, or is nil.
	server *Server
	// ctx ends when the client is closed.
	ctx    context.Context
	cancel context.CancelFunc

	mu         sync.Mutex
	connection *connection
	dial       *dial // nil unless a connection is being opened
	// failedDials counts the dials that have failed since the last that succeeded, and dialAfter
	// is when the next one may begin.
	failedDials int
	dialAfter   time.Time

	lastReply atomic.Pointer[time.Time] // nil if the peer has never answered
	// packetsOfEnded is the number of packets received on connections that have ended; guarded
	// by mu.
	packetsOfEnded uint64
}

// dial is an attempt to open a connection, for which any number of calls may wait. It
// goes on when a call gives up: a handshake with a busy peer may take longer than a call
// may wait, and starting it anew for each call would never succeed.
type dial struct {
	done chan struct{} // closed after conn or err is set
	conn *quic.Conn
	err  error
}

type connection struct {
	conn      *quic.Conn
	transport *quic.Transport
	messages  *atomic.Int64 // bytes of messages that were counted for themselves
}

// NewClient returns a client for the peer at the address (IP:port), and a function
// that closes its connection. The server, unless it is nil, serves calls that the peer makes
// over this connection, as by Call with a Remote.
func NewClient(address string, tlsConfig *tls.Config, server *Server) (*Client, func()) {
	ctx, cancel := context.WithCancel(context.Background())
	c := &Client{
		address:   address,
		tlsConfig: tlsConfig,
		server:    server,
		ctx:       ctx,
		cancel:    cancel,
	}
	return c, c.close
}

func (c *Client) close() {
	c.cancel()
	c.Reset()
}

// LastReply returns when the peer last answered a call without an error, or the zero time if it
// never has.
func (c *Client) LastReply() time.Time {
	if t := c.lastReply.Load(); t != nil {
		return *t
	}
	return time.Time{}
}

// PacketsReceived returns the number of packets that have arrived from the peer on the
// connections of this client. It grows while the peer's process runs and the path carries
// packets, also if the peer is too busy to answer in time.
func (c *Client) PacketsReceived() uint64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.connection == nil {
		return c.packetsOfEnded
	}
	return c.packetsOfEnded + c.connection.conn.ConnectionStats().PacketsReceived
}

// Reset closes the connection, so that calls in flight fail. The next call opens a new
// one from a new local port, because a firewall or NAT on the path that has lost the
// state of the connection may go on dropping packets from the old port. A connection
// that is being opened is not affected.
func (c *Client) Reset() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.closeConnection()
}

func (c *Client) closeConnection() {
	if c.connection == nil {
		return
	}
	c.packetsOfEnded += c.connection.conn.ConnectionStats().PacketsReceived
	_ = c.connection.conn.CloseWithError(0, "")
	_ = c.connection.transport.Close()
	_ = c.connection.transport.Conn.Close()
	c.connection = nil
}

// connect returns the open connection. If there is none, it waits until one is opened or
// ctx ends.
func (c *Client) connect(ctx context.Context) (*quic.Conn, error) {
	c.mu.Lock()
	if c.connection != nil && c.connection.conn.Context().Err() == nil {
		defer c.mu.Unlock()
		return c.connection.conn, nil
	}
	if c.dial == nil {
		if time.Now().Before(c.dialAfter) {
			c.mu.Unlock()
			return nil, errDialPaused
		}
		c.closeConnection()
		c.dial = &dial{done: make(chan struct{})}
		go c.runDial(c.dial)
	}
	d := c.dial
	c.mu.Unlock()
	select {
	case <-d.done:
		return d.conn, d.err
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

// runDial opens a connection and completes the attempt with it.
func (c *Client) runDial(d *dial) {
	opened, err := c.open()
	c.mu.Lock()
	defer c.mu.Unlock()
	c.dial = nil
	c.noteDial(err)
	if err == nil {
		c.connection = opened
		d.conn = opened.conn
		if err = c.ctx.Err(); err != nil {
			c.closeConnection()
		}
	}
	d.err = err
	close(d.done)
}

// noteDial sets the pause before the next dial. The caller holds c.mu.
func (c *Client) noteDial(err error) {
	if err == nil {
		c.failedDials = 0
		return
	}
	pause := min(maxDialPause, minDialPause<<min(c.failedDials, maxDialPauseDoublings))
	c.failedDials++
	c.dialAfter = time.Now().Add(pause*3/4 + rand.N(pause/2))
}

// Resume ends the pause after dials that failed. The peer is known to be alive.
func (c *Client) Resume() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.failedDials, c.dialAfter = 0, time.Time{}
}

func (c *Client) open() (*connection, error) {
	remoteAddress, err := net.ResolveUDPAddr("udp", c.address)
	if err != nil {
		return nil, err
	}
	socket, err := net.ListenUDP("udp", nil)
	if err != nil {
		return nil, err
	}
	transport := &quic.Transport{Conn: socket}
	ctx, cancel := context.WithTimeout(c.ctx, handshakeTimeout)
	defer cancel()
	conn, err := transport.Dial(ctx, remoteAddress, c.tlsConfig, quicConfig())
	if err != nil {
		_ = transport.Close()
		_ = socket.Close()
		return nil, err
	}
	countConnection(conn)
	if c.server != nil {
		go c.server.serveConnection(conn)
	}
	return &connection{
		conn:      conn,
		transport: transport,
	}, nil
}

func quicConfig() *quic.Config {
	return &quic.Config{
		KeepAlivePeriod:       keepAliveInterval,
		MaxIdleTimeout:        idleTimeout,
		HandshakeIdleTimeout:  handshakeTimeout,
		MaxIncomingStreams:    1 << 16,
		MaxIncomingUniStreams: -1,
		// What a peer sends ahead of a busy process stays small.
		MaxStreamReceiveWindow:     maxStreamWindow,
		MaxConnectionReceiveWindow: maxConnectionWindow,
	}
}

// Peer is another node that can be called: a Client, or a Remote.
type Peer interface {
	name() string
	roundTrip(ctx context.Context, frame callFrame) (replyFrame, error)
}

// Call calls the method of the peer with the request and returns the response. After
// ErrNotSent the peer has not seen the call, and after ErrRemote the peer returned an
// error. After any other error the outcome is unknown. The peer's handler gets the time
// left until the deadline of ctx, and one minute at most.
func Call[Response, Request any](ctx context.Context, p Peer, method string, request Request) (Response, error) {
	var response Response
	body, err := cbor.Marshal(request)
	if err != nil {
		return response, fmt.Errorf("peer %s: %s: %w", p.name(), method, errors.Join(ErrNotSent, err))
	}
	frame := callFrame{
		Method: method,
		Body:   body,
	}
	if deadline, ok := ctx.Deadline(); ok {
		frame.RemainingMillis = remainingMillis(time.Until(deadline))
	}
	reply, err := p.roundTrip(ctx, frame)
	if err != nil {
		return response, fmt.Errorf("peer %s: %s: %w", p.name(), method, err)
	}
	if reply.IsRefused {
		return response, fmt.Errorf("peer %s: %s: %w", p.name(), method, ErrRefused)
	}
	if reply.Error != "" {
		return response, fmt.Errorf("peer %s: %s: %w: %s", p.name(), method, ErrRemote, reply.Error)
	}
	if err := cbor.Unmarshal(reply.Body, &response); err != nil {
		return response, fmt.Errorf("peer %s: %s: %w", p.name(), method, err)
	}
	return response, nil
}

// remainingMillis returns the time left in milliseconds, rounded up, so that the
// peer, which counts from the arrival of the call, never times out before the caller.
func remainingMillis(timeLeft time.Duration) int64 {
	return max(1, int64((timeLeft+time.Millisecond-1)/time.Millisecond))
}

func (c *Client) name() string {
	return c.address
}

func (c *Client) roundTrip(ctx context.Context, frame callFrame) (replyFrame, error) {
	conn, err := c.connect(ctx)
	if err != nil {
		return replyFrame{}, errors.Join(ErrNotSent, err)
	}
	reply, err := roundTrip(ctx, conn, frame)
	if err == nil && reply.Error == "" { // a handler that does nothing until the deadline returns an error
		now := time.Now()
		c.lastReply.Store(&now)
	}
	return reply, err
}

// Remote is a peer that has opened a connection to this node, and is called over it. Create it
// with RemoteOf.
type Remote struct {
	conn *quic.Conn
}

type remoteKey struct{}

// RemoteOf returns the peer whose call the handler with the context serves, or nil if the
// context is not that of a handler.
func RemoteOf(ctx context.Context) *Remote {
	r, _ := ctx.Value(remoteKey{}).(*Remote)
	return r
}

// IsOpen reports whether the connection of the peer is open.
func (r *Remote) IsOpen() bool {
	return r != nil && r.conn.Context().Err() == nil
}

func (r *Remote) name() string {
	return r.conn.RemoteAddr().String()
}

func (r *Remote) roundTrip(ctx context.Context, frame callFrame) (replyFrame, error) {
	return roundTrip(ctx, r.conn, frame)
}

// roundTrip makes one call over the connection.
func roundTrip(ctx context.Context, conn *quic.Conn, frame callFrame) (replyFrame, error) {
	var reply replyFrame
	stream, err := conn.OpenStreamSync(ctx)
	if err != nil {
		return reply, errors.Join(ErrNotSent, err)
	}
	stop := context.AfterFunc(ctx, func() {
		stream.CancelRead(0)
		stream.CancelWrite(0)
	})
	defer stop()
	sent, err := writeMessage(stream, frame)
	if err != nil && !isStoppedByPeer(stream) {
		return reply, err
	}
	// A peer that has stopped reading may have answered that it refuses the call.
	received, err := readMessage(stream, &reply)
	traffic.Add(traffic.Purpose(frame.Method), sent, received)
	if err != nil && ctx.Err() != nil {
		err = errors.Join(ctx.Err(), err)
	}
	return reply, err
}

// isStoppedByPeer reports whether the peer has stopped reading from the stream. Close returns another
// error than Write then.
func isStoppedByPeer(stream *quic.Stream) bool {
	var stopped *quic.StreamError
	return errors.As(context.Cause(stream.Context()), &stopped) && stopped.Remote
}
