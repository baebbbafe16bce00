package settings

import (
	"errors"
	"fmt"
	"maps"
	"net"
	"os"
	"slices"
	"strconv"
	"time"

	"github.com/goccy/go-yaml"
	"github.com/goccy/go-yaml/ast"
	"github.com/goccy/go-yaml/parser"
)

// Settings is the configuration of a node, read from its settings file.
type Settings struct {
	// Node is the node's name, which must be unique in the cluster.
	Node string `yaml:"node"`
	// Zone and Region are accepted but not used.
	Zone   string `yaml:"zone"`
	Region string `yaml:"region"`
	// IP is the address at which peers reach the node, on the first of PeerPorts.
	IP        string `yaml:"ip"`
	PeerPorts []int  `yaml:"peerPorts"`
	// Seeds are addresses of other nodes. Only the host is used; the port is the
	// first of PeerPorts.
	Seeds []string `yaml:"seeds"`
	// Secret is shared by all nodes of the cluster and has at least 16 bytes.
	Secret string `yaml:"secret"`
	// CallerAddress is the address (host:port) at which the node listens for callers,
	// and ReadyAddress that at which it answers the load balancer's readiness checks.
	CallerAddress string `yaml:"callerAddress"`
	ReadyAddress  string `yaml:"readyAddress"`
	// MetricsPort is the port on IP that serves metrics, profiles and the reasons why
	// a job waits; zero disables it.
	MetricsPort int `yaml:"metricsPort"`
	// StoreAddress and AdvisorAddress are the addresses (host:port) of the store and of
	// the policy service.
	StoreAddress   string `yaml:"storeAddress"`
	AdvisorAddress string `yaml:"advisorAddress"`
	// ProcessorShare is the fraction of a core that the process may use, and
	// ProcessorSpeed the speed of that core relative to the usual speed. Zero means 1.
	ProcessorShare float64 `yaml:"processorShare"`
	ProcessorSpeed float64 `yaml:"processorSpeed"`
	// MemoryMB is the memory that the process may use, in MiB, LinkMbps the capacity of its link
	// in Mbit/s, and Descriptors the number of file descriptors that it may open. Zero means that
	// the key is missing or empty and sets no limit.
	MemoryMB    int64   `yaml:"memoryMB"`
	LinkMbps    float64 `yaml:"linkMbps"`
	Descriptors int     `yaml:"descriptors"`
	// These limit what clients outside their limits make the node hold; zero means the default.
	// ClientMemoryMB and PeerMemoryMB are in MiB: for connections and unfinished requests of
	// clients, and for requests that other nodes pass on. ClientBytesPerSecond is the least rate
	// of a request's body, ClientStallSeconds how long a client may make no progress beyond that,
	// ClientHeaderSeconds how long a request's head may take, at any address, SocketBufferBytes
	// what the kernel may hold for a connection each way, and PeerHandshakes the number of peers that have
	// not proved the secret. Those of readiness checks and of the metrics port are for these alone, in
	// MiB as well; MetricsRequests is the number of requests that are served at once.
	ClientMemoryMB       float64 `yaml:"clientMemoryMB"`
	ClientConnections    int     `yaml:"clientConnections"`
	ClientHeaderBytes    int     `yaml:"clientHeaderBytes"`
	ClientBytesPerSecond int64   `yaml:"clientBytesPerSecond"`
	ClientStallSeconds   float64 `yaml:"clientStallSeconds"`
	ClientHeaderSeconds  float64 `yaml:"clientHeaderSeconds"`
	SocketBufferBytes    int     `yaml:"socketBufferBytes"`
	ReadyConnections     int     `yaml:"readyConnections"`
	ReadyMemoryMB        float64 `yaml:"readyMemoryMB"`
	ReadyHeaderBytes     int     `yaml:"readyHeaderBytes"`
	MetricsConnections   int     `yaml:"metricsConnections"`
	MetricsMemoryMB      float64 `yaml:"metricsMemoryMB"`
	MetricsHeaderBytes   int     `yaml:"metricsHeaderBytes"`
	MetricsRequests      int     `yaml:"metricsRequests"`
	PeerMemoryMB         float64 `yaml:"peerMemoryMB"`
	PeerHandshakes       int     `yaml:"peerHandshakes"`
	// JobStateRetentionSeconds is how long the state of an ended job is kept; zero means
	// 120.
	JobStateRetentionSeconds float64 `yaml:"statusSeconds"`
	// MaxWorkerLeaseMillis is the longest worker lease that workers grant, in
	// milliseconds; zero means 10,000.
	MaxWorkerLeaseMillis int64 `yaml:"maxHoldMillis"`
	// ChangeInForceMillis is the time after its acknowledgement within which a change of the
	// agreement has to be in force, in milliseconds; zero means 2,500.
	ChangeInForceMillis int64 `yaml:"changeInForceMillis"`
	// EvacuationInForceMillis is the time after its acknowledgement from which no task starts in
	// an evacuated failure domain, in milliseconds; zero means that there are no evacuations.
	EvacuationInForceMillis int64 `yaml:"evacuationInForceMillis"`
	// GraceSeconds is the time from the request to stop the process until it is
	// killed; zero means 6.
	GraceSeconds float64 `yaml:"graceSeconds"`
	// Interference says whether tasks are kept apart that slow each other down on one worker.
	Interference Interference `yaml:"interference"`
}

