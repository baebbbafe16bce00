package settings

import (
	"errors"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

const validSettings = `name: entry-1
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

func TestParseReportsLineAndField(t *testing.T) {
	_, err := Parse("good.yaml", []byte(validSettings))
	assert.NilError(t, err)
	for name, test := range map[string]struct {
		old, new string
		line     int
		field    string
	}{
		"unknown field":           {"region: ege", "zone: ege", 3, "zone"},
		"host name":               {"127.0.0.1:7001", "localhost:7001", 4, "callerAddress"},
		"missing port":            {"127.0.0.1:7101", "127.0.0.1", 5, "peerAddress"},
		"short secret":            {"at least sixteen bytes", "short", 7, "peerSecret"},
		"unknown unit":            {"lease: 3s", "lease: 3 parsecs", 12, "timings.lease"},
		"missing unit":            {"lease: 3s", "lease: 3", 12, "timings.lease"},
		"duration out of range":   {"lease: 3s", "lease: 1h", 12, "timings.lease"},
		"overlapping":             {"lease: 3s", "taskLease: 1s", 12, "timings.taskLease"},
		"key hash too short":      {"9f86d081", "9f86", 10, "operators[0].keyHash"},
		"dot in name":             {"name: entry-1", "name: entry.1", 1, "name"},
		"unknown isolatedKeys":    {"region: ege", "region: ege\nisolatedKeys: maybe", 4, "isolatedKeys"},
		"missing domain":          {"domain: izmir-a\n", "", 1, "domain"},
		"peer timeout too short":  {"lease: 3s", "peerTimeout: 100ms", 12, "timings.peerTimeout"},
		"operator without a name": {"- name: ayse", "- name: ''", 9, "operators[0].name"},
	} {
		t.Run(name, func(t *testing.T) {
			content := strings.Replace(validSettings, test.old, test.new, 1)
			assert.Assert(t, content != validSettings)
			_, err := Parse("bad.yaml", []byte(content))
			var settingsErr *Error
			assert.Assert(t, errors.As(err, &settingsErr), "%v", err)
			assert.Equal(t, settingsErr.Line, test.line, err.Error())
			assert.Equal(t, settingsErr.Field, test.field, err.Error())
		})
	}
}
