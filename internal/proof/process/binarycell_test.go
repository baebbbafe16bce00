package process

import (
	"bytes"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/citronbay/citronbay/internal/api/caller"
	"github.com/citronbay/citronbay/internal/api/operator"
	"github.com/citronbay/citronbay/internal/proof/child"
)

// binaryCell is a cell whose platform, entries and upstreams each run as a process
// of the built binary.
type binaryCell struct {
	t               *testing.T
	dir             string
	platformAddress string
	entryAddresses  []string
}

// startBackground starts the binary and kills it at the end of the test.
func (c *binaryCell) startBackground(arguments ...string) {
	c.t.Helper()
	command := exec.Command(binary, arguments...)
	var errors bytes.Buffer
	command.Stderr = &errors
	assert.NilError(c.t, child.Start(command))
	c.t.Cleanup(func() {
		_ = command.Process.Kill()
		_ = command.Wait()
		if c.t.Failed() {
			c.t.Logf("%s:\n%s", strings.Join(arguments, " "), errors.String())
		}
	})
}

// runCommand runs a command of the binary against an entry and decodes its JSON
// output.
func (c *binaryCell) runCommand(entry, key string, out any, arguments ...string) error {
	arguments = append(arguments, "--address", entry, "--key", key, "--output", "json")
	command := exec.Command(binary, arguments...)
	var printed, errors bytes.Buffer
	command.Stdout = &printed
	command.Stderr = &errors
	if err := command.Run(); err != nil {
		return fmt.Errorf("%w: %s", err, errors.String())
	}
	return json.Unmarshal(printed.Bytes(), out)
}

// writeSettings writes the entry's settings file and returns its path.
func (c *binaryCell) writeSettings(name, domain, callerAddress, peerAddress string, peers []string) string {
	sum := sha256.Sum256([]byte(operatorKey))
	file := filepath.Join(c.dir, name+".yaml")
	content := fmt.Sprintf(`name: %s
domain: %s
region: ege
callerAddress: %s
peerAddress: %s
platformAddress: %s
peerSecret: a secret that the tests share
operators:
  - name: ayse
    keyHash: %s
peers: [%s]
`, name, domain, callerAddress, peerAddress, c.platformAddress, hex.EncodeToString(sum[:]), strings.Join(peers, ", "))
	assert.NilError(c.t, os.WriteFile(file, []byte(content), 0o600))
	return file
}

// startBinaryCell starts the platform, an entry for each element of entryDomains, and
// a worker and a runner in each of the two domains.
func startBinaryCell(t *testing.T) *binaryCell {
	t.Helper()
	c := &binaryCell{
		t:               t,
		dir:             t.TempDir(),
		platformAddress: freeAddress(t),
	}
	c.startBackground("standin", "platform", "--address", c.platformAddress)
	entryDomains := []string{"izmir-a", "izmir-a", "manisa-b"}
	var peers []string
	var peerAddresses []string
	for i, domain := range entryDomains {
		c.entryAddresses = append(c.entryAddresses, freeAddress(t))
		peerAddresses = append(peerAddresses, freeAddress(t))
		peers = append(peers, fmt.Sprintf("{name: entry-%d, address: %q, domain: %s, region: ege}", i, peerAddresses[i], domain))
	}
	for i, domain := range entryDomains {
		c.startBackground("entry", "--settings", c.writeSettings(fmt.Sprintf("entry-%d", i), domain, c.entryAddresses[i], peerAddresses[i], peers))
	}
	for _, domain := range entryDomains[1:] { // each domain once
		for _, role := range []string{"worker", "runner"} {
			eventually(t, defaultTimeout, "upstream", func() error { return c.startUpstream(role, domain) })
		}
	}
	return c
}

// startUpstream starts an upstream once the first entry answers, and returns an error
// while it does not.
func (c *binaryCell) startUpstream(role, domain string) error {
	check := exec.Command(binary, "team", "list", "--address", c.entryAddresses[0], "--key", operatorKey, "--timeout", "1s")
	if err := check.Run(); err != nil {
		return err
	}
	arguments := []string{"standin", "upstream", "--name", domain + "-" + role, "--role", role, "--domain", domain, "--region", "ege", "--platform", c.platformAddress}
	if role == "runner" {
		arguments = append(arguments, "--service", service)
	}
	c.startBackground(arguments...)
	return nil
}

// TestAllPartsRunAsProcesses guards against a part that works only within the test
// process. It runs the platform, three entries in two failure domains, workers and
// runners as processes, and uses the cell through the command line.
func TestAllPartsRunAsProcesses(t *testing.T) {
	t.Parallel()
	c := startBinaryCell(t)
	var change operator.ChangeResponse
	eventually(t, defaultTimeout, "a team", func() error {
		return c.runCommand(c.entryAddresses[0], operatorKey, &change, "team", "create", "kiln", "--share", "1", "--cap", "50")
	})
	assert.NilError(t, c.runCommand(c.entryAddresses[1], operatorKey, &change, "key", "grant", "kiln"))
	key := change.Token
	for _, entry := range c.entryAddresses {
		var answer caller.Answer
		eventually(t, defaultTimeout, "an answer", func() error {
			return c.runCommand(entry, key, &answer, "request", service, "shade", "--payload", "clay")
		})
		assert.Equal(t, string(answer.Answer), "shade:clay")
		for _, kind := range []string{"batch", "allAtOnce"} {
			var status caller.JobStatus
			assert.NilError(t, c.runCommand(entry, key, &status, "job", "submit", "--kind", kind, "--tasks", "4", "--run", "20ms", "--wait"))
			assert.Equal(t, status.Fate, caller.FateCompleted)
			assert.Equal(t, status.Completed, 4)
		}
	}
	var status caller.JobStatus
	assert.NilError(t, c.runCommand(c.entryAddresses[2], key, &status, "job", "submit", "--kind", "service", "--tasks", "2"))
	eventually(t, defaultTimeout, "running tasks of the service", func() error {
		err := c.runCommand(c.entryAddresses[0], key, &status, "job", "status", status.JobID)
		if err == nil && status.Running != 2 {
			err = fmt.Errorf("%d running", status.Running)
		}
		return err
	})
	assert.NilError(t, c.runCommand(c.entryAddresses[0], key, &status, "job", "cancel", status.JobID))
}

// TestDemoRunsOneOfEachKind runs the first command of the README, citronbay dev
// --demo, which must complete work of each kind.
func TestDemoRunsOneOfEachKind(t *testing.T) {
	t.Parallel()
	out, err := exec.Command(binary, "dev", "--demo").CombinedOutput()
	assert.NilError(t, err, string(out))
	for _, kind := range []string{"request", "batch", "allAtOnce"} {
		assert.Assert(t, strings.Contains(string(out), fmt.Sprintf("%-10s fate=completed", kind)), string(out))
	}
	assert.Assert(t, strings.Contains(string(out), "running=2"), string(out))
}
