package settings

import (
	"cmp"
	"time"
)

const (
	// Where memoryMB is not set, clients and peers get the memory that they get on a machine of
	// usualMemoryMB.
	usualMemoryMB = 284
	// clientShare and peerShare are the parts of the memory for what clients' connections and
	// unfinished requests hold, and for what other nodes pass on. The collector's garbage and the
	// state of the jobs need the rest.
	clientShare, peerShare = 0.2, 0.1
	// fileDescriptors is the number of descriptors that the platform reserves for files, and
	// otherSockets the number of those for the listeners, the store and other nodes.
	fileDescriptors, otherSockets = 200, 64
	// leastSockets are left for clients and workers, however few descriptors there are.
	leastSockets = 16
	// The ready and metrics addresses have a few callers each, which are the platform's own.
	defaultReadyConnections, defaultMetricsConnections = 64, 16
	// smallDoorShare is the memory for what callers of the ready and of the metrics address hold, as a
	// part of that for clients beside it; defaultSmallHeaderBytes is the size of their requests' heads.
	smallDoorShare          = 0.1
	defaultSmallHeaderBytes = 1 << 10
	// defaultMetricsRequests is small because profiles and metrics are built in memory.
	defaultMetricsRequests = 3
	// defaultClientHeaderSeconds lets a head arrive whose packets are lost once or twice.
	defaultClientHeaderSeconds = 3
	// defaultSocketBufferBytes is the usual size of a window on links between data centres.
	defaultSocketBufferBytes = 64 << 10
	// defaultClientConnections applies where descriptors is not set.
	defaultClientConnections = 8192
	// defaultClientHeaderBytes is the size of a head that most servers and proxies accept.
	defaultClientHeaderBytes = 8 << 10
	// defaultClientBytesPerSecond is the least rate of a body: one of 256 KiB may take four minutes.
	defaultClientBytesPerSecond = 1 << 10
	// defaultClientStallSeconds is longer than the deadlines of most requests.
	defaultClientStallSeconds = 10
	// handshakeBytes is what an incomplete handshake with a peer takes.
	handshakeBytes = 32 << 10
	// maxPeerHandshakes is more than the nodes of the largest deployments, and a fifth of it, the share
	// of one address, more than those of one site.
	maxPeerHandshakes = 512
)

func (s Settings) memoryBytes() float64 {
	return float64(cmp.Or(s.MemoryMB, usualMemoryMB) << 20)
}

// ClientBytes returns the memory that connections and unfinished requests of clients may hold.
func (s Settings) ClientBytes() int64 {
	if s.ClientMemoryMB > 0 {
		return int64(s.ClientMemoryMB * (1 << 20))
	}
	return int64(clientShare * s.memoryBytes())
}

// Sockets returns the number of sockets that clients' connections and those to workers may use
// together, or zero if the number of descriptors is not known.
func (s Settings) Sockets() int {
	if s.Descriptors <= 0 {
		return 0
	}
	return max(leastSockets, s.Descriptors-fileDescriptors-otherSockets-s.MaxReadyConnections()-s.MaxMetricsConnections())
}

// MaxClientConnections returns the number of connections that clients may have open.
func (s Settings) MaxClientConnections() int {
	return cmp.Or(s.ClientConnections, s.Sockets(), defaultClientConnections)
}

// MaxHeaderBytes returns the size that the head of a request may have.
func (s Settings) MaxHeaderBytes() int {
	return cmp.Or(s.ClientHeaderBytes, defaultClientHeaderBytes)
}

// MinBytesPerSecond returns the least rate at which the body of a request has to arrive.
func (s Settings) MinBytesPerSecond() int64 {
	return cmp.Or(s.ClientBytesPerSecond, defaultClientBytesPerSecond)
}

// MaxClientStall returns how long a client may make no progress.
func (s Settings) MaxClientStall() time.Duration {
	return time.Duration(cmp.Or(s.ClientStallSeconds, defaultClientStallSeconds) * float64(time.Second))
}

// MaxReadyConnections returns the number of connections that may be open for readiness checks.
func (s Settings) MaxReadyConnections() int {
	return cmp.Or(s.ReadyConnections, min(defaultReadyConnections, s.smallShare()))
}

// MaxMetricsConnections returns the number of connections that may be open to the metrics port.
func (s Settings) MaxMetricsConnections() int {
	return cmp.Or(s.MetricsConnections, min(defaultMetricsConnections, s.smallShare()))
}

// ReadyBytes returns the memory that connections and unfinished requests of readiness checks may hold.
func (s Settings) ReadyBytes() int64 {
	return s.smallDoorBytes(s.ReadyMemoryMB)
}

// MetricsBytes returns the memory that connections and unfinished requests to the metrics port may hold.
func (s Settings) MetricsBytes() int64 {
	return s.smallDoorBytes(s.MetricsMemoryMB)
}

func (s Settings) smallDoorBytes(memoryMB float64) int64 {
	if memoryMB > 0 {
		return int64(memoryMB * (1 << 20))
	}
	return int64(smallDoorShare * float64(s.ClientBytes()))
}

// MaxReadyHeaderBytes returns the size that the head of a readiness check may have.
func (s Settings) MaxReadyHeaderBytes() int {
	return cmp.Or(s.ReadyHeaderBytes, defaultSmallHeaderBytes)
}

// MaxMetricsHeaderBytes returns the size that the head of a request to the metrics port may have.
func (s Settings) MaxMetricsHeaderBytes() int {
	return cmp.Or(s.MetricsHeaderBytes, defaultSmallHeaderBytes)
}

// MaxMetricsRequests returns the number of requests to the metrics port that are served at once.
func (s Settings) MaxMetricsRequests() int {
	return cmp.Or(s.MetricsRequests, defaultMetricsRequests)
}

// MaxHeaderTime returns how long the head of a request may take to arrive.
func (s Settings) MaxHeaderTime() time.Duration {
	return time.Duration(cmp.Or(s.ClientHeaderSeconds, defaultClientHeaderSeconds) * float64(time.Second))
}

// MaxSocketBuffer returns the size in bytes of each of a connection's two buffers in the kernel.
func (s Settings) MaxSocketBuffer() int {
	return cmp.Or(s.SocketBufferBytes, defaultSocketBufferBytes)
}

// smallShare returns a number of connections that leaves most sockets to others.
func (s Settings) smallShare() int {
	const most, part = 64, 8
	if s.Descriptors <= 0 {
		return most
	}
	return max(4, (s.Descriptors-fileDescriptors)/part)
}

// PeerBytes returns the memory that the requests which other nodes pass on may hold.
func (s Settings) PeerBytes() int64 {
	if s.PeerMemoryMB > 0 {
		return int64(s.PeerMemoryMB * (1 << 20))
	}
	return int64(peerShare * s.memoryBytes())
}

// MaxPeerHandshakes returns the number of handshakes with peers that may be incomplete at once.
func (s Settings) MaxPeerHandshakes() int {
	return cmp.Or(s.PeerHandshakes, min(maxPeerHandshakes, max(8, int(peerShare*s.memoryBytes()/handshakeBytes))))
}
