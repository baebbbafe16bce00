package peer

import (
	"errors"
	"fmt"
	"io"
	"time"

	"github.com/fxamacker/cbor/v2"
)

const (
	// maxMessage is the largest message that is read, in bytes.
	maxMessage = 8 << 20
	// keepAlive is the interval of probes on an idle connection.
	keepAlive = 500 * time.Millisecond
	// maxSilence is how long a connection may be silent before it is closed.
	maxSilence = 2 * time.Second
	// handshakeTimeout bounds the opening of a connection.
	handshakeTimeout = time.Second
)

// callFrame opens a call; RemainingMillis is the caller's time left.
type callFrame struct {
	Method          string          `json:"method"`
	RemainingMillis int64           `json:"remainingMillis"`
	Body            cbor.RawMessage `json:"body"`
}

// replyFrame ends a call with a body or an error.
type replyFrame struct {
	Error string          `json:"error,omitempty"`
	Body  cbor.RawMessage `json:"body,omitempty"`
}

// ErrNotSent reports that a call never reached the peer.
var ErrNotSent = errors.New("peer: not sent")

// ErrRemote reports an error that the peer answered.
var ErrRemote = errors.New("peer: remote error")

// readMessage reads one whole message; a stream that was reset or cut short
// gives an error and never a partial message.
func readMessage(r io.Reader, message any) error {
	encoded, err := io.ReadAll(io.LimitReader(r, maxMessage+1))
	if err != nil {
		return err
	}
	if len(encoded) > maxMessage {
		return fmt.Errorf("message is over %d bytes", maxMessage)
	}
	return cbor.Unmarshal(encoded, message)
}

func writeMessage(w io.WriteCloser, message any) error {
	encoded, err := cbor.Marshal(message)
	if err != nil {
		return err
	}
	if _, err := w.Write(encoded); err != nil {
		return err
	}
	return w.Close()
}
