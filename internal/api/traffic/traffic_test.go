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
	conn := NewConn(near, "testFirst")
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
		want    int64
	}{
		"purpose of the connection": {purpose: "testFirst", want: 8},
		"purpose of one call":       {purpose: "testSecond", want: 6},
		"counted directly":          {purpose: "testThird", want: 11},
		"never used":                {purpose: "testFourth"},
	} {
		t.Run(name, func(t *testing.T) {
			assert.Equal(t, after[c.purpose]-before[c.purpose], c.want)
		})
	}
}
