package settings

import (
	"errors"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

const good = `name: entry-1
domain: izmir-a
region: ege
callerAddress: 127.0.0.1:7001
peerAddress: 127.0.0.1:7101
platformAddress: 127.0.0.1:7000
peerSecret: at least sixteen bytes
operators:
  - name: ayse
    keyHash: 9f86d081884c7d659a2feaa0c55ad015a3bf4f1b2b0b822cd15d6c15b0f00a08
timings:
  lease: 3s
`

func TestSettingsAreRefusedWithLineAndField(t *testing.T) {
	_, err := Parse("good.yaml", []byte(good))
	assert.NilError(t, err)
	for name, test := range map[string]struct {
		old, new string
		line     int
		field    string
	}{
		"unknown field":    {"region: ege", "zone: ege", 3, "zone"},
		"no IP address":    {"127.0.0.1:7001", "localhost:7001", 4, "callerAddress"},
		"no port":          {"127.0.0.1:7101", "127.0.0.1", 5, "peerAddress"},
		"short secret":     {"at least sixteen bytes", "short", 7, "peerSecret"},
		"wrong unit":       {"lease: 3s", "lease: 3 parsecs", 12, "timings.lease"},
		"no unit":          {"lease: 3s", "lease: 3", 12, "timings.lease"},
		"out of bounds":    {"lease: 3s", "lease: 1h", 12, "timings.lease"},
		"overlapping":      {"lease: 3s", "taskLease: 1s", 12, "timings.taskLease"},
		"hash of a key":    {"9f86d081", "9f86", 10, "operators[0].keyHash"},
		"name with a dot":  {"name: entry-1", "name: entry.1", 1, "name"},
		"wrong setting":    {"region: ege", "region: ege\nisolatedKeys: maybe", 4, "isolatedKeys"},
		"missing domain":   {"domain: izmir-a\n", "", 1, "domain"},
		"wrong timeout":    {"lease: 3s", "peerTimeout: 100ms", 12, "timings.peerTimeout"},
		"operator no name": {"- name: ayse", "- name: ''", 9, "operators[0].name"},
	} {
		t.Run(name, func(t *testing.T) {
			content := strings.Replace(good, test.old, test.new, 1)
			assert.Assert(t, content != good)
			_, err := Parse("bad.yaml", []byte(content))
			var located *Error
			assert.Assert(t, errors.As(err, &located), "%v", err)
			assert.Equal(t, located.Line, test.line, err.Error())
			assert.Equal(t, located.Field, test.field, err.Error())
		})
	}
}
