package settings

import (
	"testing"

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
		"missing":              {},
		"empty, as a template": {text: "memoryMB: \nlinkMbps: null\ndescriptors:\n"},
		"usual":                {text: "memoryMB: 284\nlinkMbps: 1000.0\ndescriptors: 4200\n"},
		"small link":           {text: "linkMbps: 2\n"},
		"zero memory":          {text: "memoryMB: 0\n", want: "line 7: memoryMB: 0 is not between"},
		"zero link":            {text: "descriptors: 4200\nlinkMbps: 0\n", want: "line 8: linkMbps: 0 is not between"},
		"negative link":        {text: "linkMbps: -2\n", want: "line 7: linkMbps"},
		"absurd link":          {text: "linkMbps: 1e12\n", want: "line 7: linkMbps"},
		"no number":            {text: "linkMbps: .nan\n", want: "line 7: linkMbps"},
		"too few descriptors":  {text: "descriptors: 3\n", want: "line 7: descriptors"},
		"text":                 {text: "descriptors: many\n", want: "descriptors"},
		"absurd memory":        {text: "memoryMB: 99999999999\n", want: "line 7: memoryMB"},
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
