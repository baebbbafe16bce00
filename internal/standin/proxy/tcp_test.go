package proxy

import (
	"errors"
	"net"
	"os"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// TestSetRefusing checks that a proxy ends connections and refuses new ones while it is told
// to, and accepts them at the same port afterwards.
func TestSetRefusing(t *testing.T) {
	target, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	defer func() {
		_ = target.Close()
	}()
	p, closeProxy, err := NewTCP(target.Addr().String())
	assert.NilError(t, err)
	defer closeProxy()
	open, err := net.Dial("tcp", p.Address())
	assert.NilError(t, err)

	assert.NilError(t, p.SetRefusing(true))
	assert.NilError(t, open.SetReadDeadline(time.Now().Add(10*time.Second)))
	_, err = open.Read(make([]byte, 1))
	assert.Assert(t, !errors.Is(err, os.ErrDeadlineExceeded))
	assert.Assert(t, err != nil, "a connection from before is open")
	_, err = net.Dial("tcp", p.Address())
	assert.ErrorIs(t, err, syscall.ECONNREFUSED)

	assert.NilError(t, p.SetRefusing(false))
	conn, err := net.Dial("tcp", p.Address())
	assert.NilError(t, err)
	_ = conn.Close()
}

// TestAcceptsAgainWhileChildHoldsListener guards against a proxy that cannot accept connections
// again because a child process, forked at that moment, still has its last listener.
func TestAcceptsAgainWhileChildHoldsListener(t *testing.T) {
	p, closeProxy, err := NewTCP("127.0.0.1:1")
	assert.NilError(t, err)
	defer closeProxy()
	held, err := p.listener.(*net.TCPListener).File()
	assert.NilError(t, err)
	assert.NilError(t, p.SetRefusing(true))
	time.AfterFunc(50*time.Millisecond, func() { _ = held.Close() })
	assert.NilError(t, p.SetRefusing(false))
}
