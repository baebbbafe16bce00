package peer

import (
	"context"
	"errors"
	"strings"
	"sync/atomic"
	"testing"
	"time"

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
