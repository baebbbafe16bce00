package traffic

import (
	"io"
	"net"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"
)

// TestShaperLeavesRoomOnLink measures how long 100 KB take over a connection in fake time: on a small
// link longer than the link needs, so that datagrams find room; what renews the ownership does not
// wait.
func TestShaperLeavesRoomOnLink(t *testing.T) {
	const bytes = 100_000
	for name, c := range map[string]struct {
		mbps            float64
		purpose         Purpose
		earliest, until time.Duration
	}{
		"small link":            {mbps: 2, purpose: Directory, earliest: 450 * time.Millisecond, until: 510 * time.Millisecond},
		"small link, ownership": {mbps: 2, purpose: Ownership},
		"large link":            {mbps: 1000, purpose: Directory},
		"unknown link":          {purpose: Directory},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				near, far := net.Pipe()
				defer func() {
					_ = near.Close()
					_ = far.Close()
				}()
				conn := NewConn(near, NewShaper(Link{Mbps: c.mbps}), c.purpose)
				go func() { _, _ = io.Copy(io.Discard, far) }()
				start := time.Now()
				n, err := conn.Write(make([]byte, bytes))
				assert.NilError(t, err)
				assert.Equal(t, n, bytes)
				took := time.Since(start)
				assert.Assert(t, took >= c.earliest && took <= c.until, "sent in %v", took)
				go func() { _, _ = far.Write(make([]byte, bytes)) }()
				start = time.Now()
				_, err = io.ReadFull(conn, make([]byte, bytes))
				assert.NilError(t, err)
				took = time.Since(start)
				assert.Assert(t, took >= c.earliest && took <= c.until, "received in %v", took)
			})
		})
	}
}
