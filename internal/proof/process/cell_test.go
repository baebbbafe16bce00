package process

import (
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/citronbay/citronbay/internal/api/caller"
	"github.com/citronbay/citronbay/internal/api/operator"
	apiplatform "github.com/citronbay/citronbay/internal/api/platform"
	apiupstream "github.com/citronbay/citronbay/internal/api/upstream"
	"github.com/citronbay/citronbay/internal/command/standin"
	"github.com/citronbay/citronbay/internal/standin/platform"
	"github.com/citronbay/citronbay/internal/standin/proxy"
	"github.com/citronbay/citronbay/internal/standin/upstream"
)

const (
	operatorKey = "operator-key-of-the-tests"
	service     = "lookup"
	// defaultTimeout bounds the wait for a condition without a specified limit.
	defaultTimeout = 30 * time.Second
)

// binary is the path of the citronbay program, which TestMain builds once.
var binary string

func TestMain(m *testing.M) {
	os.Exit(runTests(m))
}

func runTests(m *testing.M) int {
	dir, err := os.MkdirTemp("", "citronbay")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	defer func() { _ = os.RemoveAll(dir) }()
	binary = filepath.Join(dir, "citronbay")
	build := exec.Command("go", "build", "-o", binary, "github.com/citronbay/citronbay/cmd/citronbay")
	if output, err := build.CombinedOutput(); err != nil {
		fmt.Fprintln(os.Stderr, string(output))
		return 1
	}
	return m.Run()
}

// layout is the size and the settings of a cell under test; entries, workers
// and runners are counts for each failure domain.
type layout struct {
	domains []string
	// regions gives a domain's region; a domain that is absent is in ege.
	regions map[string]string
	entries int
	workers int
	runners int
	// isolatedKeys is the entries' setting of this name; empty means its default.
	isolatedKeys string
	// taskLease is the entries' setting of this name; zero means 5 s.
	taskLease time.Duration
	// extraEntryDomain is the domain with one entry more than the others.
	extraEntryDomain string
}

// productionSize returns the layout of the production cell that each customer runs:
// 3 domains, 7 entries, 51 workers and 51 runners.
func productionSize() layout {
	l := threeDomains()
	l.workers = 17
	l.runners = 17
	l.extraEntryDomain = "izmir-a"
	return l
}

func oneDomain() layout {
	return layout{
		domains: []string{"izmir-a"},
		entries: 2,
		workers: 2,
		runners: 2,
	}
}

func threeDomains() layout {
	return layout{
		domains: []string{"izmir-a", "manisa-b", "ankara-a"},
		regions: map[string]string{"ankara-a": "ic-anadolu"},
		entries: 2,
		workers: 2,
		runners: 1,
	}
}

// cell is a running cell: its entries are processes, its upstreams and its platform
// run within the test process.
type cell struct {
	t               testing.TB
	layout          layout
	dir             string
	platform        *platform.Server
	platformAddress string
	upstreams       map[string]*proxiedUpstream
	entries         map[string]*entryProcess
	entryNames      []string
	// peerProxies holds the UDP proxies by the names of the calling and the
	// called entry.
	peerProxies map[[2]string]*proxy.UDP
}

// proxiedUpstream is a stand-in for an upstream behind a proxy. The address of its vm
// is the proxy's.
type proxiedUpstream struct {
	vm    apiplatform.VM
	state *upstream.Upstream
	proxy *proxy.TCP
}

// The entries' ports are below the system's ephemeral range, so that no outgoing
// connection takes one while its entry restarts, and below the ports that the tests of
// package platform probe on all addresses at the same time.
const (
	firstPort = 2000
	portRange = 18000
)

// portOffset, modulo portRange, is added to firstPort to get the port tried last.
var portOffset atomic.Int64

// init derives the offset from the process id, so that test processes that run at the
// same time rarely try the same ports: consecutive ids start 97 ports apart.
func init() {
	portOffset.Store(int64(os.Getpid() * 97 % portRange))
}

// freeAddress returns a loopback address whose port is free for TCP and UDP.
func freeAddress(t testing.TB) string {
	t.Helper()
	for range portRange {
		address := fmt.Sprintf("127.0.0.1:%d", firstPort+portOffset.Add(1)%portRange)
		listener, err := net.Listen("tcp", address)
		if err != nil {
			continue
		}
		_ = listener.Close()
		socket, err := net.ListenPacket("udp", address)
		if err != nil {
			continue
		}
		_ = socket.Close()
		return address
	}
	t.Fatal("no port is free for TCP and UDP")
	return ""
}

// startCell starts the platform, upstreams and entries, and waits until each
// upstream is leased by an owner.
func startCell(t testing.TB, l layout) *cell {
	t.Helper()
	c := &cell{
		t:           t,
		layout:      l,
		dir:         t.TempDir(),
		platform:    platform.NewServer(),
		upstreams:   map[string]*proxiedUpstream{},
		entries:     map[string]*entryProcess{},
		peerProxies: map[[2]string]*proxy.UDP{},
	}
	address, closePlatform, err := standin.Serve("127.0.0.1:0", c.platform.Handler())
	assert.NilError(t, err)
	t.Cleanup(closePlatform)
	c.platformAddress = address
	for _, domain := range l.domains {
		for i := range l.workers {
			c.addUpstream(fmt.Sprintf("%s-worker-%d", domain, i), apiplatform.RoleWorker, domain)
		}
		for i := range l.runners {
			c.addUpstream(fmt.Sprintf("%s-runner-%d", domain, i), apiplatform.RoleRunner, domain)
		}
		entries := l.entries
		if domain == l.extraEntryDomain {
			entries++
		}
		for i := range entries {
			c.addEntry(fmt.Sprintf("%s-entry-%d", domain, i), domain)
		}
	}
	c.addPeerProxies()
	for _, name := range c.entryNames {
		c.startEntry(name)
	}
	c.awaitAllLeased()
	return c
}

