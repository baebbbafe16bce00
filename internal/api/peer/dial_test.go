package peer

import (
	"context"
	"net"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// TestDialsPauseAfterFailures counts the bytes that a node sends to one that does not answer, while
// it calls it again and again: all nodes of a cluster do so at once, and those of 18 nodes may take
// a quarter of a link of 2 Mbit/s.
func TestDialsPauseAfterFailures(t *testing.T) {
	const (
		callInterval, observation = 50 * time.Millisecond, 6 * time.Second
		maxBytesPerSecond         = 2_000_000 / 8 / 4 / 17
	)
	silent, err := net.ListenUDP("udp", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
	assert.NilError(t, err)
	defer func() { _ = silent.Close() }()
	var received atomic.Int64
	go func() {
		buffer := make([]byte, 1<<16)
		for {
			n, err := silent.Read(buffer)
			if err != nil {
				return
			}
			received.Add(int64(n))
		}
	}()
	client := newClient(t, silent.LocalAddr().String(), sharedSecret)
	for end := time.Now().Add(observation); time.Now().Before(end); time.Sleep(callInterval) {
		ctx, cancel := context.WithTimeout(t.Context(), callInterval)
		_, err := Call[echoMessage](ctx, client, "echo", echoMessage{})
		cancel()
		assert.ErrorIs(t, err, ErrNotSent)
	}
	perSecond := received.Load() / int64(observation.Seconds())
	assert.Assert(t, perSecond <= maxBytesPerSecond, "%d bytes a second", perSecond)
}

// TestRemoteIsCalledOverItsConnection checks that a server can call a client back over the connection
// that the client has opened, and that it notices the end of that connection.
func TestRemoteIsCalledOverItsConnection(t *testing.T) {
	tlsConfig, err := TLSConfig(sharedSecret)
	assert.NilError(t, err)
	listener, closeListener, err := Listen("127.0.0.1:0", tlsConfig)
	assert.NilError(t, err)
	t.Cleanup(closeListener)
	remotes := make(chan *Remote, 1)
	server := NewServer()
	Handle(server, "hello", func(ctx context.Context, m echoMessage) (echoMessage, error) {
		remotes <- RemoteOf(ctx)
		return m, nil
	})
	go func() { _ = server.Serve(t.Context(), listener) }()
	callbacks := NewServer()
	Handle(callbacks, "echo", func(_ context.Context, m echoMessage) (echoMessage, error) {
		return m, nil
	})
	client, closeClient := NewClient(listener.Address(), tlsConfig, callbacks)
	_, err = Call[echoMessage](t.Context(), client, "hello", echoMessage{})
	assert.NilError(t, err)
	remote := <-remotes
	assert.Assert(t, remote.IsOpen())
	response, err := Call[echoMessage](t.Context(), remote, "echo", echoMessage{Text: "back"})
	assert.NilError(t, err)
	assert.Equal(t, response.Text, "back")
	closeClient()
	for deadline := time.Now().Add(time.Second); remote.IsOpen(); time.Sleep(time.Millisecond) {
		assert.Assert(t, time.Now().Before(deadline))
	}
	assert.Assert(t, !(*Remote)(nil).IsOpen())
	assert.Assert(t, RemoteOf(t.Context()) == nil)
}

// TestResumeEndsPause checks that a peer that was not reachable is reached at once when it is known to
// be back.
func TestResumeEndsPause(t *testing.T) {
	address := startServer(t, sharedSecret).Address()
	client := newClient(t, address, sharedSecret)
	client.mu.Lock()
	client.noteDial(errDialPaused)
	client.mu.Unlock()
	_, err := Call[echoMessage](t.Context(), client, "echo", echoMessage{})
	assert.ErrorIs(t, err, errDialPaused)
	client.Resume()
	_, err = Call[echoMessage](t.Context(), client, "echo", echoMessage{})
	assert.NilError(t, err)
}