// Interference is how the owner treats tasks that slow each other down on one worker.
type Interference struct {
	// Enabled lets the owner learn which kinds of tasks do and prefer to place them apart.
	Enabled bool `yaml:"enabled"`
}

// Read returns the validated settings of the file. The error is that of reading the file
// or of Parse.
func Read(path string) (Settings, error) {
	var s Settings
	text, err := os.ReadFile(path)
	if err != nil {
		return s, fmt.Errorf("settings: %w", err)
	}
	return Parse(text)
}

// Parse returns the validated settings of the YAML text. Malformed text and an unknown
// key are errors; otherwise the error joins those of all invalid values.
func Parse(text []byte) (Settings, error) {
	var s Settings
	if err := yaml.UnmarshalWithOptions(text, &s, yaml.Strict()); err != nil {
		return s, fmt.Errorf("settings: %w", err)
	}
	return s, errors.Join(s.validate(), validateLimits(text))
}

// limits are the values that a limit can have, by key: of the process, and of its clients and peers.
// A node below the least
// memory or number of descriptors cannot serve, and one with a slower link cannot send a hello
// in time.
var limits = map[string]struct{ least, most float64 }{
	"memoryMB":    {least: 32, most: 1 << 24},
	"linkMbps":    {least: 0.1, most: 1e6},
	"descriptors": {least: 256, most: 1 << 26},

	"clientMemoryMB":       {least: 2, most: 1 << 24},
	"clientConnections":    {least: 16, most: 1 << 26},
	"clientHeaderBytes":    {least: 1024, most: 1 << 20},
	"clientBytesPerSecond": {least: 1, most: 1 << 30},
	"clientStallSeconds":   {least: 0.1, most: 3600},
	"clientHeaderSeconds":  {least: 0.1, most: 3600},
	"socketBufferBytes":    {least: 4 << 10, most: 1 << 28},
	"readyConnections":     {least: 4, most: 1 << 20},
	"readyMemoryMB":        {least: 0.5, most: 1 << 24},
	"readyHeaderBytes":     {least: 256, most: 1 << 20},
	"metricsConnections":   {least: 4, most: 1 << 20},
	"metricsMemoryMB":      {least: 0.5, most: 1 << 24},
	"metricsHeaderBytes":   {least: 256, most: 1 << 20},
	"metricsRequests":      {least: 1, most: 1 << 10},
	"peerMemoryMB":         {least: 2, most: 1 << 24},
	"peerHandshakes":       {least: 8, most: 1 << 20},
}

// validateLimits returns an error that names line and key of each limit in the YAML text that is
// not a number in its range. A missing or empty limit is valid.
func validateLimits(text []byte) error {
	file, err := parser.ParseBytes(text, 0)
	if err != nil {
		return fmt.Errorf("settings: %w", err)
	}
	var problems []error
	for _, key := range slices.Sorted(maps.Keys(limits)) {
		path, err := yaml.PathString("$." + key)
		if err != nil {
			return fmt.Errorf("settings: %w", err)
		}
		node, err := path.FilterFile(file)
		if err != nil || node == nil || node.Type() == ast.NullType {
			continue
		}
		value, err := strconv.ParseFloat(node.String(), 64)
		if l := limits[key]; err != nil || !(value >= l.least && value <= l.most) {
			problems = append(problems, fmt.Errorf("settings: line %d: %s: %s is not between %g and %g",
				node.GetToken().Position.Line, key, node, l.least, l.most))
		}
	}
	return errors.Join(problems...)
}