func (c *cell) region(domain string) string {
	if region, ok := c.layout.regions[domain]; ok {
		return region
	}
	return "ege"
}

func (c *cell) addUpstream(name, role, domain string) *proxiedUpstream {
	state := upstream.New(standin.CapacityOf(role, apiupstream.Resources{
		MilliProcessors: 4000,
		MemoryBytes:     8 << 30,
		Accelerators:    1,
		Slots:           8,
	}))
	address, closeServer, err := standin.Serve("127.0.0.1:0", state.Handler())
	assert.NilError(c.t, err)
	c.t.Cleanup(closeServer)
	upstreamProxy, closeProxy, err := proxy.NewTCP(address)
	assert.NilError(c.t, err)
	c.t.Cleanup(closeProxy)
	vm := apiplatform.VM{
		Name:    name,
		Role:    role,
		Address: upstreamProxy.Address(),
		Domain:  domain,
		Region:  c.region(domain),
		Rack:    domain + "-rack",
		State:   apiplatform.StateLive,
	}
	if role == apiplatform.RoleRunner {
		vm.Service = service
	}
	u := &proxiedUpstream{
		vm:    vm,
		state: state,
		proxy: upstreamProxy,
	}
	c.upstreams[name] = u
	c.platform.SetVM(vm)
	return u
}

// eventually polls the condition until it returns nil, and fails the test after
// the limit.
func eventually(t testing.TB, limit time.Duration, what string, condition func() error) {
	t.Helper()
	deadline := time.Now().Add(limit)
	for {
		err := condition()
		if err == nil {
			return
		}
		if time.Now().After(deadline) {
			t.Fatalf("%s: condition not met within %s: %v", what, limit, err)
		}
		time.Sleep(20 * time.Millisecond)
	}
}

// awaitAllLeased waits until the owners together lease all upstreams.
func (c *cell) awaitAllLeased() {
	c.t.Helper()
	eventually(c.t, defaultTimeout, "owners", func() error {
		status, err := c.status(c.entryNames[0])
		if err != nil {
			return err
		}
		return c.checkAllLeased(status)
	})
}

func (c *cell) checkAllLeased(status operator.CellStatus) error {
	leased := 0
	for _, s := range status.Shards {
		for _, u := range s.Upstreams {
			if u.Leased {
				leased++
			}
		}
	}
	if leased != len(c.upstreams) {
		return fmt.Errorf("%d of %d upstreams are leased", leased, len(c.upstreams))
	}
	return nil
}

// owner returns the name of the entry that owns the domain's shard, and waits until
// there is one.
func (c *cell) owner(domain string) string {
	c.t.Helper()
	var owner string
	eventually(c.t, defaultTimeout, "owner of "+domain, func() error {
		for _, name := range c.entryNames {
			status, err := c.status(name)
			if err != nil {
				continue
			}
			for _, s := range status.Shards {
				if s.Shard == domain {
					owner = s.Owner
					return nil
				}
			}
		}
		return fmt.Errorf("none")
	})
	return owner
}

// otherEntry returns the first entry of the domain that is not the excluded one;
// an empty name excludes none.
func (c *cell) otherEntry(domain, excluded string) string {
	for _, name := range c.entryNames {
		if name != excluded && c.entries[name].domain == domain {
			return name
		}
	}
	c.t.Fatalf("domain %s has no entry besides %s", domain, excluded)
	return ""
}

// createTeam creates a team with a share of 1 and the given cap, grants it a key that
// reaches all entries, and returns the key and its id.
func (c *cell) createTeam(name string, teamCap int64) (key, keyID string) {
	c.t.Helper()
	share := int64(1)
	var response operator.ChangeResponse
	assert.NilError(c.t, c.callOperator(c.entryNames[0], http.MethodPost, "/v1/operator/teams", operator.TeamRequest{
		Name:  name,
		Share: &share,
		Cap:   &teamCap,
	}, &response))
	assert.NilError(c.t, c.callOperator(c.entryNames[0], http.MethodPost, "/v1/operator/teams/"+name+"/keys", nil, &response))
	assert.Equal(c.t, len(response.Unreached), 0)
	return response.Token, response.KeyID
}

// client returns a caller's client for the named entry.
func (c *cell) client(name, key string) *caller.Client {
	client, closeClient := caller.NewClient(c.entries[name].callerAddress, key)
	c.t.Cleanup(closeClient)
	return client
}

// setDomainPartitioned starts or ends a partition between the domain's entries and
// those of other domains. With includePlatform, it also cuts the domain's entries off
// from the platform or reconnects them.
func (c *cell) setDomainPartitioned(domain string, partitioned, includePlatform bool) {
	for ends, peerProxy := range c.peerProxies {
		if (c.entries[ends[0]].domain == domain) != (c.entries[ends[1]].domain == domain) {
			peerProxy.SetSilent(partitioned)
		}
	}
	for _, e := range c.entries {
		if e.domain == domain && includePlatform {
			e.platformProxy.SetDisconnected(partitioned)
		}
	}
}
