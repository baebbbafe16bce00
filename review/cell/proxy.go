package cell

import (
	"net"
	"sync"
)

// Proxy passes TCP connections on to a server. It can cut the path silently: then it passes
// nothing on in either direction, and neither closes nor resets a connection.
type Proxy struct {
	// Address is where the proxy listens.
	Address  string
	target   string
	listener net.Listener

	mu    sync.Mutex
	open  *sync.Cond
	cut   bool
	conns map[net.Conn]bool
}

// NewProxy starts a proxy to the target on a free loopback port.
func NewProxy(target string) (*Proxy, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	p := &Proxy{
		Address:  listener.Addr().String(),
		target:   target,
		listener: listener,
		conns:    map[net.Conn]bool{},
	}
	p.open = sync.NewCond(&p.mu)
	go p.accept()
	return p, nil
}

// Close stops the proxy and closes its connections.
func (p *Proxy) Close() {
	_ = p.listener.Close()
	p.Heal()
	p.Reset()
}

// Cut makes the path silent.
func (p *Proxy) Cut() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.cut = true
}

// Heal ends the cut. Bytes that were held up are passed on.
func (p *Proxy) Heal() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.cut = false
	p.open.Broadcast()
}

// Reset closes all connections, as a server does that starts anew.
func (p *Proxy) Reset() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for c := range p.conns {
		_ = c.Close()
		delete(p.conns, c)
	}
}

func (p *Proxy) accept() {
	for {
		client, err := p.listener.Accept()
		if err != nil {
			return
		}
		go p.serve(client)
	}
}

func (p *Proxy) serve(client net.Conn) {
	p.mu.Lock()
	p.conns[client] = true
	for p.cut {
		p.open.Wait()
	}
	stillOpen := p.conns[client]
	p.mu.Unlock()
	if !stillOpen {
		return
	}
	server, err := net.Dial("tcp", p.target)
	if err != nil {
		p.drop(client)
		return
	}
	p.mu.Lock()
	p.conns[server] = true
	p.mu.Unlock()
	go p.pass(client, server)
	p.pass(server, client)
}

func (p *Proxy) drop(conns ...net.Conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, c := range conns {
		_ = c.Close()
		delete(p.conns, c)
	}
}

func (p *Proxy) pass(from, to net.Conn) {
	defer p.drop(from, to)
	buffer := make([]byte, 64<<10)
	for {
		n, err := from.Read(buffer)
		p.mu.Lock()
		for p.cut {
			p.open.Wait()
		}
		p.mu.Unlock()
		if n > 0 {
			if _, writeErr := to.Write(buffer[:n]); writeErr != nil {
				return
			}
		}
		if err != nil {
			return
		}
	}
}
