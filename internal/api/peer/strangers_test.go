package peer

import (
	"context"
	"fmt"
	"net"
	"sync"
	"testing"
	"time"

	"github.com/quic-go/quic-go"
	"gotest.tools/v3/assert"
)

// TestStrangersKeepNoPeerOut lets strangers prove their addresses and stop there, again and again and
// more of them than handshakes are permitted. Peers at another address must reach the node in
// idleTimeout, after which a node that is not heard counts as gone.
func TestStrangersKeepNoPeerOut(t *testing.T) {
	const strangers, permitted, peers = 64, 8, 5
	for name, addresses := range map[string][]string{
		"one address":     {"127.0.0.2"},
		"three addresses": {"127.0.0.2", "127.0.0.3", "127.0.0.4"},
	} {
		t.Run(name, func(t *testing.T) {
			address := startLimitedServer(t, Limits{Handshakes: permitted})
			refused := handshakesRefused.Get()
			for n := range strangers {
				gatherStranger(t, addresses[n%len(addresses)], address)
				time.Sleep(handshakeTimeout / strangers) // together they come at all times
			}
			for deadline := time.Now().Add(idleTimeout); handshakesRefused.Get() == refused; time.Sleep(time.Millisecond) {
				assert.Assert(t, time.Now().Before(deadline), "the crowd is not large enough")
			}
			for n := range peers {
				tries, err := callUntilAnswered(t, newClient(t, address, sharedSecret), idleTimeout)
				assert.Check(t, err, "peer %d, after %d tries", n, tries)
				time.Sleep(handshakeTimeout / 2)
			}
		})
	}
}

// TestPeersBehindOneAddressConnect lets the peers of a large deployment, all at one address, connect at
// once to a node of 64 MB, as after a change of the owner. No dial may be refused.
func TestPeersBehindOneAddressConnect(t *testing.T) {
	const peers, permitted = 40, 204
	address := startLimitedServer(t, Limits{Handshakes: permitted})
	refused := handshakesRefused.Get()
	var calls sync.WaitGroup
	for range peers {
		client := newClient(t, address, sharedSecret)
		calls.Go(func() {
			_, err := callUntilAnswered(t, client, idleTimeout)
			assert.Check(t, err)
		})
	}
	calls.Wait()
	assert.Equal(t, handshakesRefused.Get(), refused)
}

// startLimitedServer returns the address of a server with the limits.
func startLimitedServer(t *testing.T, limits Limits) string {
	t.Helper()
	tlsConfig, err := TLSConfig(sharedSecret)
	assert.NilError(t, err)
	listener, closeListener, err := ListenLimited("127.0.0.1:0", tlsConfig, limits)
	assert.NilError(t, err)
	t.Cleanup(closeListener)
	server := NewServer()
	Handle(server, "echo", func(_ context.Context, m echoMessage) (echoMessage, error) {
		return m, nil
	})
	go func() { _ = server.Serve(t.Context(), listener) }()
	return listener.Address()
}

// callUntilAnswered calls again and again, as nodes do. It returns the number of tries and an error if
// no call is answered in time.
func callUntilAnswered(t *testing.T, client *Client, timeout time.Duration) (tries int, err error) {
	for end := time.Now().Add(timeout); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		ctx, cancel := context.WithDeadline(t.Context(), end)
		_, err = Call[echoMessage](ctx, client, "echo", echoMessage{})
		cancel()
		tries++
		if err == nil {
			return tries, nil
		}
	}
	return tries, fmt.Errorf("not answered in %s: %w", timeout, err)
}

// gatherStranger dials from the local address until the test ends, anew every handshakeTimeout. It proves
// the address if it has to, and goes no further.
func gatherStranger(t *testing.T, from, address string) {
	t.Helper()
	tlsConfig, err := TLSConfig("another secret than the peers'")
	assert.NilError(t, err)
	target, err := net.ResolveUDPAddr("udp", address)
	assert.NilError(t, err)
	socket, err := net.ListenPacket("udp", net.JoinHostPort(from, "0"))
	assert.NilError(t, err)
	transport := &quic.Transport{Conn: retrySocket{PacketConn: socket}}
	var member sync.WaitGroup
	ctx, cancel := context.WithCancel(context.Background())
	member.Go(func() {
		for ctx.Err() == nil {
			dialCtx, cancelDial := context.WithTimeout(ctx, handshakeTimeout)
			_, _ = transport.Dial(dialCtx, target, tlsConfig, &quic.Config{HandshakeIdleTimeout: handshakeTimeout}) // always fails
			cancelDial()
		}
	})
	t.Cleanup(func() {
		cancel()
		member.Wait()
		_ = transport.Close()
		_ = socket.Close()
	})
}

// retrySocket drops all packets but the Retry, which asks for the proof of the address (RFC 9000,
// section 17.2.5).
type retrySocket struct{ net.PacketConn }

func (s retrySocket) ReadFrom(b []byte) (int, net.Addr, error) {
	const typeBits, retry = 0xf0, 0xf0
	for {
		n, from, err := s.PacketConn.ReadFrom(b)
		if err != nil || n > 0 && b[0]&typeBits == retry {
			return n, from, err
		}
	}
}
