package traffic

import (
	"net"
	"testing"

	"gotest.tools/v3/assert"
)

// TestConnCountsForItsPurpose checks that a connection counts its bytes for the purpose of
// the call that it serves, and that a reading gives only the bytes since the one before.
func TestConnCountsForItsPurpose(t *testing.T) {
	near, far := net.Pipe()
	t.Cleanup(func() {
		_ = near.Close()
		_ = far.Close()
	})
	go func() {
		buffer := make([]byte, 100)
		for {
			n, err := far.Read(buffer)
			if err != nil {
				return
			}
			_, _ = far.Write(buffer[:n])
		}
	}()
	conn := NewConn(near, Shaper{}, "testFirst")
	exchange := func(text string) {
		_, err := conn.Write([]byte(text))
		assert.NilError(t, err)
		_, err = conn.Read(make([]byte, 100))
		assert.NilError(t, err)
	}
	exchange("ab")
	before := Read()
	conn.SetPurpose("testSecond")
	exchange("abc")
	conn.SetPurpose("testFirst")
	exchange("abcd")
	Add("testThird", 5, 6)
	after := Read()
	for name, c := range map[string]struct {
		purpose Purpose
		want    Bytes
	}{
		"purpose of the connection": {purpose: "testFirst", want: Bytes{Sent: 4, Received: 4}},
		"purpose of one call":       {purpose: "testSecond", want: Bytes{Sent: 3, Received: 3}},
		"counted directly":          {purpose: "testThird", want: Bytes{Sent: 5, Received: 6}},
		"never used":                {purpose: "testFourth"},
	} {
		t.Run(name, func(t *testing.T) {
			assert.Equal(t, after[c.purpose].Sent-before[c.purpose].Sent, c.want.Sent)
			assert.Equal(t, after[c.purpose].Received-before[c.purpose].Received, c.want.Received)
		})
	}
}
