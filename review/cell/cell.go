package cell

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strings"
	"sync"
	"syscall"
	"time"
)

// Names of the small deployment.
const (
	Service = "service-a"
	Zone    = "zone-a"
	// FarZone is in another region than the nodes and the store.
	FarZone = "zone-b"
	Host    = "jobs.example"
	Tenant  = "tenant-a"
	Key     = "0123456789abcdef0123"
	// Deadline is how long clients wait for an answer.
	Deadline = 3 * time.Second
)

// Cell is a small deployment.
type Cell struct {
	Store   *Store
	Runs    *Runs
	Log     *Record
	Runners []*Runner
	Nodes   []*Node

	folder string
	client *http.Client
}

// Node is a machine that runs the program with the command of the deploy file.
type Node struct {
	Name   string
	Caller string
	Ready  string

	cell     *Cell
	settings string
	output   *os.File
	mu       sync.Mutex
	command  *exec.Cmd
	exited   chan struct{}
}

// New starts a store and the nodes. The returned function ends everything that was started.
func New(log *Record, nodes int) (*Cell, func(), error) {
	folder, err := os.MkdirTemp("", "review")
	if err != nil {
		return nil, nil, err
	}
	store, err := NewStore()
	if err != nil {
		return nil, nil, err
	}
	c := &Cell{
		Store:  store,
		Runs:   &Runs{log: log},
		Log:    log,
		folder: folder,
		client: &http.Client{
			Timeout:   Deadline + time.Second,
			Transport: &http.Transport{MaxIdleConnsPerHost: 64},
		},
	}
	network := rand.N(200) + 20
	port, err := freePorts(network, nodes)
	if err != nil {
		c.close()
		return nil, nil, err
	}
	for n := range nodes {
		if err := c.addNode(n, network, port, nodes); err != nil {
			c.close()
			return nil, nil, err
		}
	}
	return c, c.close, nil
}

func (c *Cell) close() {
	for _, n := range c.Nodes {
		n.Kill()
		_ = n.output.Close()
	}
	for _, r := range c.Runners {
		r.Close()
	}
	c.Store.Close()
	_ = os.RemoveAll(c.folder)
}

func nodeIP(network, n int) string {
	return fmt.Sprintf("127.77.%d.%d", network, n+10)
}

// freePorts returns the first of four ports that are free on the addresses of all nodes.
func freePorts(network, nodes int) (int, error) {
	const first, last = 20000, 31000
	for range 100 {
		port := first + rand.N(last-first)
		free := true
		for n := range nodes {
			for offset := range 4 {
				listener, err := net.Listen("tcp", fmt.Sprintf("%s:%d", nodeIP(network, n), port+offset))
				if err != nil {
					free = false
					break
				}
				_ = listener.Close()
			}
		}
		if free {
			return port, nil
		}
	}
	return 0, errors.New("no free ports")
}

var placeholder = regexp.MustCompile(`\{\{([A-Za-z0-9_.]+)\|json\}\}`)

// render fills in the deploy file's template of the settings.
func render(template string, fields map[string]any) (string, error) {
	var failed error
	text := placeholder.ReplaceAllStringFunc(template, func(match string) string {
		var value any = fields
		for _, name := range strings.Split(placeholder.FindStringSubmatch(match)[1], ".") {
			table, ok := value.(map[string]any)
			if !ok {
				return ""
			}
			value = table[name]
		}
		if value == nil {
			return ""
		}
		encoded, err := json.Marshal(value)
		if err != nil {
			failed = err
		}
		return string(encoded)
	})
	if strings.Contains(text, "{{") {
		return "", errors.New("the template has a placeholder that the stand-in does not know")
	}
	return text, failed
}

