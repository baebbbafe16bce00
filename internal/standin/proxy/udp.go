package proxy

import (
	"errors"
	"fmt"
	"net"
	"sync"
	"sync/atomic"
	"time"
)

// UDP forwards packets to a target, through a separate socket for each sender so
// that responses find their way back. Create it with NewUDP.
type UDP struct {
	socket         *net.UDPConn
	target         *net.UDPAddr
	bytesForwarded atomic.Int64

	mu        sync.Mutex
	silent    bool
	delay     time.Duration
	duplicate bool
	link      attachment
	sessions  map[string]*session
}

// session is a sender and the socket connected to the target for it.
type session struct {
	sender   *net.UDPAddr
	toTarget *net.UDPConn
	silent   bool
}

// NewUDP starts a proxy for the target (IP:port) on a free loopback port and
// returns it with a function that stops it.
func NewUDP(target string) (*UDP, func(), error) {
	address, err := net.ResolveUDPAddr("udp", target)
	if err != nil {
		return nil, nil, fmt.Errorf("proxy: resolve target %s: %w", target, err)
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
	go p.forwardRequests()
	return p, p.close, nil
}

// Address returns the IP address and port that the proxy listens on.
func (p *UDP) Address() string {
	return p.socket.LocalAddr().String()
}

// Bytes returns the number of bytes forwarded in both directions.
func (p *UDP) Bytes() int64 {
	return p.bytesForwarded.Load()
}

func (p *UDP) countBytes(n int, err error) {
	if err == nil {
		p.bytesForwarded.Add(int64(n))
	}
}

// SetSilent drops all packets in both directions until it is unset.
func (p *UDP) SetSilent(silent bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.silent = silent
}

// SilenceSenders drops all further packets to and from the senders seen so far; new
// senders' packets are forwarded. It returns the number of senders seen so far, those
// silenced earlier included.
func (p *UDP) SilenceSenders() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, s := range p.sessions {
		s.silent = true
	}
	return len(p.sessions)
}

// SetDelay sets the delay of packets in either direction. Each packet waits on a
// timer of its own, so their order may change.
func (p *UDP) SetDelay(delay time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.delay = delay
}

// SetLink sends all packets over the link. The VM of the link is the target of the proxy if
// vmIsTarget is set, and otherwise its client.
func (p *UDP) SetLink(link *Link, vmIsTarget bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.link = attachment{
		link:       link,
		vmIsTarget: vmIsTarget,
	}
}

// SetDuplicate sends each packet twice until it is unset.
func (p *UDP) SetDuplicate(duplicate bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.duplicate = duplicate
}

func (p *UDP) close() {
	_ = p.socket.Close()
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, s := range p.sessions {
		_ = s.toTarget.Close()
	}
}

func (p *UDP) forwardRequests() {
	buffer := make([]byte, readBufferBytes)
	for {
		n, sender, err := p.socket.ReadFromUDP(buffer)
		if err != nil {
			return
		}
		s, err := p.sessionFor(sender)
		if err != nil {
			continue
		}
		packet := append([]byte(nil), buffer[:n]...)
		p.sendWithFaults(s, n, false, func() { p.countBytes(s.toTarget.Write(packet)) })
	}
}

func (p *UDP) sessionFor(sender *net.UDPAddr) (*session, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	key := sender.String()
	if s, ok := p.sessions[key]; ok {
		return s, nil
	}
	toTarget, err := net.DialUDP("udp", nil, p.target)
	if err != nil {
		return nil, err
	}
	s := &session{
		sender:   sender,
		toTarget: toTarget,
	}
	p.sessions[key] = s
	go p.forwardResponses(s)
	return s, nil
}

func (p *UDP) forwardResponses(s *session) {
	buffer := make([]byte, readBufferBytes)
	for {
		n, err := s.toTarget.Read(buffer)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			// A read fails while nothing listens on the target's port (ICMP port
			// unreachable); the target may be restarting.
			continue
		}
		packet := append([]byte(nil), buffer[:n]...)
		p.sendWithFaults(s, n, true, func() { p.countBytes(p.socket.WriteToUDP(packet, s.sender)) })
	}
}

// sendWithFaults drops, delays or duplicates a packet according to the faults in force and to the
// link.
func (p *UDP) sendWithFaults(s *session, bytes int, fromTarget bool, send func()) {
	p.mu.Lock()
	drop := p.silent || s.silent
	delay, duplicate, link := p.delay, p.duplicate, p.link
	p.mu.Unlock()
	if drop {
		return
	}
	sends := 1
	if duplicate {
		sends = 2
	}
	for range sends {
		transmission, ok := link.enqueue(bytes, fromTarget, true)
		switch {
		case !ok:
		case delay+transmission == 0:
			send()
		default:
			time.AfterFunc(delay+transmission, send)
		}
	}
}
