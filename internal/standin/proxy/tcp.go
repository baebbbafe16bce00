package proxy

import (
	"errors"
	"fmt"
	"net"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// readBufferBytes is the size of the read buffer. Every UDP packet fits in it.
const readBufferBytes = 64 << 10

// TCP forwards connections to a target. Create it with NewTCP.
type TCP struct {
	address        *net.TCPAddr
	portHolder     int // file descriptor of the socket that keeps the port while listener is nil
	done           chan struct{}
	bytesForwarded atomic.Int64

	mu                 sync.Mutex
	listener           net.Listener // nil while the proxy refuses connections
	target             string
	disconnected       bool
	silent             bool
	dropResponses      bool
	delay              time.Duration
	link               attachment
	responseLimitBytes int64
	connections        map[*connection]struct{}
}

// connection is a client's connection and the one dialed to the target for it.
type connection struct {
	client            net.Conn
	server            net.Conn
	silent            bool
	responseBytesLeft int64 // before the connection is closed; zero means no limit
}

// NewTCP starts a proxy for the target (IP:port) on a free loopback port and
// returns it with a function that stops it.
func NewTCP(target string) (*TCP, func(), error) {
	portHolder, port, err := holdPort()
	if err != nil {
		return nil, nil, fmt.Errorf("proxy: reserve a port for %s: %w", target, err)
	}
	p := &TCP{
		address: &net.TCPAddr{
			IP:   loopback[:],
			Port: port,
		},
		portHolder:  portHolder,
		done:        make(chan struct{}),
		target:      target,
		connections: map[*connection]struct{}{},
	}
	if err := p.SetRefusing(false); err != nil {
		_ = syscall.Close(portHolder)
		return nil, nil, err
	}
	return p, p.close, nil
}

var loopback = [4]byte{127, 0, 0, 1}

// holdPort binds a free port without listening and returns the socket and the port. The
// system refuses connections to the port unless another socket listens on it.
func holdPort() (socket, port int, err error) {
	socket, err = syscall.Socket(syscall.AF_INET, syscall.SOCK_STREAM|syscall.SOCK_CLOEXEC, 0)
	if err != nil {
		return 0, 0, err
	}
	address, err := func() (syscall.Sockaddr, error) {
		// With this option, which Go sets for listeners too, both sockets can have the port.
		if err := syscall.SetsockoptInt(socket, syscall.SOL_SOCKET, syscall.SO_REUSEADDR, 1); err != nil {
			return nil, err
		}
		if err := syscall.Bind(socket, &syscall.SockaddrInet4{Addr: loopback}); err != nil {
			return nil, err
		}
		return syscall.Getsockname(socket)
	}()
	if err != nil {
		return 0, 0, errors.Join(err, syscall.Close(socket))
	}
	return socket, address.(*syscall.SockaddrInet4).Port, nil
}

// SetRefusing closes all connections and, until it is unset, refuses new ones.
func (p *TCP) SetRefusing(refusing bool) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	if refusing == (p.listener == nil) {
		return nil
	}
	if refusing {
		err := p.listener.Close()
		p.listener = nil
		p.closeConnections()
		return err
	}
	listener, err := p.listenAgain()
	if err != nil {
		return fmt.Errorf("proxy: listen for %s: %w", p.target, err)
	}
	p.listener = listener
	go p.acceptConnections(listener)
	return nil
}

// listenAgain listens on the proxy's address, which the last listener may still occupy: a
// child process that this one has forked has it until it executes its program.
func (p *TCP) listenAgain() (*net.TCPListener, error) {
	const (
		timeout       = time.Second
		retryInterval = 5 * time.Millisecond
	)
	for deadline := time.Now().Add(timeout); ; time.Sleep(retryInterval) {
		listener, err := net.ListenTCP("tcp", p.address)
		if !errors.Is(err, syscall.EADDRINUSE) || time.Now().After(deadline) {
			return listener, err
		}
	}
}

// Address returns the IP address and port that the proxy listens on.
func (p *TCP) Address() string {
	return p.address.String()
}

// Bytes returns the number of bytes forwarded in both directions.
func (p *TCP) Bytes() int64 {
	return p.bytesForwarded.Load()
}

// SetTarget sets the target of new connections; open ones keep theirs.
func (p *TCP) SetTarget(target string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.target = target
}

// SetDisconnected closes all connections and, until it is unset, closes new ones on
// accept.
func (p *TCP) SetDisconnected(disconnected bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.disconnected = disconnected
	if disconnected {
		p.closeConnections()
	}
}

// SetSilent drops all data on open and new connections without closing them,
// until it is unset. A connection that was silent stays so afterwards, since it
// has lost part of its stream.
func (p *TCP) SetSilent(silent bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.silent = silent
	if silent {
		p.silenceConnections()
	}
}

