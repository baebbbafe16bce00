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
	"golang.org/x/sync/semaphore"

	"github.com/citronbay/citronbay/internal/api/traffic"
)

// maxCallDuration limits the time that a handler gets for a call, also if the call has
// no deadline.
const maxCallDuration = time.Minute

// handler decodes the body of a request, serves it and encodes the response.
type handler func(ctx context.Context, body []byte) ([]byte, error)

// Server serves the calls of peers. Create it with NewServer.
type Server struct {
	handlers map[string]handler
	budget   *semaphore.Weighted // in bytes; nil without a limit
	limited  map[string]bool     // methods whose calls hold memory until they are answered

	mu       sync.Mutex
	inFlight int
	idle     chan struct{} // created by Wait, closed when inFlight falls to zero
}

// NewServer returns a server without methods; add them with Handle.
func NewServer() *Server {
	return &Server{handlers: map[string]handler{}}
}

// Handle registers the function that serves a method. It must be called before
// Serve. The caller gets the text of an error that the function returns, as ErrRemote.
func Handle[Request, Response any](s *Server, method string, handle func(context.Context, Request) (Response, error)) {
	s.handlers[method] = func(ctx context.Context, body []byte) ([]byte, error) {
		var request Request
		if err := cbor.Unmarshal(body, &request); err != nil {
			return nil, fmt.Errorf("decode %s: %w", method, err)
		}
		response, err := handle(ctx, request)
		if err != nil {
			return nil, err
		}
		return cbor.Marshal(response)
	}
}

// Listener accepts connections from peers on one UDP address.
type Listener struct {
	socket       *net.UDPConn
	transport    *quic.Transport
	quicListener *quic.Listener
}

// ListenLimited is Listen with limits for peers that have not proved the secret.
func ListenLimited(address string, tlsConfig *tls.Config, limits Limits) (*Listener, func(), error) {
	return listen(address, tlsConfig, limits)
}

// Listen listens on the UDP address (IP:port) with a TLS configuration returned by
// TLSConfig, so that only peers with the same secret can connect. The returned
// function closes the listener.
func Listen(address string, tlsConfig *tls.Config) (*Listener, func(), error) {
	return listen(address, tlsConfig, Limits{})
}

func listen(address string, tlsConfig *tls.Config, limits Limits) (*Listener, func(), error) {
	localAddress, err := net.ResolveUDPAddr("udp", address)
	if err != nil {
		return nil, nil, fmt.Errorf("peer: listen on %s: %w", address, err)
	}
	socket, err := net.ListenUDP("udp", localAddress)
	if err != nil {
		return nil, nil, fmt.Errorf("peer: listen on %s: %w", address, err)
	}
	transport := &quic.Transport{
		Conn:              socket,
		StatelessResetKey: statelessResetKey(tlsConfig),
	}
	limitTransport(transport, limits.Handshakes)
	listener, err := transport.Listen(tlsConfig, quicConfig())
	if err != nil {
		_ = socket.Close()
		return nil, nil, fmt.Errorf("peer: listen on %s: %w", address, err)
	}
	l := &Listener{
		socket:       socket,
		transport:    transport,
		quicListener: listener,
	}
	return l, l.close, nil
}

func (l *Listener) close() {
	_ = l.quicListener.Close()
	_ = l.transport.Close()
	_ = l.socket.Close()
}

// Address returns the UDP address (IP:port) on which the listener accepts
// connections.
func (l *Listener) Address() string {
	return l.socket.LocalAddr().String()
}

// Serve accepts connections and serves their calls. It returns nil when the context
// ends or the listener is closed, or else the error that stops it from accepting. The
// calls of connections accepted before are still served until the listener is closed.
func (s *Server) Serve(ctx context.Context, l *Listener) error {
	for {
		conn, err := l.quicListener.Accept(ctx)
		if ctx.Err() != nil || errors.Is(err, quic.ErrServerClosed) {
			return nil
		}
		if err != nil {
			return fmt.Errorf("peer: accept: %w", err)
		}
		completeHandshake(conn)
		countConnection(conn)
		go s.serveConnection(conn)
	}
}

// Wait waits until no call is in flight. It returns the context's error if the
// context ends first.
func (s *Server) Wait(ctx context.Context) error {
	s.mu.Lock()
	if s.inFlight == 0 {
		s.mu.Unlock()
		return nil
	}
	if s.idle == nil {
		s.idle = make(chan struct{})
	}
	idle := s.idle
	s.mu.Unlock()
	select {
	case <-idle:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

func (s *Server) beginCall() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.inFlight++
}

func (s *Server) endCall() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.inFlight--
	if s.inFlight == 0 && s.idle != nil {
		close(s.idle)
		s.idle = nil
	}
}

func (s *Server) serveConnection(conn *quic.Conn) {
	remote := &Remote{conn: conn}
	for {
		stream, err := conn.AcceptStream(conn.Context())
		if err != nil {
			return
		}
		s.beginCall()
		go func() {
			defer s.endCall()
			s.serveStream(stream, remote)
		}()
	}
}

func (s *Server) serveStream(stream *quic.Stream, remote *Remote) {
	var frame callFrame
	c := &call{server: s}
	defer c.end()
	r := &reader{
		Reader: stream,
		call:   c,
	}
	received, err := readMessage(r, &frame)
	if err == nil && s.limited[frame.Method] {
		err = c.hold(callBytes + decodedCost*int64(received))
	}
	if errors.Is(err, ErrRefused) {
		stream.CancelRead(0)
		if _, err := writeMessage(stream, replyFrame{
			Error:     ErrRefused.Error(),
			IsRefused: true,
		}); err != nil {
			stream.CancelWrite(0)
		}
		return
	}
	if err != nil {
		stream.CancelWrite(0)
		return
	}
	timeout := maxCallDuration
	if frame.RemainingMillis > 0 {
		timeout = min(timeout, time.Duration(frame.RemainingMillis)*time.Millisecond)
	}
	ctx, cancel := context.WithTimeout(context.WithValue(stream.Context(), remoteKey{}, remote), timeout)
	defer cancel()
	var reply replyFrame
	body, err := s.dispatch(ctx, frame)
	if err != nil {
		reply.Error = err.Error()
	} else {
		reply.Body = body
	}
	sent, err := writeMessage(stream, reply)
	if err != nil {
		stream.CancelWrite(0)
	}
	if s.handlers[frame.Method] != nil { // an unknown name must not become a metric's label
		traffic.Add(traffic.Purpose(frame.Method), sent, received)
	}
}

func (s *Server) dispatch(ctx context.Context, frame callFrame) ([]byte, error) {
	handle, ok := s.handlers[frame.Method]
	if !ok {
		return nil, fmt.Errorf("unknown method %q", frame.Method)
	}
	return handle(ctx, frame.Body)
}
