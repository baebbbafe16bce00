package peer

import (
	"context"
	"errors"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/quic-go/quic-go"
	"gotest.tools/v3/assert"
)

// TestRefusedCallIsKnownNotToHaveRun checks that the caller learns that a call was not run for want of
// memory, also if the peer stops reading before the whole call has been sent.
func TestRefusedCallIsKnownNotToHaveRun(t *testing.T) {
	tlsConfig, err := TLSConfig(sharedSecret)
	assert.NilError(t, err)
	listener, closeListener, err := Listen("127.0.0.1:0", tlsConfig)
	assert.NilError(t, err)
	t.Cleanup(closeListener)
	var served atomic.Int64
	echo := func(_ context.Context, request echoMessage) (echoMessage, error) {
		served.Add(1)
		return request, nil
	}
	server := NewServer()
	Handle(server, "limited", echo)
	Handle(server, "other", echo)
	server.Limit(Limits{Bytes: callBytes}, "limited")
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	go func() { _ = server.Serve(ctx, listener) }()
	client := newClient(t, listener.Address(), sharedSecret)
	for name, c := range map[string]struct {
		method  string
		size    int
		refused bool
	}{
		"limited, small":         {method: "limited", size: 100, refused: true},
		"limited, large":         {method: "limited", size: 200 << 10, refused: true},
		"beyond the flow window": {method: "limited", size: 4 << 20, refused: true},
		"other, small":           {method: "other", size: 100},
		"other, large":           {method: "other", size: 200 << 10, refused: true},
	} {
		t.Run(name, func(t *testing.T) {
			served.Store(0)
			for range 20 {
				callCtx, cancel := context.WithTimeout(ctx, 5*time.Second)
				_, err := Call[echoMessage](callCtx, client, c.method, echoMessage{Text: strings.Repeat("x", c.size)})
				cancel()
				assert.Equal(t, errors.Is(err, ErrRefused), c.refused, "%v", err)
			}
			assert.Equal(t, served.Load() == 0, c.refused)
		})
	}
}

// TestStopOfPeerIsSeenAtClose checks that a peer that stops reading is seen after the last byte was
// written and before the stream is closed, and that a stream that the caller cancels is told apart.
func TestStopOfPeerIsSeenAtClose(t *testing.T) {
	tlsConfig, err := TLSConfig(sharedSecret)
	assert.NilError(t, err)
	listener, closeListener, err := Listen("127.0.0.1:0", tlsConfig)
	assert.NilError(t, err)
	t.Cleanup(closeListener)
	ctx, cancel := context.WithTimeout(context.Background(), 30*time.Second)
	t.Cleanup(cancel)
	go func() {
		conn, err := listener.quicListener.Accept(ctx)
		for err == nil {
			var stream *quic.Stream
			if stream, err = conn.AcceptStream(ctx); err == nil {
				stream.CancelRead(0)
			}
		}
	}()
	client := newClient(t, listener.Address(), sharedSecret)
	conn, err := client.connect(ctx)
	assert.NilError(t, err)
	for name, c := range map[string]struct {
		cancels bool
	}{
		"peer stops reading": {},
		"caller cancels":     {cancels: true},
	} {
		t.Run(name, func(t *testing.T) {
			stream, err := conn.OpenStreamSync(ctx)
			assert.NilError(t, err)
			if c.cancels {
				stream.CancelWrite(0)
			} else {
				_, err = stream.Write([]byte("part of a call"))
				assert.NilError(t, err)
			}
			select {
			case <-stream.Context().Done():
			case <-ctx.Done():
				t.Fatal("the stream is still open")
			}
			assert.ErrorContains(t, stream.Close(), "canceled stream")
			assert.Equal(t, isStoppedByPeer(stream), !c.cancels)
		})
	}
}