func (c *Cell) addNode(n, network, port, nodes int) error {
	ip := nodeIP(network, n)
	var seeds []string
	for s := range min(nodes, 3) {
		seeds = append(seeds, fmt.Sprintf("%s:%d", nodeIP(network, s), port+3))
	}
	node := &Node{
		Name:     fmt.Sprintf("front-%s-%d", Zone, n+1),
		Caller:   fmt.Sprintf("%s:%d", ip, port),
		Ready:    fmt.Sprintf("%s:%d", ip, port+1),
		cell:     c,
		settings: filepath.Join(c.folder, fmt.Sprintf("node-%d.yaml", n)),
	}
	template, err := os.ReadFile("deploy/settings.yaml.tmpl")
	if err != nil {
		return err
	}
	text, err := render(string(template), map[string]any{
		"nodeName":      node.Name,
		"zone":          Zone,
		"region":        "region-a",
		"ip":            ip,
		"internalPorts": []int{port + 2, port + 2},
		"seeds":         seeds,
		"listen": map[string]any{
			"front":   node.Caller,
			"ready":   node.Ready,
			"control": fmt.Sprintf("%s:%d", ip, port+3),
		},
		"platform": map[string]any{"address": c.Store.Address},
		"limits":   map[string]any{"cpuShare": 0.4, "cores": 1, "memoryMb": 284, "linkMbps": 1000.0, "maxFds": 4200},
		"bounds":   map[string]any{"status_s": 120, "maxHoldMs": 10000, "graceS": 6, "configApplyMs": 2500},
	})
	if err != nil {
		return err
	}
	if err := os.WriteFile(node.settings, []byte(text), 0o600); err != nil {
		return err
	}
	if node.output, err = os.Create(filepath.Join(c.folder, node.Name+".log")); err != nil {
		return err
	}
	c.Nodes = append(c.Nodes, node)
	return node.Start()
}

// Start starts the node's process.
func (n *Node) Start() error {
	command := exec.Command("target/citronbay", "front")
	command.Env = []string{
		"PATH=" + os.Getenv("PATH"),
		"HOME=" + os.Getenv("HOME"),
		"LANG=" + os.Getenv("LANG"),
		"CITRONBAY_SETTINGS=" + n.settings,
	}
	command.Stdout, command.Stderr = n.output, n.output
	if err := command.Start(); err != nil {
		return err
	}
	exited := make(chan struct{})
	n.mu.Lock()
	n.command, n.exited = command, exited
	n.mu.Unlock()
	n.cell.Log.Add("node %s starts", n.Name)
	go func() {
		err := command.Wait()
		n.cell.Log.Add("node %s has ended: %v", n.Name, err)
		close(exited)
	}()
	return nil
}

// Signal sends the process a signal.
func (n *Node) Signal(s syscall.Signal) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.cell.Log.Add("node %s gets signal %d (%s)", n.Name, int(s), s)
	_ = n.command.Process.Signal(s)
}

// Exited returns a channel that is closed when the process has ended.
func (n *Node) Exited() <-chan struct{} {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.exited
}

// Kill ends the process and waits for that.
func (n *Node) Kill() {
	n.mu.Lock()
	command, exited := n.command, n.exited
	n.mu.Unlock()
	if command == nil {
		return
	}
	_ = command.Process.Kill()
	<-exited
}

// Output returns what the node has written to its log.
func (n *Node) Output() string {
	text, _ := os.ReadFile(n.output.Name())
	return string(text)
}

// CopyLogs copies the lines of the nodes' logs that contain one of the texts into the record.
func (c *Cell) CopyLogs(texts ...string) {
	for _, n := range c.Nodes {
		for _, line := range strings.Split(n.Output(), "\n") {
			for _, text := range texts {
				if strings.Contains(line, text) {
					c.Log.Add("log of %s: %s", n.Name, line)
					break
				}
			}
		}
	}
}

// AddRunner starts a runner of the cell.
func (c *Cell) AddRunner(spec RunnerSpec) (*Runner, error) {
	if spec.MemMB == 0 {
		spec.MemMB = 65536
	}
	if spec.Rack == "" {
		spec.Rack = "r1"
	}
	if spec.Zone == "" {
		spec.Zone = Zone
	}
	r, err := NewRunner(spec, c.Store, c.Runs, c.Log)
	if err == nil {
		c.Runners = append(c.Runners, r)
	}
	return r, err
}

// Route is a queue of a configuration.
type Route struct {
	Name     string
	Prefix   string
	Attempts int
	Priority int
}

// Configure writes a configuration, as the operator does.
func (c *Cell) Configure(version int64, maxCPU int64, routes ...Route) {
	list := []map[string]any{}
	names := []string{}
	for _, r := range routes {
		names = append(names, r.Name)
		list = append(list, map[string]any{
			"name":             r.Name,
			"host":             Host,
			"prefix":           r.Prefix,
			"service":          Service,
			"priority":         r.Priority,
			"attempts":         r.Attempts,
			"slackFactor":      2.0,
			"targetDurationMs": 500,
		})
	}
	c.Store.Put("op/config", map[string]any{
		"version":  version,
		"routes":   list,
		"services": []map[string]any{{"name": Service, "enforceCapacity": false}},
		"tenants": []map[string]any{{
			"name":     Tenant,
			"apiKeys":  []string{Key},
			"weight":   200,
			"maxCount": map[string]int64{"cpu": maxCPU, "memMb": 0, "gpu": 0},
		}},
		"limits": map[string]any{"maxBodyBytes": 262144},
	})
	c.Log.Add("the operator's configuration %d is acknowledged: routes %v", version, names)
}