func (s Settings) validate() error {
	var problems []error
	for name, address := range map[string]string{
		"callerAddress": s.CallerAddress,
		"readyAddress":  s.ReadyAddress,
		"storeAddress":  s.StoreAddress,
	} {
		if _, _, err := net.SplitHostPort(address); err != nil {
			problems = append(problems, fmt.Errorf("settings: %s: %w", name, err))
		}
	}
	if s.Node == "" {
		problems = append(problems, errors.New("settings: node is missing"))
	}
	if net.ParseIP(s.IP) == nil {
		problems = append(problems, fmt.Errorf("settings: ip: %q is not an IP address", s.IP))
	}
	if len(s.PeerPorts) == 0 {
		problems = append(problems, errors.New("settings: peerPorts is missing"))
	}
	return errors.Join(problems...)
}

// Cores returns the processor capacity that the process may use, in cores of the usual
// speed.
func (s Settings) Cores() float64 {
	cores := 1.0
	if s.ProcessorShare > 0 {
		cores *= s.ProcessorShare
	}
	if s.ProcessorSpeed > 0 {
		cores *= s.ProcessorSpeed
	}
	return cores
}

// PeerAddress returns the address (IP:port) at which peers reach the node. PeerPorts must
// not be empty, as Parse ensures.
func (s Settings) PeerAddress() string {
	return net.JoinHostPort(s.IP, strconv.Itoa(s.PeerPorts[0]))
}

// SeedAddresses returns the peer addresses of the seeds. Seeds that are not of the
// form host:port are skipped. PeerPorts must not be empty, as Parse ensures.
func (s Settings) SeedAddresses() []string {
	var addresses []string
	for _, seed := range s.Seeds {
		host, _, err := net.SplitHostPort(seed)
		if err != nil {
			continue
		}
		addresses = append(addresses, net.JoinHostPort(host, strconv.Itoa(s.PeerPorts[0])))
	}
	return addresses
}

// workerLeaseFraction is the worker lease as a fraction of the longest that workers
// grant. The lease is long enough to outlast most network outages of some seconds,
// and short enough to restart lost tasks within their objective.
const workerLeaseFraction = 0.65

// WorkerLease returns how long a worker keeps tasks running without hearing from the owner,
// counted from when the next poll is due.
func (s Settings) WorkerLease() time.Duration {
	return time.Duration(workerLeaseFraction * float64(s.MaxWorkerLease()))
}

// MaxWorkerLease returns the longest worker lease that workers grant.
func (s Settings) MaxWorkerLease() time.Duration {
	const defaultMaxLease = 10 * time.Second
	if s.MaxWorkerLeaseMillis <= 0 {
		return defaultMaxLease
	}
	return time.Duration(s.MaxWorkerLeaseMillis) * time.Millisecond
}

// ChangeInForce returns the time after its acknowledgement within which a change of the
// agreement has to be in force.
func (s Settings) ChangeInForce() time.Duration {
	const defaultChangeInForce = 2500 * time.Millisecond
	if s.ChangeInForceMillis <= 0 {
		return defaultChangeInForce
	}
	return time.Duration(s.ChangeInForceMillis) * time.Millisecond
}

// EvacuationInForce returns the time after its acknowledgement from which no task starts in an
// evacuated failure domain; zero means that there are no evacuations.
func (s Settings) EvacuationInForce() time.Duration {
	return time.Duration(max(0, s.EvacuationInForceMillis)) * time.Millisecond
}

// JobStateRetention returns how long the state of an ended job is kept.
func (s Settings) JobStateRetention() time.Duration {
	const defaultRetention = 120 * time.Second
	if s.JobStateRetentionSeconds <= 0 {
		return defaultRetention
	}
	return time.Duration(s.JobStateRetentionSeconds * float64(time.Second))
}

// GraceTime returns the time from the request to stop the process until it is killed.
func (s Settings) GraceTime() time.Duration {
	const defaultGrace = 6 * time.Second
	if s.GraceSeconds <= 0 {
		return defaultGrace
	}
	return time.Duration(s.GraceSeconds * float64(time.Second))
}
