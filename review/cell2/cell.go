package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

const (
	serviceName = "service"
	hostName    = "jobs.example"
	apiKey      = "key-of-team-a-0123456789"
	// callTimeout is how long a client waits for an answer, and says so.
	callTimeout = 3 * time.Second
)

// node is one process of the system.
type node struct {
	name, ip string
	settings string
	command  *exec.Cmd
	exited   chan struct{}
	status   string // of the exit, once exited is closed
}

// cell is a small deployment: stand-ins in this process, and nodes as processes.
type cell struct {
	dir     string
	record  *os.File
	began   time.Time
	store   *platformStore
	storeAt string
	runners []*runner
	nodes   []*node
	// statusSeconds is status_s in the settings.
	statusSeconds int
	ports         int // the first of the ports that each node uses on its own address
	watch         *watch
	gangs         *gangs

	mu    sync.Mutex
	cause string // why the case cannot run
}

// newCell starts the stand-ins and writes the first configuration, in which a job's tasks may
// fail the given number of times.
func newCell(record *os.File, attempts int) *cell {
	dir, err := os.MkdirTemp("", "cell2")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(2)
	}
	c := &cell{
		dir:    dir,
		record: record,
		began:  time.Now(),
		store:  newPlatformStore(),
		gangs:  &gangs{present: map[string]map[*run]*runner{}},

		statusSeconds: 120,
	}
	c.watch = newWatch(c)
	go c.store.expireLoop()
	server := httptest.NewServer(c.store)
	c.storeAt = strings.TrimPrefix(server.URL, "http://")
	c.store.put("op/config", map[string]any{
		"version": 7,
		"routes": []map[string]any{{
			"name": "batch", "host": hostName, "prefix": "/batch/", "service": serviceName, "priority": 1,
			"attempts": attempts, "slackFactor": 2.2, "targetDurationMs": 1200, "timeoutMs": 3000,
		}},
		"services": []map[string]any{{"name": serviceName, "enforceCapacity": false, "maxConns": 64}},
		"tenants":  []map[string]any{{"name": "team-a", "apiKeys": []string{apiKey}, "weight": 50}},
		"limits":   map[string]any{"maxBodyBytes": 262144},
	})
	return c
}

// fatal notes that the case cannot run.
func (c *cell) fatal(format string, args ...any) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.cause == "" {
		c.cause = fmt.Sprintf(format, args...)
	}
}

// note writes one line into the record.
func (c *cell) note(format string, args ...any) {
	line := fmt.Sprintf("%9.3f ", time.Since(c.began).Seconds()) + fmt.Sprintf(format, args...) + "\n"
	c.mu.Lock()
	defer c.mu.Unlock()
	_, _ = c.record.WriteString(line)
}

// addRunners starts runners, four to a rack.
func (c *cell) addRunners(count int, cpu, mem int64) {
	for range count {
		n := len(c.runners)
		c.runners = append(c.runners, newRunner(c, fmt.Sprintf("i-%02d", n+1), fmt.Sprintf("r1-%d", n/4+1), cpu, mem))
	}
}

// startNodes starts the nodes, each at a loopback address of its own.
func (c *cell) startNodes(count int) {
	var ips, seeds []string
	c.ports = 0
	for range 50 {
		subnet := fmt.Sprintf("127.%d.%d", 20+rand.N(200), 1+rand.N(250))
		port := 20000 + rand.N(9000)
		if ips = freeAddresses(subnet, port, count); ips != nil {
			c.ports = port
			break
		}
	}
	if c.ports == 0 {
		c.fatal("no free ports")
		return
	}
	for _, ip := range ips[:min(3, count)] {
		seeds = append(seeds, fmt.Sprintf("%s:%d", ip, c.ports+2))
	}
	for n, ip := range ips {
		x := &node{
			name: fmt.Sprintf("front-a-%d", n+1),
			ip:   ip,
		}
		x.settings = filepath.Join(c.dir, x.name+".yaml")
		if err := os.WriteFile(x.settings, c.settingsOf(x, seeds), 0o600); err != nil {
			c.fatal("settings: %v", err)
			return
		}
		c.nodes = append(c.nodes, x)
		c.startNode(x)
	}
}

// settingsOf returns what the platform makes of deploy/settings.yaml.tmpl for the node.
func (c *cell) settingsOf(x *node, seeds []string) []byte {
	list, _ := json.Marshal(seeds)
	return []byte(fmt.Sprintf(`node: %q
zone: "zone-a"
region: "region-a"
ip: %q
peerPorts: [%d,%d]
seeds: %s
secret: "citronbay-cluster-secret"
callerAddress: "%s:%d"
readyAddress: "%s:%d"
metricsPort: 9464
storeAddress: %q
advisorAddress: "127.0.0.1:9"
processorShare: 0.4
processorSpeed: 1
memoryMB: 284
linkMbps: 1000
descriptors: 4200
statusSeconds: %d
maxHoldMillis: %d
graceSeconds: 6
changeInForceMillis: 2500
`, x.name, x.ip, c.ports+5, c.ports+20, list, x.ip, c.ports, x.ip, c.ports+1, c.storeAt, c.statusSeconds, maxHold.Milliseconds()))
}

