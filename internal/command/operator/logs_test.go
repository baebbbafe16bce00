package operator

import (
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

// TestPrintLogs guards against lines of other jobs, and against lines that are not in
// the order of their time when they come from several files.
func TestPrintLogs(t *testing.T) {
	first := "time=2026-01-01T00:00:02Z msg=tasksPlaced job=a\ntime=2026-01-01T00:00:02Z msg=tasksPlaced job=b\n"
	second := "time=2026-01-01T00:00:01Z msg=jobAccepted job=a\n"
	var out strings.Builder
	assert.NilError(t, printLogs(&out, "job=a", strings.NewReader(first), strings.NewReader(second)))
	assert.Equal(t, out.String(), "time=2026-01-01T00:00:01Z msg=jobAccepted job=a\ntime=2026-01-01T00:00:02Z msg=tasksPlaced job=a\n")
}
