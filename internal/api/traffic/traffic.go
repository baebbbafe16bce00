package traffic

import (
	"fmt"
	"log/slog"
	"maps"
	"net"
	"slices"
	"sync"
	"sync/atomic"

	"github.com/VictoriaMetrics/metrics"
)

// Purpose is what bytes are exchanged for.
type Purpose string

// The purposes of calls to the store, to workers and to the policy service, and those of
// connections between nodes. Messages between nodes have the name of their method.
const (
	Journal   Purpose = "journal"   // entries and snapshots of the journal
	Directory Purpose = "directory" // the list of workers
	Agreement Purpose = "agreement" // the operators' agreement
	Ownership Purpose = "ownership" // the owner's key and its lease
	Poll      Purpose = "poll"      // polls of workers
	Order     Purpose = "order"     // start and stop orders
	Policy    Purpose = "policy"    // queries to the policy service
	Handshake Purpose = "handshake" // opening of connections between nodes
	// PeerPackets is for all that connections between nodes carry after the handshake, messages
	// included; it is counted when a connection ends.
	PeerPackets Purpose = "peerPackets"
)

// counter counts the bytes of one purpose.
type counter struct {
	sent, received *metrics.Counter
	// urgent is set for what must not wait behind other purposes.
	urgent bool
}

var counters sync.Map // *counter by Purpose

func counterOf(p Purpose) *counter {
	if c, ok := counters.Load(p); ok {
		return c.(*counter)
	}
	metric := func(direction string) *metrics.Counter {
		return metrics.GetOrCreateCounter(fmt.Sprintf("citronbay_network_bytes_total{purpose=%q,direction=%q}", string(p), direction))
	}
	c, _ := counters.LoadOrStore(p, &counter{
		sent:     metric("sent"),
		received: metric("received"),
		urgent:   p == Ownership,
	})
	return c.(*counter)
}

// Add counts bytes of the purpose.
func Add(p Purpose, sent, received int) {
	c := counterOf(p)
	c.sent.Add(sent)
	c.received.Add(received)
}

// Bytes is the number of bytes that were sent and received.
type Bytes struct {
	Sent, Received int64
}

// Totals holds the numbers of bytes by purpose.
type Totals map[Purpose]Bytes

// Read returns the numbers of bytes that were counted so far.
func Read() Totals {
	totals := Totals{}
	counters.Range(func(p, c any) bool {
		totals[p.(Purpose)] = Bytes{
			Sent:     int64(c.(*counter).sent.Get()),
			Received: int64(c.(*counter).received.Get()),
		}
		return true
	})
	return totals
}

// Since returns the bytes that were counted since the earlier reading, by purpose, as an
// attribute for the log.
func Since(earlier Totals) slog.Attr {
	totals := Read()
	var sent, received []any
	for _, p := range slices.Sorted(maps.Keys(totals)) {
		if n := totals[p].Sent - earlier[p].Sent; n > 0 {
			sent = append(sent, slog.Int64(string(p), n))
		}
		if n := totals[p].Received - earlier[p].Received; n > 0 {
			received = append(received, slog.Int64(string(p), n))
		}
	}
	return slog.Group("bytes", slog.Group("sent", sent...), slog.Group("received", received...))
}

// Conn counts and shapes the bytes of a connection that serves one call at a time. Create it with
// NewConn.
type Conn struct {
	net.Conn
	shaper  Shaper
	counter atomic.Pointer[counter]
}

// NewConn returns a connection that counts its bytes for the purpose until SetPurpose is
// called.
func NewConn(conn net.Conn, shaper Shaper, p Purpose) *Conn {
	c := &Conn{
		Conn:   conn,
		shaper: shaper,
	}
	c.SetPurpose(p)
	return c
}

// SetPurpose sets the purpose of the bytes from now on.
func (c *Conn) SetPurpose(p Purpose) {
	c.counter.Store(counterOf(p))
}

// Read is that of the connection, except that it may return later and with fewer bytes.
func (c *Conn) Read(b []byte) (int, error) {
	if c.shaper.in != nil {
		b = b[:min(len(b), c.shaper.in.Burst())]
	}
	n, err := c.Conn.Read(b)
	counter := c.counter.Load()
	counter.received.Add(n)
	if c.shaper.in != nil && n > 0 {
		wait(c.shaper.in, n, counter.urgent)
	}
	return n, err
}

// Write is that of the connection, except that it may take longer.
func (c *Conn) Write(b []byte) (int, error) {
	counter := c.counter.Load()
	if c.shaper.out == nil {
		n, err := c.Conn.Write(b)
		counter.sent.Add(n)
		return n, err
	}
	written := 0
	for {
		part := b[written:min(len(b), written+c.shaper.out.Burst())]
		wait(c.shaper.out, len(part), counter.urgent)
		n, err := c.Conn.Write(part)
		counter.sent.Add(n)
		written += n
		if err != nil || written >= len(b) {
			return written, err
		}
	}
}