// freeAddresses returns the addresses of the subnet if the ports are free there, and otherwise nil.
func freeAddresses(subnet string, port, count int) []string {
	var ips []string
	for n := range count {
		ip := fmt.Sprintf("%s.%d", subnet, n+1)
		for _, p := range []int{port, port + 1, port + 2, 9464} {
			listener, err := net.Listen("tcp", fmt.Sprintf("%s:%d", ip, p))
			if err != nil {
				return nil
			}
			_ = listener.Close()
		}
		conn, err := net.ListenPacket("udp", fmt.Sprintf("%s:%d", ip, port+5))
		if err != nil {
			return nil
		}
		_ = conn.Close()
		ips = append(ips, ip)
	}
	return ips
}

// startNode starts the node's process with the command of the deploy file.
func (c *cell) startNode(x *node) {
	log, err := os.OpenFile(filepath.Join(c.dir, x.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		c.fatal("log: %v", err)
		return
	}
	command := exec.Command("target/citronbay", "front")
	command.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + c.dir, "CITRONBAY_SETTINGS=" + x.settings}
	command.Stdout, command.Stderr = log, log
	command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := command.Start(); err != nil {
		c.fatal("start %s: %v", x.name, err)
		return
	}
	c.note("node %s starts", x.name)
	exited := make(chan struct{})
	x.command, x.exited = command, exited
	go func() {
		_ = command.Wait()
		_ = log.Close()
		x.status = command.ProcessState.String()
		c.note("node %s ended: %s", x.name, x.status)
		close(exited)
	}()
}

// signal sends a signal to the node's process.
func (c *cell) signal(x *node, s syscall.Signal) {
	c.note("signal %s to %s", s, x.name)
	_ = x.command.Process.Signal(s)
}

// close ends all processes that the cell has started.
func (c *cell) close() {
	for _, x := range c.nodes {
		if x.command == nil {
			continue
		}
		_ = x.command.Process.Kill()
		<-x.exited
	}
	if keep := os.Getenv("KEEP_LOGS"); keep != "" {
		return
	}
	_ = os.RemoveAll(c.dir)
}

// awaitReady waits until all nodes are ready, as the platform asks them.
func (c *cell) awaitReady() {
	client := &http.Client{Timeout: time.Second}
	deadline := time.Now().Add(15 * time.Second)
	for _, x := range c.nodes {
		for {
			response, err := client.Get(fmt.Sprintf("http://%s:%d/citronbay/ready", x.ip, c.ports+1))
			if err == nil {
				_ = response.Body.Close()
				if response.StatusCode == http.StatusOK {
					break
				}
			}
			if time.Now().After(deadline) {
				c.fatal("node %s is not ready within 15 s", x.name)
				return
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
}

// owner returns the node that the store names as the owner, or nil.
func (c *cell) owner() *node {
	value := c.store.get("citronbay/fleet/owner")
	for _, x := range c.nodes {
		if bytes.Contains(value, []byte(x.name)) {
			return x
		}
	}
	return nil
}

// answer is what a client sees of one call; code 0 means that the connection broke.
type answer struct {
	code int
	body map[string]any
	err  error
}

// call sends one call of a client to the node.
func (c *cell) call(client *http.Client, x *node, method, path string, body any) answer {
	return c.callAddress(client, fmt.Sprintf("%s:%d", x.ip, c.ports), method, path, body)
}

func (c *cell) callAddress(client *http.Client, address, method, path string, body any) answer {
	var encoded []byte
	if body != nil {
		encoded, _ = json.Marshal(body)
	}
	request, err := http.NewRequest(method, "http://"+address+path, bytes.NewReader(encoded))
	if err != nil {
		return answer{err: err}
	}
	request.Host = hostName
	request.Header.Set("X-Citronbay-Key", apiKey)
	request.Header.Set("X-Citronbay-Deadline-Ms", fmt.Sprint(callTimeout.Milliseconds()))
	request.Header.Set("Content-Type", "application/json")
	response, err := client.Do(request)
	if err != nil {
		return answer{err: err}
	}
	defer func() { _ = response.Body.Close() }()
	text, err := io.ReadAll(response.Body)
	if err != nil {
		return answer{err: err}
	}
	a := answer{code: response.StatusCode}
	_ = json.Unmarshal(text, &a.body)
	return a
}

var sharedClient = &http.Client{Timeout: callTimeout + 500*time.Millisecond}

// submit hands the job in, again after an answer that permits it, and reports whether it was
// accepted.
func (c *cell) submit(id string, body any) bool {
	for range 20 {
		x := c.nodes[rand.N(len(c.nodes))]
		a := c.call(sharedClient, x, http.MethodPost, "/batch/"+id, body)
		c.note("POST %s to %s: %d %v", id, x.name, a.code, a.body)
		if a.code/100 == 2 {
			return true
		}
		time.Sleep(300 * time.Millisecond)
	}
	return false
}

// state asks for a job's state.
func (c *cell) state(id string) string {
	for range 10 {
		x := c.nodes[rand.N(len(c.nodes))]
		a := c.call(sharedClient, x, http.MethodGet, "/batch/"+id, nil)
		if a.code == http.StatusOK {
			s, _ := a.body["state"].(string)
			return s
		}
		if a.code == http.StatusGone {
			return "gone"
		}
		time.Sleep(100 * time.Millisecond)
	}
	return ""
}

func jobID(n int) string {
	return fmt.Sprintf("%016x", uint64(0x5c0e7a2100000000)+uint64(n))
}

// jobOf returns the body of a submission.
func jobOf(w work, steps ...map[string]any) map[string]any {
	spec, _ := json.Marshal(w)
	return map[string]any{"spec": string(spec), "steps": steps}
}
