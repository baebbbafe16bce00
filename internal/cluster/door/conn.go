package door

import (
	"errors"
	"io"
	"net"
	"net/http"
	"os"
	"time"

	"github.com/citronbay/citronbay/internal/decide/intake"
)

// conn counts what a connection holds and notes when it last moved.
type conn struct {
	net.Conn
	door *Door

	// The fields below are guarded by the door's mu.

	phase    intake.Phase
	held     int64
	headHeld int64 // what the connection holds without a body
	inBody   bool
	ahead    bool // a request has come before the one ahead of it was answered
	hasRead  bool // anything since the last request began
	moved    time.Time
}

type connKey struct{}

// Read counts a head as soon as parts of it have arrived in the server's buffer, before they are
// decoded.
func (c *conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n == 0 {
		return n, err
	}
	d := c.door
	d.mu.Lock()
	if _, ok := d.connections[c]; !ok {
		d.mu.Unlock()
		return 0, ErrShed
	}
	c.moved = time.Now()
	c.ahead = c.ahead || c.phase == intake.Serving
	c.hasRead = true
	inHead := !c.inBody && c.phase != intake.Serving && c.phase != intake.Answering
	if inHead && c.phase != intake.Receiving {
		d.setPhaseLocked(c, intake.Receiving, c.held)
	}
	d.mu.Unlock()
	if inHead {
		if err := d.reserve(c, int64(n)*headCost, 1); err != nil {
			if errors.Is(err, ErrBusy) {
				d.count("head")
			}
			return 0, ErrShed
		}
	}
	return n, err
}

// Write gives a client limited time to take each part of an answer.
func (c *conn) Write(p []byte) (int, error) {
	if err := c.Conn.SetWriteDeadline(time.Now().Add(c.door.limits.Stall)); err != nil {
		return 0, err
	}
	n, err := c.Conn.Write(p)
	if errors.Is(err, os.ErrDeadlineExceeded) {
		c.door.count("answer")
	}
	c.door.mu.Lock()
	c.moved = time.Now()
	c.door.mu.Unlock()
	return n, err
}

func (c *conn) Close() error {
	c.door.mu.Lock()
	c.door.remove(c)
	c.door.mu.Unlock()
	return c.Conn.Close()
}

// CloseWrite lets net/http end its side first, so that the client reads the answer.
func (c *conn) CloseWrite() error {
	if closer, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return closer.CloseWrite()
	}
	return nil
}

// beginRequest replaces the estimate of the head's size by what its decoded form takes. It reports
// whether the connection is to end with the answer.
func (c *conn) beginRequest(r *http.Request) bool {
	bytes := int64(connectionBytes + len(r.RequestURI) + len(r.Host))
	for key, values := range r.Header {
		bytes += fieldBytes + int64(len(key))
		for _, v := range values {
			bytes += int64(len(v))
		}
	}
	d := c.door
	d.mu.Lock()
	defer d.mu.Unlock()
	c.inBody = true
	c.headHeld = bytes
	c.ahead = c.ahead || !c.hasRead
	c.hasRead = false
	if _, ok := d.connections[c]; ok {
		d.setPhaseLocked(c, intake.Receiving, bytes)
	}
	return c.ahead && intake.EndsAfterAnswer(len(d.connections), d.room())
}

// handler passes requests on whose parts the door counts.
func (d *Door) handler(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		c, ok := r.Context().Value(connKey{}).(*conn)
		if !ok {
			next.ServeHTTP(w, r)
			return
		}
		if c.beginRequest(r) {
			d.count("ahead")
			w.Header().Set("Connection", "close")
		}
		b := &body{
			ReadCloser: r.Body,
			conn:       c,
			started:    time.Now(),
			ended:      r.ContentLength == 0,
		}
		r.Body = b
		answer := &answerWriter{
			ResponseWriter: w,
			conn:           c,
		}
		next.ServeHTTP(answer, r)
		answer.begin()
		if !b.ended {
			_ = c.SetReadDeadline(time.Now().Add(restTimeout))
		}
		d.mu.Lock()
		c.inBody = false
		d.mu.Unlock()
	})
}

// answerWriter notes that the request is answered.
type answerWriter struct {
	http.ResponseWriter
	conn  *conn
	begun bool
}

func (w *answerWriter) begin() {
	if !w.begun {
		w.begun = true
		w.conn.door.mu.Lock()
		held := w.conn.held
		w.conn.door.mu.Unlock()
		w.conn.door.setPhase(w.conn, intake.Answering, held)
	}
}

func (w *answerWriter) WriteHeader(code int) {
	w.begin()
	w.ResponseWriter.WriteHeader(code)
}

func (w *answerWriter) Write(p []byte) (int, error) {
	w.begin()
	return w.ResponseWriter.Write(p)
}

// Unwrap is for http.ResponseController.
func (w *answerWriter) Unwrap() http.ResponseWriter {
	return w.ResponseWriter
}

// body reserves memory for each part of a request's body before it is read, and fails if the body
// arrives more slowly than the least rate.
type body struct {
	io.ReadCloser
	conn    *conn
	started time.Time
	read    int64
	ended   bool
}

func (b *body) Read(p []byte) (int, error) {
	d := b.conn.door
	p = p[:min(len(p), stepBytes)]
	share := 1.0
	if b.read >= stepBytes {
		share = intake.LargeShare
	}
	if err := d.reserve(b.conn, int64(len(p))*bodyCost, share); err != nil {
		if errors.Is(err, ErrBusy) {
			d.count("body")
		}
		return 0, err
	}
	allowed := d.limits.Stall + time.Duration(float64(b.read)/float64(d.limits.BytesPerSecond)*float64(time.Second))
	if err := b.conn.SetReadDeadline(b.started.Add(allowed)); err != nil {
		return 0, err
	}
	n, err := b.ReadCloser.Read(p)
	b.read += int64(n)
	if n < len(p) {
		_ = d.reserve(b.conn, int64(n-len(p))*bodyCost, 1)
	}
	switch {
	case errors.Is(err, os.ErrDeadlineExceeded):
		d.count("slow")
		return n, ErrSlow
	case errors.Is(err, io.EOF):
		b.ended = true
	}
	return n, err
}

// Serve returns a handler that passes on the requests which the door lets it serve, and refuses the
// others with 503.
func Serve(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if Received(r) != nil {
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		next.ServeHTTP(w, r)
	})
}

// Received says that the whole request has arrived, as far as it is needed, and is to be served
// now. It returns ErrBusy if too many requests are being served. From then on the client may wait
// for as long as it likes.
func Received(r *http.Request) error {
	c, ok := r.Context().Value(connKey{}).(*conn)
	if !ok {
		return nil
	}
	if err := c.SetReadDeadline(time.Time{}); err != nil {
		return err
	}
	return c.door.beginServing(c)
}
