package peer

import (
	"context"
	"crypto/tls"
	"errors"
	"fmt"
	"net"
	"sync"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/quic-go/quic-go"
)

// Client calls one peer over a QUIC connection that it opens when needed and
// replaces when it fails.
type Client struct {
	address  string
	identity *tls.Config

	mu      sync.Mutex
	current *connection
}

type connection struct {
	quic      *quic.Conn
	transport *quic.Transport
}

// NewClient returns a client of the peer at the address (IP:port), and a
// clean-up function that closes its connection.
func NewClient(address string, identity *tls.Config) (*Client, func()) {
	c := &Client{
		address:  address,
		identity: identity,
	}
	return c, c.Reset
}

// Reset closes the connection; the next call opens a new one from a new port,
// since what forgets a connection on the way may go on dropping the old port's
// packets.
func (c *Client) Reset() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.drop()
}

func (c *Client) drop() {
	if c.current == nil {
		return
	}
	_ = c.current.quic.CloseWithError(0, "")
	_ = c.current.transport.Close()
	_ = c.current.transport.Conn.Close()
	c.current = nil
}

func (c *Client) connect(ctx context.Context) (*quic.Conn, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.current != nil && c.current.quic.Context().Err() == nil {
		return c.current.quic, nil
	}
	c.drop()
	remote, err := net.ResolveUDPAddr("udp", c.address)
	if err != nil {
		return nil, err
	}
	socket, err := net.ListenUDP("udp", nil)
	if err != nil {
		return nil, err
	}
	transport := &quic.Transport{Conn: socket}
	ctx, cancel := context.WithTimeout(ctx, handshakeTimeout)
	defer cancel()
	opened, err := transport.Dial(ctx, remote, c.identity, configuration())
	if err != nil {
		_ = transport.Close()
		_ = socket.Close()
		return nil, err
	}
	c.current = &connection{
		quic:      opened,
		transport: transport,
	}
	return opened, nil
}

func configuration() *quic.Config {
	return &quic.Config{
		KeepAlivePeriod:       keepAlive,
		MaxIdleTimeout:        maxSilence,
		HandshakeIdleTimeout:  handshakeTimeout,
		MaxIncomingStreams:    1 << 16,
		MaxIncomingUniStreams: -1,
	}
}

// Call sends the request to the peer's method and returns its whole answer. An
// error that is ErrNotSent means that the peer has not seen the call; any other
// but ErrRemote leaves its outcome unknown.
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
	reply, err := c.exchange(ctx, frame)
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

// remainingMillis rounds the caller's time left up, so that the peer, which counts
// from the call's arrival, never gives up before the caller does.
func remainingMillis(left time.Duration) int64 {
	return max(1, int64((left+time.Millisecond-1)/time.Millisecond))
}

func (c *Client) exchange(ctx context.Context, frame callFrame) (replyFrame, error) {
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
	if err := writeMessage(stream, frame); err != nil {
		return reply, err
	}
	err = readMessage(stream, &reply)
	if err != nil && ctx.Err() != nil {
		err = errors.Join(ctx.Err(), err)
	}
	return reply, err
}
