package entry

import (
	"context"
	"crypto/rand"
	"crypto/sha256"
	"encoding/hex"
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"time"

	"github.com/alecthomas/kingpin/v2"

	"github.com/citronbay/citronbay/internal/api/caller"
	"github.com/citronbay/citronbay/internal/api/operator"
	apiplatform "github.com/citronbay/citronbay/internal/api/platform"
	apiupstream "github.com/citronbay/citronbay/internal/api/upstream"
	"github.com/citronbay/citronbay/internal/command/standin"
	"github.com/citronbay/citronbay/internal/entry/node"
	"github.com/citronbay/citronbay/internal/entry/settings"
	"github.com/citronbay/citronbay/internal/standin/platform"
	"github.com/citronbay/citronbay/internal/standin/upstream"
)

// Properties of the development cell, which has one entry, its upstreams in the same
// failure domain, and one team. The team's cap is a number of tasks.
const (
	devDomain       = "dev-a"
	devRegion       = "dev"
	devService      = "echo"
	devTeam         = "demo"
	devOperator     = "dev"
	devWorkers      = 3
	devRunners      = 2
	devTeamShare    = 1
	devTeamCap      = 100
	devReadyTimeout = 20 * time.Second // until the cell accepts work
	demoTimeout     = 60 * time.Second // for all work of the demo
)

func registerDev(ctx context.Context, app *kingpin.Application) {
	command := app.Command("dev", "Run a small development cell in one process: in-memory platform, simulated workers and runners, one entry.")
	demo := command.Flag("demo", "Run a request and a job of each kind, print their fates, and exit.").Bool()
	command.Action(func(*kingpin.ParseContext) error {
		return runDev(ctx, *demo)
	})
}

// devCell holds the addresses of the development cell's entry and platform, and the
// keys of its operator and team.
type devCell struct {
	callerAddress   string
	platformAddress string
	operatorKey     string
	teamKey         string
}

func runDev(ctx context.Context, demo bool) error {
	ctx, stop := context.WithCancel(ctx)
	defer stop()
	cell, nodeResult, cleanUp, err := startDev(ctx)
	if err != nil {
		return err
	}
	defer cleanUp()
	fmt.Printf("entry      %s\nplatform   %s\noperator   %s\nteam       %s\nkey        %s\n\n", cell.callerAddress, cell.platformAddress, cell.operatorKey, devTeam, cell.teamKey)
	fmt.Printf("%s job submit --address %s --key %s --kind batch --tasks 3 --run 100ms --wait\n\n", executablePath(), cell.callerAddress, cell.teamKey)
	if !demo {
		return <-nodeResult
	}
	err = runDemo(ctx, cell)
	stop()
	return errors.Join(err, <-nodeResult)
}

// executablePath returns the path of this program, so that the printed example
// command can be pasted into a shell.
func executablePath() string {
	path, err := os.Executable()
	if err != nil {
		return "citronbay"
	}
	return path
}

// startDev starts the cell and returns once it accepts work. The channel nodeResult
// delivers the result of the entry's Run; cleanUp stops all parts.
func startDev(ctx context.Context) (cell devCell, nodeResult <-chan error, cleanUp func(), err error) {
	server := platform.NewServer()
	platformAddress, closePlatform, err := standin.Serve("127.0.0.1:0", server.Handler())
	if err != nil {
		return cell, nil, nil, err
	}
	closers := []func(){closePlatform}
	cleanUp = func() {
		for _, c := range closers {
			c()
		}
	}
	for _, vm := range devVMs() {
		address, closeUpstream, err := standin.Serve("127.0.0.1:0", upstream.New(devCapacity(vm.Role)).Handler())
		if err != nil {
			return cell, nil, cleanUp, err
		}
		closers = append(closers, closeUpstream)
		vm.Address = address
		server.SetVM(vm)
	}
	cell = devCell{
		platformAddress: platformAddress,
		operatorKey:     randomHex(),
	}
	loaded, err := devSettings(&cell)
	if err != nil {
		return cell, nil, cleanUp, err
	}
	n, closeNode, err := node.New(loaded, newLogger(os.Stderr, "warn"))
	if err != nil {
		return cell, nil, cleanUp, err
	}
	closers = append(closers, closeNode)
	result := make(chan error, 1)
	go func() { result <- n.Run(ctx) }()
	cell.teamKey, err = createTeam(ctx, cell)
	return cell, result, cleanUp, err
}

