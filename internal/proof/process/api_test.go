package process

import (
	"bytes"
	"context"
	"net/http"
	"os"
	"os/exec"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/citronbay/citronbay/internal/api/caller"
	apiupstream "github.com/citronbay/citronbay/internal/api/upstream"
)

// smallTask is the size of a task of which 8 fit on a worker (see addUpstream), so
// that 16 fill the two workers of oneDomain.
var smallTask = apiupstream.Resources{
	MilliProcessors: 500,
	MemoryBytes:     64 << 20,
}

// awaitJob waits until the job has ended and returns its status. It fails the test
// after the limit.
func awaitJob(t testing.TB, client *caller.Client, id string, limit time.Duration) caller.JobStatus {
	t.Helper()
	var status caller.JobStatus
	eventually(t, limit, "job "+id, func() error {
		var err error
		status, err = client.Job(context.Background(), id)
		if err != nil {
			return err
		}
		if status.Fate == caller.FateInProgress {
			return context.DeadlineExceeded
		}
		return nil
	})
	return status
}

// TestRequestsAndJobsEndToEnd guards against work that does not complete although
// nothing fails: a request through each entry of two domains, a batch job and an
// all-at-once job.
func TestRequestsAndJobsEndToEnd(t *testing.T) {
	c := startCell(t, layout{
		domains: []string{"izmir-a", "manisa-b"},
		entries: 2,
		workers: 1,
		runners: 1,
	})
	key, _ := c.createTeam("kiln", 100)
	for _, name := range c.entryNames {
		answer, err := c.client(name, key).Request(context.Background(), caller.Request{
			Service: service,
			Command: "shade",
			Payload: name,
		})
		assert.NilError(t, err)
		assert.Equal(t, answer.Fate, caller.FateCompleted, answer.Reason)
		assert.Equal(t, string(answer.Answer), "shade:"+name)
	}
	for kind, tasks := range map[caller.Kind]int{
		caller.KindBatch:     6,
		caller.KindAllAtOnce: 3,
	} {
		client := c.client(c.entryNames[3], key)
		status, err := client.Submit(context.Background(), caller.Job{
			Kind:      kind,
			Tasks:     tasks,
			Size:      smallTask,
			RunMillis: 20,
		})
		assert.NilError(t, err)
		assert.Assert(t, status.Durable, status.Reason)
		ended := awaitJob(t, client, status.JobID, defaultTimeout)
		assert.Equal(t, ended.Fate, caller.FateCompleted, ended.Reason)
		assert.Equal(t, ended.Completed, tasks)
	}
}

// TestCommandLine guards against commands that the entry does not accept, and against
// a wrong exit code or output of a command.
func TestCommandLine(t *testing.T) {
	c := startCell(t, oneDomain())
	c.createTeam("tally", 10)
	run := func(arguments ...string) (string, int) {
		arguments = append(arguments, "--address", c.entries[c.entryNames[0]].callerAddress, "--key", operatorKey)
		command := exec.Command(binary, arguments...)
		var out bytes.Buffer
		command.Stdout = &out
		command.Stderr = &out
		_ = command.Run()
		return out.String(), command.ProcessState.ExitCode()
	}
	for name, test := range map[string]struct {
		arguments []string
		code      int
		contains  string
	}{
		"team created":               {[]string{"team", "create", "route", "--share", "2", "--cap", "5"}, 0, "DURABLE"},
		"cap set":                    {[]string{"cap", "set", "tally", "12"}, 0, "IN FORCE"},
		"key granted":                {[]string{"key", "grant", "tally"}, 0, "shown once"},
		"preset used":                {[]string{"preset", "use", "ordinary"}, 0, "REVISION"},
		"preset unknown":             {[]string{"preset", "use", "holiday"}, 1, "does not exist"},
		"cell shown":                 {[]string{"cell", "status"}, 0, "izmir-a-worker-0"},
		"audit shown":                {[]string{"audit", "--output", "json"}, 0, "ayse"},
		"drain":                      {[]string{"drain", "izmir-a-worker-1"}, 0, "IN FORCE"},
		"job with an operator's key": {[]string{"job", "submit"}, 3, "key"},
		"flag unknown":               {[]string{"team", "list", "--bogus"}, 2, "bogus"},
		"team does not exist":        {[]string{"team", "show", "nobody"}, 1, "does not exist"},
	} {
		t.Run(name, func(t *testing.T) {
			out, code := run(test.arguments...)
			assert.Equal(t, code, test.code, out)
			assert.Assert(t, strings.Contains(out, test.contains), out)
		})
	}
}

