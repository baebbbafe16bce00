package door

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"github.com/citronbay/citronbay/internal/decide/intake"
)

const (
	// connectionBytes is what a connection takes by itself: two buffers of net/http, the stacks of
	// its goroutines, and its state.
	connectionBytes = 16 << 10
	// headCost is the most that a byte of a request's head takes once it is decoded: a field of
	// four bytes is an entry of a map, two strings and a slice.
	headCost = 32
	// fieldBytes is what a decoded field takes beside its text.
	fieldBytes = 128
	// bodyCost is what a byte of a body takes while the body is decoded, in a buffer that doubles.
	bodyCost = 2
	// servedBytes is the most that remains of a body once it is decoded.
	servedBytes = 48 << 10
	// stepBytes is how much of a body is reserved and read at a time.
	stepBytes = 8 << 10
	// restTimeout limits the time in which the rest of a body may arrive that no one reads.
	restTimeout = time.Second
	// leastConnections are left to clients, however many sockets other things take.
	leastConnections = 16
	// sweepInterval is how often the sockets of the process are compared with its limit.
	sweepInterval = time.Second
)

var (
	// ErrBusy reports that the budget has no room for a request's body. The request was not run.
	ErrBusy = errors.New("door: no memory is left for the request")
	// ErrSlow reports that a body arrives more slowly than the least rate.
	ErrSlow = errors.New("door: the request arrives too slowly")
	// ErrShed reports that the connection was given up.
	ErrShed = errors.New("door: the connection was given up")
)

// Limits are those of a Door.
type Limits struct {
	// Connections is the most connections that are open at once.
	Connections int
	// Sockets is the number that the process may open, for everything; Others returns how many it
	// uses for other things than this door. Zero means that there is no such limit.
	Sockets int
	Others  func() int
	// Bytes is the memory that connections and unfinished requests may hold.
	Bytes int64
	// HeaderBytes is the size of a request's head. net/http adds 4 KiB.
	HeaderBytes int
	// BytesPerSecond is the least rate at which a body has to arrive.
	BytesPerSecond int64
	// Stall is how long a body may take beside the time by the least rate, and how long a client
	// may take none of an answer's parts, which are 4 KiB or less.
	Stall time.Duration
	// Requests is the most requests that are served at once; zero means that only Bytes limits them.
	Requests int
}

// Door admits the connections and requests of one HTTP server. Create it with New.
type Door struct {
	name   string
	limits Limits

	mu          sync.Mutex
	connections map[*conn]struct{}
	held        int64 // by all connections
	served      int64 // by those whose request is being served
	requests    int   // that are being served
}

// New returns a door. The name is a label of its metrics.
func New(name string, limits Limits) *Door {
	d := &Door{
		name:        name,
		limits:      limits,
		connections: map[*conn]struct{}{},
	}
	metrics.GetOrCreateGauge(fmt.Sprintf("citronbay_client_connections{door=%q}", name), func() float64 {
		d.mu.Lock()
		defer d.mu.Unlock()
		return float64(len(d.connections))
	})
	metrics.GetOrCreateGauge(fmt.Sprintf("citronbay_client_bytes{door=%q}", name), func() float64 {
		d.mu.Lock()
		defer d.mu.Unlock()
		return float64(d.held)
	})
	return d
}

// count counts something that was given up or refused.
func (d *Door) count(reason string) {
	metrics.GetOrCreateCounter(fmt.Sprintf("citronbay_clients_shed_total{door=%q,reason=%q}", d.name, reason)).Inc()
}

// Guard makes the server pass its requests through the door. Its connections must come from a
// listener of Listen.
func (d *Door) Guard(server *http.Server) {
	server.MaxHeaderBytes = d.limits.HeaderBytes
	server.Handler = d.handler(server.Handler)
	server.ConnContext = func(ctx context.Context, c net.Conn) context.Context {
		return context.WithValue(ctx, connKey{}, c)
	}
	server.ConnState = func(c net.Conn, state http.ConnState) {
		if c, ok := c.(*conn); ok && state == http.StateIdle {
			d.setPhase(c, intake.Idle, connectionBytes)
		}
	}
}

// Listen returns a listener whose connections the door admits. netutil.LimitListener would let a
// full server's new clients wait for those that send nothing; here a new one takes the place of
// the one that intake gives up first.
func (d *Door) Listen(l net.Listener) net.Listener {
	return listener{
		Listener: l,
		door:     d,
	}
}

