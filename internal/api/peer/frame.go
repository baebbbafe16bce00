package peer

import (
	"context"
	"errors"
	"fmt"
	"io"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/quic-go/quic-go"

	"github.com/citronbay/citronbay/internal/api/traffic"
)

const (
	// maxMessageBytes is the maximum size of an encoded message that is read.
	maxMessageBytes = 8 << 20
	// maxStreamWindow and maxConnectionWindow limit what may arrive of a call, and of all calls of a
	// peer, before it is read.
	maxStreamWindow     = 512 << 10
	maxConnectionWindow = 1 << 20
	// keepAliveInterval is the interval of keep-alive packets on an idle connection.
	keepAliveInterval = 500 * time.Millisecond
	// idleTimeout is how long nothing may arrive on a connection before it is
	// closed.
	idleTimeout = 6 * time.Second
	// handshakeTimeout limits how long opening a connection may take.
	handshakeTimeout = time.Second
	// After a dial that failed, the next one begins only after a random pause of minDialPause on
	// average, which doubles with each further failure up to maxDialPause. The first packets of a
	// handshake are large and repeated, so that the attempts of all nodes to reach one on a full
	// link could fill that link.
	minDialPause          = time.Second
	maxDialPause          = 2 * time.Second
	maxDialPauseDoublings = 1
)

// errDialPaused reports that no connection is open and none may be opened yet.
var errDialPaused = errors.New("peer: connecting has failed; the next attempt comes later")

// callFrame is the request of a call. RemainingMillis is the time until the caller's
// deadline in milliseconds, or zero if it has none.
type callFrame struct {
	Method          string          `json:"method"`
	RemainingMillis int64           `json:"remainingMillis"`
	Body            cbor.RawMessage `json:"body"`
}

// replyFrame is the response of a call: a body, or the text of an error. IsRefused is set if the call
// was not run for want of memory; peers that do not know it see an error.
type replyFrame struct {
	Error     string          `json:"error,omitempty"`
	IsRefused bool            `json:"isRefused,omitempty"`
	Body      cbor.RawMessage `json:"body,omitempty"`
}

// ErrNotSent reports that a call was not sent, so the peer cannot have seen it.
var ErrNotSent = errors.New("peer: not sent")

// ErrRemote reports an error that the peer returned, of which only the text is known.
var ErrRemote = errors.New("peer: remote error")

// readMessage reads and decodes one message up to the end of the stream. A stream
// that was reset or truncated returns an error, never part of a message.
// It returns the size of the encoded message.
func readMessage(r io.Reader, message any) (int, error) {
	encoded, err := io.ReadAll(io.LimitReader(r, maxMessageBytes+1))
	if err != nil {
		return len(encoded), err
	}
	if len(encoded) > maxMessageBytes {
		return len(encoded), fmt.Errorf("message exceeds %d bytes", maxMessageBytes)
	}
	return len(encoded), cbor.Unmarshal(encoded, message)
}

// writeMessage writes the message and ends the stream. It returns the size of the encoded
// message.
func writeMessage(w io.WriteCloser, message any) (int, error) {
	encoded, err := cbor.Marshal(message)
	if err != nil {
		return 0, err
	}
	if n, err := w.Write(encoded); err != nil {
		return n, err
	}
	return len(encoded), w.Close()
}

// countConnection counts the bytes of a connection that was just opened: those so far as the
// handshake, and the others when it ends.
func countConnection(conn *quic.Conn) {
	opened := conn.ConnectionStats()
	traffic.Add(traffic.Handshake, int(opened.BytesSent), int(opened.BytesReceived))
	context.AfterFunc(conn.Context(), func() {
		ended := conn.ConnectionStats()
		traffic.Add(traffic.PeerPackets, int(ended.BytesSent-opened.BytesSent), int(ended.BytesReceived-opened.BytesReceived))
	})
}