// TestInvalidInputIsRejectedWithItsField guards against an error response that does
// not name the invalid field, or does not say that the work never runs.
func TestInvalidInputIsRejectedWithItsField(t *testing.T) {
	c := startCell(t, oneDomain())
	key, _ := c.createTeam("tally", 10)
	for name, test := range map[string]struct {
		path   string
		body   string
		status int
		field  string
	}{
		"kind":          {"/v1/jobs", `{"kind":"x","tasks":1,"size":{"milliProcessors":1}}`, 400, "kind"},
		"tasks":         {"/v1/jobs", `{"kind":"batch","tasks":0,"size":{"milliProcessors":1}}`, 400, "tasks"},
		"unknown field": {"/v1/requests", `{"service":"lookup","bogus":1}`, 400, "bogus"},
		"wrong type":    {"/v1/requests", `{"service":7}`, 400, "service"},
		"urgency":       {"/v1/requests", `{"service":"lookup","urgency":"soon"}`, 400, "urgency"},
		"too large":     {"/v1/requests", `{"service":"` + strings.Repeat("x", 2<<20) + `"}`, 413, "body"},
	} {
		t.Run(name, func(t *testing.T) {
			request, err := http.NewRequest(http.MethodPost, "http://"+c.entries[c.entryNames[0]].callerAddress+test.path, strings.NewReader(test.body))
			assert.NilError(t, err)
			request.Header.Set("Authorization", "Bearer "+key)
			response, err := http.DefaultClient.Do(request)
			assert.NilError(t, err)
			defer func() { _ = response.Body.Close() }()
			var out bytes.Buffer
			_, err = out.ReadFrom(response.Body)
			assert.NilError(t, err)
			assert.Equal(t, response.StatusCode, test.status, out.String())
			assert.Assert(t, strings.Contains(out.String(), `"field":"`+test.field+`"`), out.String())
			assert.Assert(t, strings.Contains(out.String(), `"fate":"notRun"`), out.String())
		})
	}
}

// TestEndpointsReportStateWithoutSecrets reads health, readiness and metrics, and
// checks that neither the metrics nor the logs contain the secret of a key.
func TestEndpointsReportStateWithoutSecrets(t *testing.T) {
	t.Parallel()
	c := startCell(t, oneDomain())
	key, _ := c.createTeam("kiln", 10)
	entry := c.entries[c.owner("izmir-a")]
	c.checkServed(entry.name, key)
	assert.NilError(t, c.checkKeyRefused(entry.name, key+"x"))
	read := func(path string) string {
		response, err := http.Get("http://" + entry.callerAddress + path)
		assert.NilError(t, err)
		defer func() { _ = response.Body.Close() }()
		assert.Equal(t, response.StatusCode, http.StatusOK)
		var out bytes.Buffer
		_, err = out.ReadFrom(response.Body)
		assert.NilError(t, err)
		return out.String()
	}
	assert.Equal(t, read("/health"), "ok\n")
	assert.Equal(t, read("/ready"), "ready\n")
	metrics := read("/metrics")
	for _, name := range []string{"citronbay_requests_total", "citronbay_keys_refused_total", "citronbay_team_held"} {
		assert.Assert(t, strings.Contains(metrics, name), name)
	}
	logs, err := os.ReadFile(entry.logFile)
	assert.NilError(t, err)
	secret := key[strings.LastIndex(key, ".")+1:]
	for _, text := range []string{metrics, string(logs)} {
		assert.Assert(t, !strings.Contains(text, secret))
		assert.Assert(t, !strings.Contains(text, operatorKey))
	}
}
