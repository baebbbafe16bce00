package door

import (
	"bufio"
	"fmt"
	"io"
	"math"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/citronbay/citronbay/internal/decide/intake"
)

const stall = 200 * time.Millisecond

// startServer starts a server behind a door. It reads bodies, waits for three times the time in which
// clients have to make progress, and answers with as many bytes as the path says. The number
// counts the requests that it has served.
func startServer(t *testing.T, limits Limits) (address string, served *atomic.Int64) {
	address, served, _ = startDoor(t, limits)
	return address, served
}

func startDoor(t *testing.T, limits Limits) (address string, served *atomic.Int64, door *Door) {
	t.Helper()
	served = &atomic.Int64{}
	limits.BytesPerSecond, limits.Stall, limits.HeaderBytes = 1000, stall, 1<<13
	server := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if _, err := io.Copy(io.Discard, r.Body); err != nil {
			w.WriteHeader(http.StatusRequestTimeout)
			return
		}
		if Received(r) != nil {
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		served.Add(1)
		select {
		case <-time.After(3 * stall):
		case <-r.Context().Done():
			return
		}
		var bytes int
		_, _ = fmt.Sscanf(r.URL.Path, "/%d", &bytes)
		_, _ = w.Write(make([]byte, bytes))
	})}
	d := New(t.Name(), limits)
	d.Guard(server)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	go func() { _ = server.Serve(d.Listen(l)) }()
	t.Cleanup(func() { _ = server.Close() })
	return l.Addr().String(), served, d
}

// awaitStalled waits until all connections of the door have stalled: a busy server still reads what a client
// has sent long before.
func awaitStalled(d *Door) {
	for {
		quiet := time.Duration(math.MaxInt64)
		d.mu.Lock()
		for c := range d.connections {
			quiet = min(quiet, time.Since(c.moved))
		}
		d.mu.Unlock()
		if quiet >= intake.Stalled {
			return
		}
		time.Sleep(intake.Stalled - quiet)
	}
}

// send sends the pieces of a request, with the pause after each, and returns the status of the answer,
// or 0 if there is none.
func send(t *testing.T, address string, pause time.Duration, pieces ...string) int {
	t.Helper()
	conn, err := net.Dial("tcp", address)
	assert.NilError(t, err)
	defer func() { _ = conn.Close() }()
	for _, p := range pieces {
		if _, err := io.WriteString(conn, p); err != nil {
			break
		}
		time.Sleep(pause)
	}
	_ = conn.SetReadDeadline(time.Now().Add(10 * time.Second))
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		return 0
	}
	_ = response.Body.Close()
	return response.StatusCode
}

func post(length int) string {
	return fmt.Sprintf("POST /8 HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\n\r\n", length)
}

// TestProgress checks that a client on a narrow link is served, and may wait for its answer, and that
// one that sends too slowly is not.
func TestProgress(t *testing.T) {
	address, served := startServer(t, Limits{
		Connections: 10,
		Bytes:       2 << 20,
	})
	slow := append([]string{post(1000)}, strings.SplitAfter(strings.Repeat(strings.Repeat("s", 49)+"\n", 20), "\n")...)
	assert.Equal(t, send(t, address, stall/10, slow...), http.StatusOK)
	assert.Equal(t, served.Load(), int64(1))
	assert.Equal(t, send(t, address, 2*stall, post(1000), "s", "s", "s"), http.StatusRequestTimeout)
	assert.Equal(t, served.Load(), int64(1))
}

// TestOneRequestIsServed checks that the largest body is served by the smallest budget, also beside
// clients that hold all of it and have stalled.
func TestOneRequestIsServed(t *testing.T) {
	const bodyBytes = 256 << 10
	address, _, d := startDoor(t, Limits{
		Connections: 10,
		Bytes:       2 << 20,
	})
	whole := post(bodyBytes) + strings.Repeat("s", bodyBytes)
	assert.Equal(t, send(t, address, 0, whole), http.StatusOK)
	for range 30 {
		conn, err := net.Dial("tcp", address)
		assert.NilError(t, err)
		defer func() { _ = conn.Close() }()
		_, _ = io.WriteString(conn, whole[:len(whole)-1])
	}
	awaitStalled(d) // until then they may be honest
	assert.Equal(t, send(t, address, 0, whole), http.StatusOK)
}

// TestRefusedIsNotServed checks that a request that is refused for want of room has not been served.
func TestRefusedIsNotServed(t *testing.T) {
	address, served := startServer(t, Limits{
		Connections: 10,
		Bytes:       2 << 20,
		Requests:    1,
	})
	first := make(chan int, 1)
	go func() { first <- send(t, address, 0, post(0)) }()
	for served.Load() == 0 {
		time.Sleep(time.Millisecond)
	}
	assert.Equal(t, send(t, address, 0, post(0)), http.StatusServiceUnavailable)
	assert.Equal(t, <-first, http.StatusOK)
	assert.Equal(t, served.Load(), int64(1))
}

// TestUnreadAnswerEnds checks that a client that does not take its answer loses its connection.
func TestUnreadAnswerEnds(t *testing.T) {
	address, _ := startServer(t, Limits{
		Connections: 10,
		Bytes:       2 << 20,
	})
	conn, err := net.Dial("tcp", address)
	assert.NilError(t, err)
	defer func() { _ = conn.Close() }()
	const answerBytes = 64 << 20
	_, err = fmt.Fprintf(conn, "GET /%d HTTP/1.1\r\nHost: h\r\n\r\n", answerBytes)
	assert.NilError(t, err)
	time.Sleep(6 * stall)
	n, _ := io.Copy(io.Discard, conn)
	assert.Assert(t, n < answerBytes, "%d bytes", n)
}