func devVMs() []apiplatform.VM {
	var vms []apiplatform.VM
	for i := range devWorkers + devRunners {
		vm := apiplatform.VM{
			Name:   fmt.Sprintf("worker-%d", i+1),
			Role:   apiplatform.RoleWorker,
			Domain: devDomain,
			Region: devRegion,
			Rack:   "rack-1",
			State:  apiplatform.StateLive,
		}
		if i >= devWorkers {
			vm.Name = fmt.Sprintf("runner-%d", i-devWorkers+1)
			vm.Role = apiplatform.RoleRunner
			vm.Service = devService
		}
		vms = append(vms, vm)
	}
	return vms
}

func devCapacity(role string) apiupstream.Resources {
	return standin.CapacityOf(role, apiupstream.Resources{
		MilliProcessors: 4000,
		MemoryBytes:     8 << 30,
		Slots:           8,
	})
}

// randomHex returns 24 random bytes in hexadecimal.
func randomHex() string {
	raw := make([]byte, 24)
	_, _ = rand.Read(raw)
	return hex.EncodeToString(raw)
}

// devSettings returns the entry's settings with free loopback ports, and sets
// cell.callerAddress.
func devSettings(cell *devCell) (settings.Entry, error) {
	tcp, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return settings.Entry{}, err
	}
	defer func() { _ = tcp.Close() }()
	udp, err := net.ListenPacket("udp", "127.0.0.1:0")
	if err != nil {
		return settings.Entry{}, err
	}
	defer func() { _ = udp.Close() }()
	cell.callerAddress = tcp.Addr().String()
	sum := sha256.Sum256([]byte(cell.operatorKey))
	entrySettings := settings.Default()
	entrySettings.Name = "entry-1"
	entrySettings.Domain = devDomain
	entrySettings.Region = devRegion
	entrySettings.CallerAddress = cell.callerAddress
	entrySettings.PeerAddress = udp.LocalAddr().String()
	entrySettings.PlatformAddress = cell.platformAddress
	entrySettings.PeerSecret = randomHex()
	entrySettings.Operators = []settings.Operator{{
		Name:    devOperator,
		KeyHash: hex.EncodeToString(sum[:]),
	}}
	return entrySettings, nil
}

// createTeam creates the team and a key for it, waits until the entry accepts work,
// and returns the key's bearer token.
func createTeam(ctx context.Context, cell devCell) (string, error) {
	ctx, cancel := context.WithTimeout(ctx, devReadyTimeout)
	defer cancel()
	client, closeClient := caller.NewClient(cell.callerAddress, cell.operatorKey)
	defer closeClient()
	share, teamCap := int64(devTeamShare), int64(devTeamCap)
	request := operator.TeamRequest{
		Name:  devTeam,
		Share: &share,
		Cap:   &teamCap,
	}
	var response operator.ChangeResponse
	err := retry(ctx, func() error {
		return client.Do(ctx, http.MethodPost, "/v1/operator/teams", request, &response)
	})
	if err != nil {
		return "", err
	}
	if err := client.Do(ctx, http.MethodPost, "/v1/operator/teams/"+devTeam+"/keys", nil, &response); err != nil {
		return "", err
	}
	return response.Token, retry(ctx, func() error { return checkReady(ctx, cell) })
}

// checkReady returns an error unless the entry holds the leases of all upstreams.
func checkReady(ctx context.Context, cell devCell) error {
	client, closeClient := caller.NewClient(cell.callerAddress, cell.operatorKey)
	defer closeClient()
	var status operator.CellStatus
	if err := client.Do(ctx, http.MethodGet, "/v1/operator/cell", nil, &status); err != nil {
		return err
	}
	leased := 0
	for _, s := range status.Shards {
		for _, u := range s.Upstreams {
			if u.Leased {
				leased++
			}
		}
	}
	if leased < devWorkers+devRunners {
		return fmt.Errorf("%d of %d upstreams are leased", leased, devWorkers+devRunners)
	}
	return nil
}

// retry calls try every 50 ms until it succeeds. If ctx is done first, it returns the
// error of ctx joined with that of the last call.
func retry(ctx context.Context, try func() error) error {
	for {
		err := try()
		if err == nil {
			return nil
		}
		select {
		case <-ctx.Done():
			return errors.Join(ctx.Err(), err)
		case <-time.After(50 * time.Millisecond):
		}
	}
}