// AwaitReady waits until all nodes are ready.
func (c *Cell) AwaitReady() error {
	deadline := time.Now().Add(15 * time.Second)
	for _, n := range c.Nodes {
		for {
			response, err := c.client.Get("http://" + n.Ready + "/citronbay/ready")
			if err == nil {
				_ = response.Body.Close()
				if response.StatusCode == http.StatusOK {
					break
				}
			}
			if time.Now().After(deadline) {
				return fmt.Errorf("node %s is not ready", n.Name)
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	c.Log.Add("all nodes are ready")
	return nil
}

// Owner returns the node that the store names as the owner, or nil.
func (c *Cell) Owner() *Node {
	value := c.Store.Value("citronbay/fleet/owner")
	for _, n := range c.Nodes {
		if bytes.Contains(value, []byte(n.Name)) {
			return n
		}
	}
	return nil
}

// Call sends one request to a node. The code is 0 if there was no complete answer.
func (c *Cell) Call(n *Node, method, path string, body any) (int, map[string]any) {
	return c.CallWith(c.client, n, method, path, body)
}

// CallWith is Call with another client.
func (c *Cell) CallWith(client *http.Client, n *Node, method, path string, body any) (int, map[string]any) {
	var reader io.Reader
	if body != nil {
		encoded, err := json.Marshal(body)
		if err != nil {
			panic(err)
		}
		reader = bytes.NewReader(encoded)
	}
	request, err := http.NewRequest(method, "http://"+n.Caller+path, reader)
	if err != nil {
		panic(err)
	}
	request.Host = Host
	request.Header.Set("Content-Type", "application/json")
	request.Header.Set("X-Citronbay-Key", Key)
	request.Header.Set("X-Citronbay-Deadline-Ms", fmt.Sprint(Deadline.Milliseconds()))
	response, err := client.Do(request)
	if err != nil {
		return 0, nil
	}
	defer func() { _ = response.Body.Close() }()
	text, err := io.ReadAll(response.Body)
	if err != nil {
		return 0, nil
	}
	var decoded map[string]any
	_ = json.Unmarshal(text, &decoded)
	return response.StatusCode, decoded
}

// Submit hands a job in, with retries, and reports whether it was accepted.
func (c *Cell) Submit(path string, body any) bool {
	for try := range 8 {
		n := c.Nodes[(int(path[len(path)-1])+try)%len(c.Nodes)]
		code, _ := c.Call(n, http.MethodPost, path, body)
		c.Log.Add("POST %s at %s: %d", path, n.Name, code)
		if code == http.StatusOK {
			return true
		}
		time.Sleep(300 * time.Millisecond)
	}
	return false
}

// State asks for a job's state at each node in turn until one answers with 200 or 410.
func (c *Cell) State(path string) string {
	last := 0
	for _, n := range c.Nodes {
		code, body := c.Call(n, http.MethodGet, path, nil)
		last = code
		if code == http.StatusOK {
			state, _ := body["state"].(string)
			return state
		}
		if code == http.StatusGone {
			return "gone"
		}
	}
	return fmt.Sprintf("no state (last code %d)", last)
}

// Step returns a step of a job.
func Step(count int, cpu int64, estimatedMS int) map[string]any {
	return map[string]any{
		"count":       count,
		"cpu":         cpu,
		"memMb":       64,
		"estimatedMs": estimatedMS,
	}
}

// Job returns a submission whose tasks run for the given time; zero means until stopped.
func Job(duration time.Duration, steps ...map[string]any) map[string]any {
	spec := "endless"
	if duration > 0 {
		spec = fmt.Sprintf("ms=%d", duration.Milliseconds())
	}
	return map[string]any{
		"spec":  spec,
		"steps": steps,
	}
}

// ID returns the n-th job's ID.
func ID(n int) string {
	return fmt.Sprintf("%016x", n)
}
