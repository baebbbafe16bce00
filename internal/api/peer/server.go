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

// maxCallTime bounds a call whose caller states no deadline.
const maxCallTime = time.Minute

// handler serves one method on encoded messages.
type handler func(ctx context.Context, body []byte) ([]byte, error)

// Server answers the calls of peers. Create it with NewServer.
type Server struct {
	handlers map[string]handler

	mu    sync.Mutex
	calls int
	idle  chan struct{}
}

// NewServer returns a server without methods.
func NewServer() *Server {
	return &Server{handlers: map[string]handler{}}
}

// Handle registers the function that serves a method; it must be called before
// Serve.
func Handle[Request, Response any](s *Server, method string, serve func(context.Context, Request) (Response, error)) {
	s.handlers[method] = func(ctx context.Context, body []byte) ([]byte, error) {
		var request Request
		if err := cbor.Unmarshal(body, &request); err != nil {
			return nil, fmt.Errorf("decode %s: %w", method, err)
		}
		response, err := serve(ctx, request)
		if err != nil {
			return nil, err
		}
		return cbor.Marshal(response)
	}
}

// Listener accepts the connections of peers on one UDP address.
type Listener struct {
	socket    *net.UDPConn
	transport *quic.Transport
	listener  *quic.Listener
}

// Listen opens the UDP address (IP:port) for peers that hold the identity's
// key, and returns a clean-up function that closes it.
func Listen(address string, identity *tls.Config) (*Listener, func(), error) {
	local, err := net.ResolveUDPAddr("udp", address)
	if err != nil {
		return nil, nil, fmt.Errorf("peer: listen on %s: %w", address, err)
	}
	socket, err := net.ListenUDP("udp", local)
	if err != nil {
		return nil, nil, fmt.Errorf("peer: listen on %s: %w", address, err)
	}
	transport := &quic.Transport{
		Conn:              socket,
		StatelessResetKey: resetKey(identity),
	}
	listener, err := transport.Listen(identity, configuration())
	if err != nil {
		_ = socket.Close()
		return nil, nil, fmt.Errorf("peer: listen on %s: %w", address, err)
	}
	l := &Listener{
		socket:    socket,
		transport: transport,
		listener:  listener,
	}
	return l, l.close, nil
}

func (l *Listener) close() {
	_ = l.listener.Close()
	_ = l.transport.Close()
	_ = l.socket.Close()
}

// Address returns the UDP address that the listener has.
func (l *Listener) Address() string {
	return l.socket.LocalAddr().String()
}

// Serve answers calls until the context ends or the listener is closed.
func (s *Server) Serve(ctx context.Context, l *Listener) error {
	for {
		conn, err := l.listener.Accept(ctx)
		if ctx.Err() != nil || errors.Is(err, quic.ErrServerClosed) {
			return nil
		}
		if err != nil {
			return fmt.Errorf("peer: accept: %w", err)
		}
		go s.serveConnection(conn)
	}
}

// Wait returns when no call is in progress, or with the context's error.
func (s *Server) Wait(ctx context.Context) error {
	s.mu.Lock()
	if s.calls == 0 {
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

func (s *Server) begin() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.calls++
}

func (s *Server) end() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.calls--
	if s.calls == 0 && s.idle != nil {
		close(s.idle)
		s.idle = nil
	}
}

func (s *Server) serveConnection(conn *quic.Conn) {
	for {
		stream, err := conn.AcceptStream(conn.Context())
		if err != nil {
			return
		}
		s.begin()
		go func() {
			defer s.end()
			s.serveStream(stream)
		}()
	}
}

func (s *Server) serveStream(stream *quic.Stream) {
	var frame callFrame
	if err := readMessage(stream, &frame); err != nil {
		stream.CancelWrite(0)
		return
	}
	limit := maxCallTime
	if frame.RemainingMillis > 0 {
		limit = min(limit, time.Duration(frame.RemainingMillis)*time.Millisecond)
	}
	ctx, cancel := context.WithTimeout(stream.Context(), limit)
	defer cancel()
	var reply replyFrame
	body, err := s.dispatch(ctx, frame)
	if err != nil {
		reply.Error = err.Error()
	} else {
		reply.Body = body
	}
	if err := writeMessage(stream, reply); err != nil {
		stream.CancelWrite(0)
	}
}

func (s *Server) dispatch(ctx context.Context, frame callFrame) ([]byte, error) {
	serve, ok := s.handlers[frame.Method]
	if !ok {
		return nil, fmt.Errorf("no method %q", frame.Method)
	}
	return serve(ctx, frame.Body)
}