// SetDropResponses drops all data from the target until it is unset. A connection
// forwards data to the target until the proxy has dropped data from the target; from then
// on it drops all data in both directions, also after SetDropResponses is unset.
func (p *TCP) SetDropResponses(drop bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.dropResponses = drop
}

// SilenceConnections drops all further data on the connections now open, without
// closing them; new connections work. It returns the number of connections now open,
// those silenced earlier included.
func (p *TCP) SilenceConnections() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.silenceConnections()
}

// SetDelay sets the delay of data in either direction. Each read of up to 64 KiB is
// delayed in turn, so that the order of the data is kept.
func (p *TCP) SetDelay(delay time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.delay = delay
}

// SetLink sends all data over the link. The VM of the link is the target of the proxy if
// vmIsTarget is set, and otherwise its client.
func (p *TCP) SetLink(link *Link, vmIsTarget bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.link = attachment{
		link:       link,
		vmIsTarget: vmIsTarget,
	}
}

// SetResponseLimitBytes closes each new connection after it has forwarded limitBytes
// bytes from the target; zero means no limit.
func (p *TCP) SetResponseLimitBytes(limitBytes int64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.responseLimitBytes = limitBytes
}

// CloseConnections closes the connections now open; new ones work.
func (p *TCP) CloseConnections() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closeConnections()
}

func (p *TCP) silenceConnections() int {
	for c := range p.connections {
		c.silent = true
	}
	return len(p.connections)
}

func (p *TCP) closeConnections() {
	for c := range p.connections {
		_ = c.client.Close()
		_ = c.server.Close()
	}
}

func (p *TCP) close() {
	_ = p.SetRefusing(true)
	_ = syscall.Close(p.portHolder)
	close(p.done)
}

func (p *TCP) acceptConnections(listener net.Listener) {
	for {
		client, err := listener.Accept()
		if err != nil {
			return
		}
		go p.handleConnection(client)
	}
}

func (p *TCP) handleConnection(client net.Conn) {
	p.mu.Lock()
	target, disconnected := p.target, p.disconnected
	p.mu.Unlock()
	if disconnected {
		_ = client.Close()
		return
	}
	server, err := net.Dial("tcp", target)
	if err != nil {
		_ = client.Close()
		return
	}
	c := &connection{
		client: client,
		server: server,
	}
	p.mu.Lock()
	c.silent = p.silent
	c.responseBytesLeft = p.responseLimitBytes
	p.connections[c] = struct{}{}
	if p.listener == nil { // refuses connections since the accept
		_ = client.Close()
		_ = server.Close()
	}
	p.mu.Unlock()
	var copies sync.WaitGroup
	copies.Go(func() { p.copy(c, server, client, false) })
	copies.Go(func() { p.copy(c, client, server, true) })
	copies.Wait()
	p.mu.Lock()
	delete(p.connections, c)
	p.mu.Unlock()
}

func (p *TCP) copy(c *connection, to, from net.Conn, fromServer bool) {
	defer func() { _ = to.Close() }()
	defer func() { _ = from.Close() }()
	buffer := make([]byte, readBufferBytes)
	for {
		n, err := from.Read(buffer)
		if err != nil {
			p.waitIfSilent(c)
			return
		}
		forwarded, forward, closeAfter := p.applyFaults(c, buffer[:n], fromServer)
		if forward {
			p.bytesForwarded.Add(int64(len(forwarded)))
			if _, err := to.Write(forwarded); err != nil {
				return
			}
		}
		if closeAfter {
			return
		}
	}
}

// applyFaults waits for the delay in force and returns the part of the data to
// forward, whether to forward it, and whether to close the connection afterwards.
func (p *TCP) applyFaults(c *connection, read []byte, fromServer bool) (forwarded []byte, forward, closeAfter bool) {
	p.mu.Lock()
	delay, link := p.delay, p.link
	p.mu.Unlock()
	transmission, _ := link.enqueue(len(read), fromServer, false)
	time.Sleep(delay + transmission)
	p.mu.Lock()
	defer p.mu.Unlock()
	if fromServer && p.dropResponses {
		c.silent = true
	}
	if c.silent {
		return nil, false, false
	}
	if !fromServer || c.responseBytesLeft == 0 {
		return read, true, false
	}
	if int64(len(read)) >= c.responseBytesLeft {
		return read[:c.responseBytesLeft], true, true
	}
	c.responseBytesLeft -= int64(len(read))
	return read, true, false
}

// waitIfSilent blocks until the proxy stops if the connection is silent, so that
// when one side closes the connection, the proxy does not close it to the other.
func (p *TCP) waitIfSilent(c *connection) {
	p.mu.Lock()
	silent := c.silent
	p.mu.Unlock()
	if silent {
		<-p.done
	}
}
