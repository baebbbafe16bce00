package settings

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

const validText = `node: a
ip: 10.0.0.1
peerPorts: [7420]
callerAddress: 10.0.0.1:80
readyAddress: 10.0.0.1:81
storeAddress: 10.0.0.2:82
`

// TestLimitsAreChecked checks that limits without a value set no limit, and that others out of
// range are errors that name their line.
func TestLimitsAreChecked(t *testing.T) {
	for name, c := range map[string]struct {
		text string
		want string // part of the error; empty if there is none
	}{
		"missing":                  {},
		"empty, as a template":     {text: "memoryMB: \nlinkMbps: null\ndescriptors:\nevacuationInForceMillis:\n"},
		"no evacuations":           {text: "evacuationInForceMillis: null\n"},
		"usual":                    {text: "memoryMB: 284\nlinkMbps: 1000.0\ndescriptors: 4200\n"},
		"small link":               {text: "linkMbps: 2\n"},
		"zero memory":              {text: "memoryMB: 0\n", want: "line 7: memoryMB: 0 is not between"},
		"zero link":                {text: "descriptors: 4200\nlinkMbps: 0\n", want: "line 8: linkMbps: 0 is not between"},
		"negative link":            {text: "linkMbps: -2\n", want: "line 7: linkMbps"},
		"absurd link":              {text: "linkMbps: 1e12\n", want: "line 7: linkMbps"},
		"no number":                {text: "linkMbps: .nan\n", want: "line 7: linkMbps"},
		"too few descriptors":      {text: "descriptors: 3\n", want: "line 7: descriptors"},
		"text":                     {text: "descriptors: many\n", want: "descriptors"},
		"least of clients' memory": {text: "clientMemoryMB: 2\nclientHeaderBytes: 1024\n"},
		"too little for clients":   {text: "clientMemoryMB: 1.5\n", want: "line 7: clientMemoryMB: 1.5 is not between"},
		"no connection":            {text: "memoryMB: 284\nclientConnections: 0\n", want: "line 8: clientConnections: 0 is not between"},
		"negative rate":            {text: "clientBytesPerSecond: -1\n", want: "line 7: clientBytesPerSecond"},
		"too short heads":          {text: "clientHeaderBytes: 100\n", want: "line 7: clientHeaderBytes"},
		"limits of small doors":    {text: "readyMemoryMB: 1\nmetricsMemoryMB: 1\nreadyHeaderBytes: 256\nmetricsHeaderBytes: 2048\nmetricsRequests: 8\n"},
		"limits of sockets":        {text: "socketBufferBytes: 4096\nclientHeaderSeconds: 0.5\n"},
		"no memory for readiness":  {text: "readyMemoryMB: 0\n", want: "line 7: readyMemoryMB: 0 is not between"},
		"no memory for metrics":    {text: "metricsMemoryMB: 0.1\n", want: "line 7: metricsMemoryMB: 0.1 is not between"},
		"short heads of checks":    {text: "memoryMB: 284\nreadyHeaderBytes: 10\n", want: "line 8: readyHeaderBytes: 10 is not between"},
		"short heads of operators": {text: "metricsHeaderBytes: -1\n", want: "line 7: metricsHeaderBytes"},
		"no request of operators":  {text: "metricsRequests: 0\n", want: "line 7: metricsRequests: 0 is not between"},
		"small buffers":            {text: "socketBufferBytes: 100\n", want: "line 7: socketBufferBytes: 100 is not between"},
		"no time for heads":        {text: "clientHeaderSeconds: 0\n", want: "line 7: clientHeaderSeconds: 0 is not between"},
		"few handshakes":           {text: "peerHandshakes: 1\n", want: "line 7: peerHandshakes"},
		"absurd memory":            {text: "memoryMB: 99999999999\n", want: "line 7: memoryMB"},
	} {
		t.Run(name, func(t *testing.T) {
			_, err := Parse([]byte(validText + c.text))
			if c.want == "" {
				assert.NilError(t, err)
				return
			}
			assert.ErrorContains(t, err, c.want)
		})
	}
}

