package settings

import (
	"errors"
	"fmt"
	"net"
	"os"
	"strconv"
	"time"

	"github.com/goccy/go-yaml"
)

// Settings are all that a node is told at its start.
type Settings struct {
	Node   string `yaml:"node"`
	Zone   string `yaml:"zone"`
	Region string `yaml:"region"`
	// IP is the node's address for its peers, on the first of PeerPorts.
	IP        string `yaml:"ip"`
	PeerPorts []int  `yaml:"peerPorts"`
	// Seeds are addresses of other nodes; only their IPs matter.
	Seeds []string `yaml:"seeds"`
	// Secret is known to all nodes of the cluster, at least 16 bytes.
	Secret string `yaml:"secret"`
	// CallerAddress and ReadyAddress are where callers and the balancer connect.
	CallerAddress string `yaml:"callerAddress"`
	ReadyAddress  string `yaml:"readyAddress"`
	// MetricsPort serves the metrics on the node's IP; zero serves none.
	MetricsPort    int    `yaml:"metricsPort"`
	StoreAddress   string `yaml:"storeAddress"`
	AdvisorAddress string `yaml:"advisorAddress"`
	// ProcessorShare is the share of a core that the process may use, and
	// ProcessorSpeed how many times as fast as usual that core is.
	ProcessorShare float64 `yaml:"processorShare"`
	ProcessorSpeed float64 `yaml:"processorSpeed"`
	// MemoryMB is what the process may use.
	MemoryMB int64 `yaml:"memoryMB"`
	// StatusSeconds is how long ended jobs are remembered.
	StatusSeconds float64 `yaml:"statusSeconds"`
	// MaxHoldMillis is the longest hold that workers grant.
	MaxHoldMillis int64 `yaml:"maxHoldMillis"`
	// GraceSeconds is the time between the order to stop and the kill.
	GraceSeconds float64 `yaml:"graceSeconds"`
}

// Read returns the checked settings of the file; an unknown name is an error.
func Read(path string) (Settings, error) {
	var s Settings
	text, err := os.ReadFile(path)
	if err != nil {
		return s, fmt.Errorf("settings: %w", err)
	}
	return Parse(text)
}

// Parse returns the checked settings of the text.
func Parse(text []byte) (Settings, error) {
	var s Settings
	if err := yaml.UnmarshalWithOptions(text, &s, yaml.Strict()); err != nil {
		return s, fmt.Errorf("settings: %w", err)
	}
	return s, s.check()
}

func (s Settings) check() error {
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
		problems = append(problems, fmt.Errorf("settings: ip: %q is no IP number", s.IP))
	}
	if len(s.PeerPorts) == 0 {
		problems = append(problems, errors.New("settings: peerPorts is missing"))
	}
	return errors.Join(problems...)
}

// Cores returns the processor time that the process may use, in cores; one when
// the settings do not say.
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

// PeerAddress returns the node's address for its peers.
func (s Settings) PeerAddress() string {
	return net.JoinHostPort(s.IP, strconv.Itoa(s.PeerPorts[0]))
}

// SeedAddresses returns the peers' addresses of the seeds.
func (s Settings) SeedAddresses() []string {
	var list []string
	for _, seed := range s.Seeds {
		host, _, err := net.SplitHostPort(seed)
		if err != nil {
			continue
		}
		list = append(list, net.JoinHostPort(host, strconv.Itoa(s.PeerPorts[0])))
	}
	return list
}

// maxHoldShare keeps the hold below the workers' bound: long enough for most
// cuts of some seconds, short enough to restart lost tasks within their objective.
const maxHoldShare = 0.65

// HoldTime returns how long workers keep tasks running without a word.
func (s Settings) HoldTime() time.Duration {
	const defaultHold = 10 * time.Second
	limit := time.Duration(s.MaxHoldMillis) * time.Millisecond
	if limit <= 0 {
		limit = defaultHold
	}
	return time.Duration(maxHoldShare * float64(limit))
}

// StatusTime returns how long ended jobs are remembered.
func (s Settings) StatusTime() time.Duration {
	const defaultStatus = 120 * time.Second
	if s.StatusSeconds <= 0 {
		return defaultStatus
	}
	return time.Duration(s.StatusSeconds * float64(time.Second))
}

// GraceTime returns the time between the order to stop and the kill.
func (s Settings) GraceTime() time.Duration {
	const defaultGrace = 6 * time.Second
	if s.GraceSeconds <= 0 {
		return defaultGrace
	}
	return time.Duration(s.GraceSeconds * float64(time.Second))
}
