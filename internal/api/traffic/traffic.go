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
}

func (c *counter) total() int64 {
	return int64(c.sent.Get() + c.received.Get())
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
	})
	return c.(*counter)
}

// Add counts bytes of the purpose.
func Add(p Purpose, sent, received int) {
	c := counterOf(p)
	c.sent.Add(sent)
	c.received.Add(received)
}

// Totals holds numbers of bytes, in both directions, by purpose.
type Totals map[Purpose]int64

// Read returns the numbers of bytes that were counted so far.
func Read() Totals {
	totals := Totals{}
	counters.Range(func(p, c any) bool {
		totals[p.(Purpose)] = c.(*counter).total()
		return true
	})
	return totals
}

// Since returns the bytes that were counted since the earlier reading, by purpose, as an
// attribute for the log.
func Since(earlier Totals) slog.Attr {
	totals := Read()
	var attributes []any
	for _, p := range slices.Sorted(maps.Keys(totals)) {
		if n := totals[p] - earlier[p]; n > 0 {
			attributes = append(attributes, slog.Int64(string(p), n))
		}
	}
	return slog.Group("bytes", attributes...)
}

// Conn counts the bytes of a connection that serves one call at a time. Create it with
// NewConn.
type Conn struct {
	net.Conn
	counter atomic.Pointer[counter]
}

// NewConn returns a connection that counts its bytes for the purpose until SetPurpose is
// called.
func NewConn(conn net.Conn, p Purpose) *Conn {
	c := &Conn{Conn: conn}
	c.SetPurpose(p)
	return c
}

// SetPurpose sets the purpose of the bytes from now on.
func (c *Conn) SetPurpose(p Purpose) {
	c.counter.Store(counterOf(p))
}

// Read is that of the connection.
func (c *Conn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.counter.Load().received.Add(n)
	return n, err
}

// Write is that of the connection.
func (c *Conn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.counter.Load().sent.Add(n)
	return n, err
}
