package peer

import (
	"context"
	"crypto/tls"
	"errors"
	"fmt"
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
	// ctx ends when the client is closed.
	ctx    context.Context
	cancel context.CancelFunc

	mu         sync.Mutex
	connection *connection
	dial       *dial // nil unless a connection is being opened

	lastReply atomic.Pointer[time.Time] // nil if the peer has never answered
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
// that closes its connection.
func NewClient(address string, tlsConfig *tls.Config) (*Client, func()) {
	ctx, cancel := context.WithCancel(context.Background())
	c := &Client{
		address:   address,
		tlsConfig: tlsConfig,
		ctx:       ctx,
		cancel:    cancel,
	}
	return c, c.close
}

func (c *Client) close() {
	c.cancel()
	c.Reset()
}

// LastReply returns when the peer last answered a call, or the zero time if it never has.
func (c *Client) LastReply() time.Time {
	if t := c.lastReply.Load(); t != nil {
		return *t
	}
	return time.Time{}
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
	}
}

// Call calls the method of the peer with the request and returns the response. After
// ErrNotSent the peer has not seen the call, and after ErrRemote the peer returned an
// error. After any other error the outcome is unknown. The peer's handler gets the time
// left until the deadline of ctx, and one minute at most.
func Call[Response, Request any](ctx context.Context, c *Client, method string, request Request) (Response, error) {
	var response Response
	body, err := cbor.Marshal(request)
	if err != nil {
		return response, fmt.Errorf("peer %s: %s: %w", c.address, method, errors.Join(ErrNotSent, err))
	}
	frame := callFrame{
		Method: method,
		Body:   body,
	}
	if deadline, ok := ctx.Deadline(); ok {
		frame.RemainingMillis = remainingMillis(time.Until(deadline))
	}
	reply, err := c.roundTrip(ctx, frame)
	if err != nil {
		return response, fmt.Errorf("peer %s: %s: %w", c.address, method, err)
	}
	if reply.Error != "" {
		return response, fmt.Errorf("peer %s: %s: %w: %s", c.address, method, ErrRemote, reply.Error)
	}
	if err := cbor.Unmarshal(reply.Body, &response); err != nil {
		return response, fmt.Errorf("peer %s: %s: %w", c.address, method, err)
	}
	return response, nil
}

// remainingMillis returns the time left in milliseconds, rounded up, so that the
// peer, which counts from the arrival of the call, never times out before the caller.
func remainingMillis(timeLeft time.Duration) int64 {
	return max(1, int64((timeLeft+time.Millisecond-1)/time.Millisecond))
}

func (c *Client) roundTrip(ctx context.Context, frame callFrame) (replyFrame, error) {
	var reply replyFrame
	conn, err := c.connect(ctx)
	if err != nil {
		return reply, errors.Join(ErrNotSent, err)
	}
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
	if err != nil {
		return reply, err
	}
	received, err := readMessage(stream, &reply)
	traffic.Add(traffic.Purpose(frame.Method), sent, received)
	switch {
	case err == nil:
		now := time.Now()
		c.lastReply.Store(&now)
	case ctx.Err() != nil:
		err = errors.Join(ctx.Err(), err)
	}
	return reply, err
}
