package peer

import (
	"context"
	"errors"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

type echo struct {
	Text string `json:"text"`
}

func serve(t *testing.T, secret string) *Listener {
	t.Helper()
	identity, err := Identity(secret)
	assert.NilError(t, err)
	listener, closeListener, err := Listen("127.0.0.1:0", identity)
	assert.NilError(t, err)
	t.Cleanup(closeListener)
	server := NewServer()
	Handle(server, "echo", func(_ context.Context, request echo) (echo, error) {
		return request, nil
	})
	Handle(server, "fail", func(context.Context, echo) (echo, error) {
		return echo{}, errors.New("broken")
	})
	Handle(server, "hang", func(ctx context.Context, _ echo) (echo, error) {
		<-ctx.Done()
		return echo{}, ctx.Err()
	})
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	go func() { _ = server.Serve(ctx, listener) }()
	return listener
}

func dial(t *testing.T, address, secret string) *Client {
	t.Helper()
	identity, err := Identity(secret)
	assert.NilError(t, err)
	client, closeClient := NewClient(address, identity)
	t.Cleanup(closeClient)
	return client
}

const secret = "the secret that entries share"

func TestCallsAreAnsweredWhole(t *testing.T) {
	client := dial(t, serve(t, secret).Address(), secret)
	for name, size := range map[string]int{
		"empty":  0,
		"small":  10,
		"medium": 100_000,
		"large":  4 << 20,
	} {
		t.Run(name, func(t *testing.T) {
			ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
			defer cancel()
			sent := echo{Text: strings.Repeat("x", size)}
			answer, err := Call[echo](ctx, client, "echo", sent)
			assert.NilError(t, err)
			assert.Assert(t, answer == sent)
		})
	}
}

func TestErrorsTellWhetherThePeerSawTheCall(t *testing.T) {
	address := serve(t, secret).Address()
	for name, test := range map[string]struct {
		address string
		secret  string
		method  string
		want    error
	}{
		"remote error":   {address, secret, "fail", ErrRemote},
		"unknown method": {address, secret, "none", ErrRemote},
		"no peer there":  {"127.0.0.1:1", secret, "echo", ErrNotSent},
		"stranger":       {address, "another secret of a stranger", "echo", nil},
		"deadline":       {address, secret, "hang", context.DeadlineExceeded},
	} {
		t.Run(name, func(t *testing.T) {
			ctx, cancel := context.WithTimeout(context.Background(), 500*time.Millisecond)
			defer cancel()
			_, err := Call[echo](ctx, dial(t, test.address, test.secret), test.method, echo{})
			assert.Assert(t, err != nil)
			if test.want != nil {
				assert.Assert(t, errors.Is(err, test.want), "%v", err)
			}
		})
	}
}

func TestPeerIsGivenNoLessTimeThanTheCallerHas(t *testing.T) {
	for name, test := range map[string]struct {
		left time.Duration
		want int64
	}{
		"whole":    {2 * time.Millisecond, 2},
		"fraction": {499*time.Millisecond + time.Microsecond, 500},
		"over":     {-time.Second, 1},
	} {
		t.Run(name, func(t *testing.T) {
			assert.Equal(t, remainingMillis(test.left), test.want)
		})
	}
}

func TestShortSecretIsRefused(t *testing.T) {
	_, err := Identity("short")
	assert.ErrorContains(t, err, "16")
}

func TestConnectionIsOpenedAnew(t *testing.T) {
	client := dial(t, serve(t, secret).Address(), secret)
	for range 3 {
		_, err := Call[echo](context.Background(), client, "echo", echo{Text: "again"})
		assert.NilError(t, err)
		client.Reset()
	}
}

// TestRestartedPeerIsNoticed replaces a peer's process by another at the same
// address: a call over the forgotten connection must fail at once, not after the
// connection's idle time.
func TestRestartedPeerIsNoticed(t *testing.T) {
	identity, err := Identity(secret)
	assert.NilError(t, err)
	before := serve(t, secret)
	address := before.Address()
	client := dial(t, address, secret)
	_, err = Call[echo](t.Context(), client, "echo", echo{})
	assert.NilError(t, err)
	assert.NilError(t, before.socket.Close())
	after, closeAfter, err := Listen(address, identity)
	assert.NilError(t, err)
	t.Cleanup(closeAfter)
	server := NewServer()
	Handle(server, "echo", func(_ context.Context, request echo) (echo, error) {
		return request, nil
	})
	go func() { _ = server.Serve(t.Context(), after) }()
	ctx, cancel := context.WithTimeout(t.Context(), maxSilence/2)
	defer cancel()
	for {
		_, err = Call[echo](ctx, client, "echo", echo{})
		if err == nil {
			return
		}
		assert.NilError(t, ctx.Err(), "%v", err)
	}
}
