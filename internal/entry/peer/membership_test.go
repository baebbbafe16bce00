package peer

import (
	"context"
	"io"
	"log/slog"
	"net"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"github.com/citronbay/citronbay/internal/api/peer"
	"github.com/citronbay/citronbay/internal/entry/platform"
	"github.com/citronbay/citronbay/internal/entry/settings"
)

// TestHeartbeatEndsPause guards against an owner that does not call an entry which has restarted and sends
// it heartbeats, because connections to it failed while it was down: the entry hears of no owner and takes
// the shard.
func TestHeartbeatEndsPause(t *testing.T) {
	const restarted = "entry-1"
	tlsConfig, err := peer.TLSConfig("a secret of the tests")
	assert.NilError(t, err)
	m, closeMembership := New(Member{Name: "entry-0"}, tlsConfig, settings.Timings{
		Heartbeat:   time.Hour,
		PeerTimeout: time.Second,
	}, platform.NewRegistry(), func() Heartbeat { return Heartbeat{} }, slog.New(slog.NewTextHandler(io.Discard, nil)))
	t.Cleanup(closeMembership)

	// While the entry is down, something else has its port and answers nothing.
	socket, err := net.ListenPacket("udp", "127.0.0.1:0")
	assert.NilError(t, err)
	address := socket.LocalAddr().String()
	ctx, cancel := context.WithCancel(t.Context())
	cancel() // the heartbeats of this entry have ended
	m.track(ctx, Member{
		Name:    restarted,
		Address: address,
	})
	call := func() error {
		_, err := peer.Call[HeartbeatResponse](t.Context(), m.Peers()[0].Client, MethodHeartbeat, m.ownHeartbeat())
		return err
	}
	for range 2 { // after the second failure the pause is longest
		poll.WaitOn(t, func(poll.LogT) poll.Result {
			if start, err := time.Now(), call(); err == nil || time.Since(start) < handshakeTime {
				return poll.Continue("paused: %v", err)
			}
			return poll.Success()
		}, poll.WithTimeout(time.Minute))
	}

	assert.NilError(t, socket.Close())
	l, closeListener, err := peer.Listen(address, tlsConfig)
	assert.NilError(t, err)
	t.Cleanup(closeListener)
	server := peer.NewServer()
	m.Register(server)
	go func() { _ = server.Serve(context.Background(), l) }()
	_, err = m.serveHeartbeat(t.Context(), Heartbeat{Name: restarted})
	assert.NilError(t, err)
	assert.NilError(t, call())
}

// handshakeTime is less than the time after which an attempt to connect fails, and more than a call takes
// in a pause.
const handshakeTime = 500 * time.Millisecond