type listener struct {
	net.Listener
	door *Door
}

func (l listener) Accept() (net.Conn, error) {
	for {
		accepted, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		c := &conn{
			Conn: accepted,
			door: l.door,
		}
		if l.door.admit(c) {
			return c, nil
		}
		l.door.count("refused")
		_ = accepted.Close()
	}
}

// admit makes room for the connection and adds it.
func (d *Door) admit(c *conn) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	if !d.makeRoom(connectionBytes, 1, d.limits.Bytes, nil, "connections") {
		return false
	}
	c.moved = time.Now()
	c.held = connectionBytes
	d.held += connectionBytes
	d.connections[c] = struct{}{}
	return true
}

// room returns how many connections the door may have.
func (d *Door) room() int {
	if d.limits.Sockets <= 0 || d.limits.Others == nil {
		return d.limits.Connections
	}
	return min(d.limits.Connections, max(leastConnections, d.limits.Sockets-d.limits.Others()))
}

// makeRoom gives connections up until the given numbers of bytes, of the budget, and connections are free. It
// spares the connection that they are for. The caller holds d.mu.
func (d *Door) makeRoom(bytes int64, slots int, budget int64, spared *conn, reason string) bool {
	bytes += d.held - budget
	slots += len(d.connections) - d.room()
	if bytes <= 0 && slots <= 0 {
		return true
	}
	now := time.Now()
	conns := make([]*conn, 0, len(d.connections))
	view := make([]intake.Connection, 0, len(d.connections))
	for c := range d.connections {
		if c != spared {
			conns = append(conns, c)
			view = append(view, intake.Connection{
				Phase: c.phase,
				Held:  c.held,
				Quiet: now.Sub(c.moved),
			})
		}
	}
	victims, enough := intake.Victims(view, bytes, slots)
	if !enough {
		return false
	}
	for _, n := range victims {
		d.count(reason)
		d.remove(conns[n])
		_ = conns[n].Conn.Close()
	}
	return true
}

// Sweep gives connections up while the process has more sockets than its limit, until the context
// ends: those for other things come first.
func (d *Door) Sweep(ctx context.Context) {
	ticker := time.NewTicker(sweepInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		d.mu.Lock()
		_ = d.makeRoom(0, 0, d.limits.Bytes, nil, "sockets") // if all connections are served, there is none to give up
		d.mu.Unlock()
	}
}

// remove ends the accounting of the connection. The caller holds d.mu.
func (d *Door) remove(c *conn) {
	if _, ok := d.connections[c]; !ok {
		return
	}
	delete(d.connections, c)
	d.setPhaseLocked(c, intake.Idle, 0)
}

// setPhase sets what the connection does and holds. It reports false if it was given up.
func (d *Door) setPhase(c *conn, phase intake.Phase, held int64) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	if _, ok := d.connections[c]; !ok {
		return false
	}
	d.setPhaseLocked(c, phase, held)
	c.moved = time.Now()
	return true
}

func (d *Door) setPhaseLocked(c *conn, phase intake.Phase, held int64) {
	if c.phase == intake.Serving {
		d.served -= c.held
		d.requests--
	}
	if phase == intake.Serving {
		d.served += held
		d.requests++
	}
	d.held += held - c.held
	c.phase, c.held = phase, held
}

// reserve makes room for more bytes of the connection's request in the given part of the budget.
func (d *Door) reserve(c *conn, bytes int64, share float64) error {
	d.mu.Lock()
	defer d.mu.Unlock()
	if _, ok := d.connections[c]; !ok {
		return ErrShed
	}
	if bytes > 0 && !d.makeRoom(bytes, 0, int64(share*float64(d.limits.Bytes)), c, "memory") {
		return ErrBusy
	}
	d.setPhaseLocked(c, c.phase, c.held+bytes)
	return nil
}

// beginServing moves the connection to serving, if there is room.
func (d *Door) beginServing(c *conn) error {
	d.mu.Lock()
	defer d.mu.Unlock()
	if _, ok := d.connections[c]; !ok {
		return ErrShed
	}
	if c.phase == intake.Serving {
		return nil
	}
	held := min(c.held, c.headHeld+servedBytes)
	if !intake.MayServe(d.served, held, d.limits.Bytes) || d.limits.Requests > 0 && d.requests >= d.limits.Requests {
		d.count("requests")
		return ErrBusy
	}
	d.setPhaseLocked(c, intake.Serving, held)
	return nil
}
