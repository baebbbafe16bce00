package proxy

import (
	"errors"
	"fmt"
	"net"
	"sync"
	"sync/atomic"
	"time"
)

// UDP passes packets on to one target, from a socket of its own for each
// sender. Create it with NewUDP.
type UDP struct {
	socket *net.UDPConn
	target *net.UDPAddr
	bytes  atomic.Int64

	mu       sync.Mutex
	silent   bool
	delay    time.Duration
	twice    bool
	sessions map[string]*session
}

// session is one sender's path.
type session struct {
	sender *net.UDPAddr
	out    *net.UDPConn
	silent bool
}

// NewUDP returns a proxy of the target (IP:port) on a free loopback port, and a
// clean-up function that ends it.
func NewUDP(target string) (*UDP, func(), error) {
	address, err := net.ResolveUDPAddr("udp", target)
	if err != nil {
		return nil, nil, fmt.Errorf("proxy: target %s: %w", target, err)
	}
	socket, err := net.ListenUDP("udp", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
	if err != nil {
		return nil, nil, fmt.Errorf("proxy: listen for %s: %w", target, err)
	}
	p := &UDP{
		socket:   socket,
		target:   address,
		sessions: map[string]*session{},
	}
	go p.receive()
	return p, p.close, nil
}

// Address returns the address that the proxy listens on.
func (p *UDP) Address() string {
	return p.socket.LocalAddr().String()
}

// Bytes returns how many bytes have been passed on, in both directions.
func (p *UDP) Bytes() int64 {
	return p.bytes.Load()
}

func (p *UDP) count(n int, err error) {
	if err == nil {
		p.bytes.Add(int64(n))
	}
}

// SetSilent drops all packets until it is unset.
func (p *UDP) SetSilent(silent bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.silent = silent
}

// SilenceOpen drops the packets of all senders seen so far, for good; others
// pass. It returns how many they were.
func (p *UDP) SilenceOpen() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, s := range p.sessions {
		s.silent = true
	}
	return len(p.sessions)
}

// SetDelay delays packets in either direction, which also changes their order.
func (p *UDP) SetDelay(delay time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.delay = delay
}

// SetTwice sends each packet twice.
func (p *UDP) SetTwice(twice bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.twice = twice
}

func (p *UDP) close() {
	_ = p.socket.Close()
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, s := range p.sessions {
		_ = s.out.Close()
	}
}

func (p *UDP) receive() {
	buffer := make([]byte, bufferBytes)
	for {
		n, sender, err := p.socket.ReadFromUDP(buffer)
		if err != nil {
			return
		}
		s, err := p.session(sender)
		if err != nil {
			continue
		}
		packet := append([]byte(nil), buffer[:n]...)
		p.pass(s, func() { p.count(s.out.Write(packet)) })
	}
}

func (p *UDP) session(sender *net.UDPAddr) (*session, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	key := sender.String()
	if s, ok := p.sessions[key]; ok {
		return s, nil
	}
	out, err := net.DialUDP("udp", nil, p.target)
	if err != nil {
		return nil, err
	}
	s := &session{
		sender: sender,
		out:    out,
	}
	p.sessions[key] = s
	go p.answers(s)
	return s, nil
}

func (p *UDP) answers(s *session) {
	buffer := make([]byte, bufferBytes)
	for {
		n, err := s.out.Read(buffer)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			// The target refuses for a while.
			continue
		}
		packet := append([]byte(nil), buffer[:n]...)
		p.pass(s, func() { p.count(p.socket.WriteToUDP(packet, s.sender)) })
	}
}

// pass sends a packet as the faults in force have it.
func (p *UDP) pass(s *session, send func()) {
	p.mu.Lock()
	drop := p.silent || s.silent
	delay, twice := p.delay, p.twice
	p.mu.Unlock()
	if drop {
		return
	}
	sends := 1
	if twice {
		sends = 2
	}
	for range sends {
		if delay == 0 {
			send()
			continue
		}
		time.AfterFunc(delay, send)
	}
}