// TestDefaultsAreWithinTheMachine checks that what the defaults admit fits into the machine, and that
// clients inside the pages' limits do not meet them: hundreds of bodies of 256 KiB would.
func TestDefaultsAreWithinTheMachine(t *testing.T) {
	const bodyBytes, connectionBytes = 256 << 10, 16 << 10
	for _, s := range []Settings{
		{MemoryMB: 160, Descriptors: 4100},
		{MemoryMB: 284, Descriptors: 4200},
		{MemoryMB: 536, Descriptors: 8192},
		{},
	} {
		assert.Assert(t, s.ClientBytes() >= 100*bodyBytes)
		assert.Assert(t, s.ClientBytes() >= 2000*connectionBytes)
		assert.Assert(t, s.MaxClientConnections() >= 3000)
		assert.Assert(t, s.MaxPeerHandshakes() >= 256)
		if s.MemoryMB > 0 {
			assert.Assert(t, s.ClientBytes()+s.ReadyBytes()+s.MetricsBytes()+s.PeerBytes() <= s.MemoryMB<<20*35/100)
			sockets := s.Sockets() + s.MaxReadyConnections() + s.MaxMetricsConnections()
			assert.Assert(t, s.MaxClientConnections() <= s.Sockets() && sockets < s.Descriptors-fileDescriptors)
		}
	}
}

// TestLimitsOfSmallDoors checks the defaults for the ready and metrics addresses and for sockets, which were
// constants, and that settings replace them.
func TestLimitsOfSmallDoors(t *testing.T) {
	type values struct {
		ReadyBytes, MetricsBytes                              int64
		ReadyHeaderBytes, MetricsHeaderBytes, MetricsRequests int
		SocketBufferBytes                                     int
		ClientHeaderTime                                      time.Duration
	}
	defaults := values{
		ReadyBytes:         4 << 20,
		MetricsBytes:       4 << 20,
		ReadyHeaderBytes:   1 << 10,
		MetricsHeaderBytes: 1 << 10,
		MetricsRequests:    3,
		SocketBufferBytes:  64 << 10,
		ClientHeaderTime:   3 * time.Second,
	}
	for name, c := range map[string]struct {
		text string
		want func(*values)
	}{
		"defaults":         {want: func(*values) {}},
		"memory, checks":   {text: "readyMemoryMB: 0.5\n", want: func(v *values) { v.ReadyBytes = 1 << 19 }},
		"memory, metrics":  {text: "metricsMemoryMB: 8\n", want: func(v *values) { v.MetricsBytes = 8 << 20 }},
		"heads of checks":  {text: "readyHeaderBytes: 256\n", want: func(v *values) { v.ReadyHeaderBytes = 256 }},
		"heads, metrics":   {text: "metricsHeaderBytes: 4096\n", want: func(v *values) { v.MetricsHeaderBytes = 4096 }},
		"metrics requests": {text: "metricsRequests: 5\n", want: func(v *values) { v.MetricsRequests = 5 }},
		"buffers":          {text: "socketBufferBytes: 8192\n", want: func(v *values) { v.SocketBufferBytes = 8192 }},
		"time of heads":    {text: "clientHeaderSeconds: 0.5\n", want: func(v *values) { v.ClientHeaderTime = time.Second / 2 }},
	} {
		t.Run(name, func(t *testing.T) {
			s, err := Parse([]byte(validText + "clientMemoryMB: 40\n" + c.text))
			assert.NilError(t, err)
			want := defaults
			c.want(&want)
			assert.DeepEqual(t, values{
				ReadyBytes:         s.ReadyBytes(),
				MetricsBytes:       s.MetricsBytes(),
				ReadyHeaderBytes:   s.MaxReadyHeaderBytes(),
				MetricsHeaderBytes: s.MaxMetricsHeaderBytes(),
				MetricsRequests:    s.MaxMetricsRequests(),
				SocketBufferBytes:  s.MaxSocketBuffer(),
				ClientHeaderTime:   s.MaxHeaderTime(),
			}, want)
		})
	}
}

// TestInterferenceIsOff checks that interference is off by default, and that a misspelt key of its
// block is an error.
func TestInterferenceIsOff(t *testing.T) {
	for name, c := range map[string]struct {
		text    string
		want    bool
		invalid bool
	}{
		"missing":  {},
		"empty":    {text: "interference: {}\n"},
		"enabled":  {text: "interference:\n  enabled: true\n", want: true},
		"misspelt": {text: "interference:\n  enable: true\n", invalid: true},
	} {
		t.Run(name, func(t *testing.T) {
			s, err := Parse([]byte(validText + c.text))
			assert.Equal(t, err != nil, c.invalid)
			assert.Equal(t, s.Interference.Enabled, c.want)
		})
	}
}
