package proxy

import (
	"fmt"
	"net"
	"sync"
	"sync/atomic"
	"time"
)

// bufferBytes is the size of one read.
const bufferBytes = 64 << 10

// TCP passes connections on to one target. Create it with NewTCP.
type TCP struct {
	listener net.Listener
	done     chan struct{}
	bytes    atomic.Int64

	mu       sync.Mutex
	target   string
	cut      bool
	silent   bool
	oneWay   bool
	delay    time.Duration
	cutAfter int64
	pairs    map[*pair]struct{}
}

// pair is one connection with the one opened for it.
type pair struct {
	client net.Conn
	server net.Conn
	silent bool
	cutIn  int64
}

// NewTCP returns a proxy of the target (IP:port) on a free loopback port, and a
// clean-up function that ends it.
func NewTCP(target string) (*TCP, func(), error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, nil, fmt.Errorf("proxy: listen for %s: %w", target, err)
	}
	p := &TCP{
		listener: listener,
		done:     make(chan struct{}),
		target:   target,
		pairs:    map[*pair]struct{}{},
	}
	go p.accept()
	return p, p.close, nil
}

// Address returns the address that the proxy listens on.
func (p *TCP) Address() string {
	return p.listener.Addr().String()
}

// Bytes returns how many bytes have been passed on, in both directions.
func (p *TCP) Bytes() int64 {
	return p.bytes.Load()
}

// SetTarget changes the target of new connections.
func (p *TCP) SetTarget(target string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.target = target
}

// SetCut ends all connections and refuses new ones, until it is unset.
func (p *TCP) SetCut(cut bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.cut = cut
	if cut {
		p.closeAll()
	}
}

// SetSilent drops all that is sent, on old and new connections, until it is
// unset; connections that were silent stay so.
func (p *TCP) SetSilent(silent bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.silent = silent
	if silent {
		p.silence()
	}
}

// SetOneWay drops all answers while requests still arrive, until it is unset;
// connections that lost an answer stay silent.
func (p *TCP) SetOneWay(oneWay bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.oneWay = oneWay
}

// SilenceOpen lets the open connections go silent for good; new ones work. It
// returns how many they were.
func (p *TCP) SilenceOpen() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.silence()
}

// SetDelay delays what is sent in either direction.
func (p *TCP) SetDelay(delay time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.delay = delay
}

// CutAnswersAfter ends new connections after so many bytes of answers; zero
// lets them be.
func (p *TCP) CutAnswersAfter(bytes int64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.cutAfter = bytes
}

// EndOpen ends the open connections with a reset or close; new ones work.
func (p *TCP) EndOpen() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closeAll()
}

func (p *TCP) silence() int {
	for c := range p.pairs {
		c.silent = true
	}
	return len(p.pairs)
}

func (p *TCP) closeAll() {
	for c := range p.pairs {
		_ = c.client.Close()
		_ = c.server.Close()
	}
}

func (p *TCP) close() {
	_ = p.listener.Close()
	close(p.done)
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closeAll()
}

func (p *TCP) accept() {
	for {
		client, err := p.listener.Accept()
		if err != nil {
			return
		}
		go p.connect(client)
	}
}

func (p *TCP) connect(client net.Conn) {
	p.mu.Lock()
	target, cut := p.target, p.cut
	p.mu.Unlock()
	if cut {
		_ = client.Close()
		return
	}
	server, err := net.Dial("tcp", target)
	if err != nil {
		_ = client.Close()
		return
	}
	c := &pair{
		client: client,
		server: server,
	}
	p.mu.Lock()
	c.silent = p.silent
	c.cutIn = p.cutAfter
	p.pairs[c] = struct{}{}
	p.mu.Unlock()
	var copies sync.WaitGroup
	copies.Go(func() { p.copy(c, server, client, false) })
	copies.Go(func() { p.copy(c, client, server, true) })
	copies.Wait()
	p.mu.Lock()
	delete(p.pairs, c)
	p.mu.Unlock()
}

func (p *TCP) copy(c *pair, to, from net.Conn, answers bool) {
	defer func() { _ = to.Close() }()
	defer func() { _ = from.Close() }()
	buffer := make([]byte, bufferBytes)
	for {
		n, err := from.Read(buffer)
		if err != nil {
			p.holdSilent(c)
			return
		}
		out, pass, end := p.judge(c, buffer[:n], answers)
		if pass {
			p.bytes.Add(int64(len(out)))
			if _, err := to.Write(out); err != nil {
				return
			}
		}
		if end {
			return
		}
	}
}

// judge decides what of the bytes is passed on, and whether the connection
// ends after them.
func (p *TCP) judge(c *pair, read []byte, answers bool) (out []byte, pass, end bool) {
	p.mu.Lock()
	delay := p.delay
	p.mu.Unlock()
	time.Sleep(delay)
	p.mu.Lock()
	defer p.mu.Unlock()
	if answers && p.oneWay {
		c.silent = true
	}
	if c.silent {
		return nil, false, false
	}
	if !answers || c.cutIn == 0 {
		return read, true, false
	}
	if int64(len(read)) >= c.cutIn {
		return read[:c.cutIn], true, true
	}
	c.cutIn -= int64(len(read))
	return read, true, false
}

// holdSilent keeps a silent connection's other side from seeing the end.
func (p *TCP) holdSilent(c *pair) {
	p.mu.Lock()
	silent := c.silent
	p.mu.Unlock()
	if silent {
		<-p.done
	}
}
