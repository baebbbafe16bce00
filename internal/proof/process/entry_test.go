package process

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"time"

	"github.com/goccy/go-yaml"
	"gotest.tools/v3/assert"

	"github.com/citronbay/citronbay/internal/api/caller"
	"github.com/citronbay/citronbay/internal/api/operator"
	"github.com/citronbay/citronbay/internal/proof/child"
	"github.com/citronbay/citronbay/internal/standin/proxy"
)

// entryProcess is an entry that runs as a process of its own.
type entryProcess struct {
	name          string
	domain        string
	region        string
	callerAddress string
	peerAddress   string
	platformProxy *proxy.TCP
	command       *exec.Cmd
	exited        chan struct{} // closed when the process has exited
	logFile       string
	incarnation   int
}

func (c *cell) addEntry(name, domain string) {
	platformProxy, closeProxy, err := proxy.NewTCP(c.platformAddress)
	assert.NilError(c.t, err)
	c.t.Cleanup(closeProxy)
	c.entries[name] = &entryProcess{
		name:          name,
		domain:        domain,
		region:        c.region(domain),
		callerAddress: freeAddress(c.t),
		peerAddress:   freeAddress(c.t),
		platformProxy: platformProxy,
	}
	c.entryNames = append(c.entryNames, name)
}

// addPeerProxies creates a UDP proxy for each ordered pair of entries.
func (c *cell) addPeerProxies() {
	for _, from := range c.entryNames {
		for _, to := range c.entryNames {
			if from == to {
				continue
			}
			peerProxy, closeProxy, err := proxy.NewUDP(c.entries[to].peerAddress)
			assert.NilError(c.t, err)
			c.t.Cleanup(closeProxy)
			c.peerProxies[[2]string{from, to}] = peerProxy
		}
	}
}

// settings returns the entry's settings as YAML; its peers and the platform have the
// addresses of their proxies.
func (c *cell) settings(p *entryProcess) []byte {
	sum := sha256.Sum256([]byte(operatorKey))
	var peers []map[string]string
	for _, other := range c.entryNames {
		if other == p.name {
			continue
		}
		peers = append(peers, map[string]string{
			"name":    other,
			"address": c.peerProxies[[2]string{p.name, other}].Address(),
			"domain":  c.entries[other].domain,
			"region":  c.entries[other].region,
		})
	}
	fields := map[string]any{
		"name":            p.name,
		"domain":          p.domain,
		"region":          p.region,
		"callerAddress":   p.callerAddress,
		"peerAddress":     p.peerAddress,
		"platformAddress": p.platformProxy.Address(),
		"peerSecret":      "a secret that the tests share",
		"operators": []map[string]string{{
			"name":    "ayse",
			"keyHash": hex.EncodeToString(sum[:]),
		}},
		"peers":   peers,
		"timings": map[string]string{"taskLease": c.taskLease().String()},
	}
	if c.layout.isolatedKeys != "" {
		fields["isolatedKeys"] = c.layout.isolatedKeys
	}
	encoded, err := yaml.Marshal(fields)
	assert.NilError(c.t, err)
	return encoded
}

// taskLease returns the entries' setting taskLease.
func (c *cell) taskLease() time.Duration {
	if c.layout.taskLease != 0 {
		return c.layout.taskLease
	}
	return 5 * time.Second
}

// startEntry starts or restarts the entry's process, with a new log file.
func (c *cell) startEntry(name string) {
	c.t.Helper()
	p := c.entries[name]
	file := filepath.Join(c.dir, name+".yaml")
	assert.NilError(c.t, os.WriteFile(file, c.settings(p), 0o600))
	p.incarnation++
	p.logFile = filepath.Join(c.dir, fmt.Sprintf("%s-%d.log", name, p.incarnation))
	logs, err := os.Create(p.logFile)
	assert.NilError(c.t, err)
	p.command = exec.Command(binary, "entry", "--settings", file)
	p.command.Stderr = logs
	assert.NilError(c.t, child.Start(p.command))
	done := make(chan struct{})
	p.exited = done
	command := p.command
	go func() {
		_ = command.Wait()
		_ = logs.Close()
		close(done)
	}()
	c.t.Cleanup(func() {
		_ = command.Process.Signal(syscall.SIGCONT)
		_ = command.Process.Kill()
		<-done
		if c.t.Failed() {
			c.printLog(p.logFile)
		}
	})
}

// printLog prints the last 40 lines of the file.
func (c *cell) printLog(file string) {
	content, err := os.ReadFile(file)
	if err != nil {
		return
	}
	lines := strings.Split(string(content), "\n")
	c.t.Logf("%s:\n%s", filepath.Base(file), strings.Join(lines[max(0, len(lines)-40):], "\n"))
}

func (c *cell) signalEntry(name string, s syscall.Signal) {
	c.t.Helper()
	assert.NilError(c.t, c.entries[name].command.Process.Signal(s))
}

// freezeEntry stops the entry's process and returns once it has stopped.
func (c *cell) freezeEntry(name string) {
	c.t.Helper()
	assert.NilError(c.t, child.Stop(c.entries[name].command.Process))
}

// thawEntry lets a frozen entry go on.
func (c *cell) thawEntry(name string) {
	c.t.Helper()
	assert.NilError(c.t, child.Continue(c.entries[name].command.Process))
}

// killEntry kills the entry's process and waits for its exit.
func (c *cell) killEntry(name string) {
	c.t.Helper()
	c.signalEntry(name, syscall.SIGKILL)
	<-c.entries[name].exited
}

// status returns the cell's status as the named entry reports it.
func (c *cell) status(name string) (operator.CellStatus, error) {
	var status operator.CellStatus
	err := c.callOperator(name, http.MethodGet, "/v1/operator/cell", nil, &status)
	return status, err
}

// callOperator calls the operators' API of the named entry and decodes the response
// into out. The call takes at most 15 s.
func (c *cell) callOperator(name, method, path string, in, out any) error {
	client, closeClient := caller.NewClient(c.entries[name].callerAddress, operatorKey)
	defer closeClient()
	ctx, cancel := context.WithTimeout(context.Background(), 15*time.Second)
	defer cancel()
	return client.Do(ctx, method, path, in, out)
}
