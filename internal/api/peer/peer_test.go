package peer

import (
	"bytes"
	"context"
	"errors"
	"net"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

type echoMessage struct {
	Text string `json:"text"`
}

func startServer(t *testing.T, secret string) *Listener {
	t.Helper()
	tlsConfig, err := TLSConfig(secret)
	assert.NilError(t, err)
	listener, closeListener, err := Listen("127.0.0.1:0", tlsConfig)
	assert.NilError(t, err)
	t.Cleanup(closeListener)
	server := NewServer()
	Handle(server, "echo", func(_ context.Context, request echoMessage) (echoMessage, error) {
		return request, nil
	})
	Handle(server, "fail", func(context.Context, echoMessage) (echoMessage, error) {
		return echoMessage{}, errors.New("broken")
	})
	Handle(server, "hang", func(ctx context.Context, _ echoMessage) (echoMessage, error) {
		<-ctx.Done()
		return echoMessage{}, ctx.Err()
	})
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	go func() { _ = server.Serve(ctx, listener) }()
	return listener
}

func newClient(t *testing.T, address, secret string) *Client {
	t.Helper()
	tlsConfig, err := TLSConfig(secret)
	assert.NilError(t, err)
	client, closeClient := NewClient(address, tlsConfig, nil)
	t.Cleanup(closeClient)
	return client
}

const sharedSecret = "the secret that entries share"

func TestCallReturnsCompleteResponse(t *testing.T) {
	client := newClient(t, startServer(t, sharedSecret).Address(), sharedSecret)
	for name, size := range map[string]int{
		"empty":  0,
		"small":  10,
		"medium": 100_000,
		"large":  4 << 20,
	} {
		t.Run(name, func(t *testing.T) {
			ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
			defer cancel()
			sent := echoMessage{Text: strings.Repeat("x", size)}
			response, err := Call[echoMessage](ctx, client, "echo", sent)
			assert.NilError(t, err)
			assert.Assert(t, response == sent)
		})
	}
}

func TestCallErrorTellsWhetherPeerReceivedCall(t *testing.T) {
	address := startServer(t, sharedSecret).Address()
	for name, test := range map[string]struct {
		address string
		secret  string
		method  string
		want    error // nil means any error
	}{
		"remote error":   {address, sharedSecret, "fail", ErrRemote},
		"unknown method": {address, sharedSecret, "none", ErrRemote},
		"no listener":    {"127.0.0.1:1", sharedSecret, "echo", ErrNotSent},
		"wrong secret":   {address, "another secret of a stranger", "echo", nil},
		"deadline":       {address, sharedSecret, "hang", context.DeadlineExceeded},
	} {
		t.Run(name, func(t *testing.T) {
			ctx, cancel := context.WithTimeout(context.Background(), 500*time.Millisecond)
			defer cancel()
			_, err := Call[echoMessage](ctx, newClient(t, test.address, test.secret), test.method, echoMessage{})
			assert.Assert(t, err != nil)
			if test.want != nil {
				assert.Assert(t, errors.Is(err, test.want), "%v", err)
			}
		})
	}
}

func TestRemainingMillisRoundsUp(t *testing.T) {
	for name, test := range map[string]struct {
		timeLeft time.Duration
		want     int64
	}{
		"whole":           {2 * time.Millisecond, 2},
		"fraction":        {499*time.Millisecond + time.Microsecond, 500},
		"deadline passed": {-time.Second, 1},
	} {
		t.Run(name, func(t *testing.T) {
			assert.Equal(t, remainingMillis(test.timeLeft), test.want)
		})
	}
}

func TestTLSConfigRejectsShortSecret(t *testing.T) {
	_, err := TLSConfig("short")
	assert.ErrorContains(t, err, "16")
}

func TestCallReconnectsAfterReset(t *testing.T) {
	client := newClient(t, startServer(t, sharedSecret).Address(), sharedSecret)
	for range 3 {
		_, err := Call[echoMessage](context.Background(), client, "echo", echoMessage{Text: "again"})
		assert.NilError(t, err)
		client.Reset()
	}
}

// TestPeerRestartFailsCallAtOnce replaces a peer by another at the same address,
// which does not know the client's connection. A call over that connection must fail
// at once by a stateless reset, not only after the connection's idle timeout.
func TestPeerRestartFailsCallAtOnce(t *testing.T) {
	tlsConfig, err := TLSConfig(sharedSecret)
	assert.NilError(t, err)
	oldListener := startServer(t, sharedSecret)
	address := oldListener.Address()
	client := newClient(t, address, sharedSecret)
	_, err = Call[echoMessage](t.Context(), client, "echo", echoMessage{})
	assert.NilError(t, err)
	assert.NilError(t, oldListener.socket.Close())
	newListener, closeNewListener, err := Listen(address, tlsConfig)
	assert.NilError(t, err)
	t.Cleanup(closeNewListener)
	server := NewServer()
	Handle(server, "echo", func(_ context.Context, request echoMessage) (echoMessage, error) {
		return request, nil
	})
	go func() { _ = server.Serve(t.Context(), newListener) }()
	const atOnce = time.Second // well before idleTimeout
	ctx, cancel := context.WithTimeout(t.Context(), atOnce)
	defer cancel()
	for {
		_, err = Call[echoMessage](ctx, client, "echo", echoMessage{})
		if err == nil {
			return
		}
		assert.NilError(t, ctx.Err(), "%v", err)
	}
}

// delayedAddress returns a UDP address that forwards datagrams to the target and back,
// each after the delay. It serves one client.
func delayedAddress(t *testing.T, target string, delay time.Duration) string {
	t.Helper()
	outside, err := net.ListenUDP("udp", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
	assert.NilError(t, err)
	inside, err := net.Dial("udp", target)
	assert.NilError(t, err)
	t.Cleanup(func() {
		_ = outside.Close()
		_ = inside.Close()
	})
	var client atomic.Pointer[net.UDPAddr]
	forward := func(read func([]byte) (int, error), write func([]byte)) {
		buffer := make([]byte, 1<<16)
		for {
			n, err := read(buffer)
			if err != nil {
				return
			}
			datagram := bytes.Clone(buffer[:n])
			time.AfterFunc(delay, func() { write(datagram) })
		}
	}
	go forward(func(b []byte) (int, error) {
		n, address, err := outside.ReadFromUDP(b)
		client.Store(address)
		return n, err
	}, func(b []byte) { _, _ = inside.Write(b) })
	go forward(inside.Read, func(b []byte) { _, _ = outside.WriteToUDP(b, client.Load()) })
	return outside.LocalAddr().String()
}

// TestSlowHandshakeIsNotRestarted guards against a connection to a busy peer that is
// never opened: the handshake takes longer than any call may wait, so each call fails and
// starts another one.
func TestSlowHandshakeIsNotRestarted(t *testing.T) {
	const oneWay, callTimeout, maxCalls = 80 * time.Millisecond, 120 * time.Millisecond, 5
	address := delayedAddress(t, startServer(t, sharedSecret).Address(), oneWay)
	client := newClient(t, address, sharedSecret)
	for range maxCalls {
		ctx, cancel := context.WithTimeout(t.Context(), callTimeout)
		_, err := client.connect(ctx)
		cancel()
		if err == nil {
			return
		}
	}
	t.Fatalf("no connection after %d calls of %v", maxCalls, callTimeout)
}
