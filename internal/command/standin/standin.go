package standin

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"time"

	"github.com/alecthomas/kingpin/v2"
	"github.com/goccy/go-yaml"

	apiplatform "github.com/citronbay/citronbay/internal/api/platform"
	apiupstream "github.com/citronbay/citronbay/internal/api/upstream"
	"github.com/citronbay/citronbay/internal/standin/platform"
	"github.com/citronbay/citronbay/internal/standin/upstream"
)

// readHeaderTimeout bounds the reading of a request's headers by a stand-in.
const readHeaderTimeout = time.Second

// Serve serves the handler on the address (IP:port) in the background. It returns
// the address that it listens on and a function that stops it, or an error if it
// cannot listen.
func Serve(address string, handler http.Handler) (string, func(), error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return "", nil, fmt.Errorf("standin: listen on %s: %w", address, err)
	}
	server := &http.Server{
		Handler:           handler,
		ReadHeaderTimeout: readHeaderTimeout,
	}
	go func() { _ = server.Serve(listener) }()
	return listener.Addr().String(), func() { _ = server.Close() }, nil
}

// directoryFile is a YAML file with the initial VMs of a platform's directory.
type directoryFile struct {
	VMs []apiplatform.VM `yaml:"vms"`
}

// Register adds the commands that run the stand-ins to app. They serve until ctx is
// done.
func Register(ctx context.Context, app *kingpin.Application) {
	command := app.Command("standin", "Run a stand-in for the platform or an upstream.")
	registerPlatform(ctx, command)
	registerUpstream(ctx, command)
}

func registerPlatform(ctx context.Context, parent *kingpin.CmdClause) {
	command := parent.Command("platform", "Run a stand-in for the platform: its store and its directory.")
	address := command.Flag("address", "IP address and port to serve on.").Default("127.0.0.1:7000").String()
	directory := command.Flag("directory", "YAML file whose list vms holds the initial VMs of the directory.").String()
	command.Action(func(*kingpin.ParseContext) error {
		server := platform.NewServer()
		if *directory != "" {
			if err := loadDirectory(server, *directory); err != nil {
				return err
			}
		}
		return serveUntilDone(ctx, *address, server.Handler())
	})
}

// loadDirectory adds the VMs of the directory file to the server's directory.
func loadDirectory(server *platform.Server, file string) error {
	content, err := os.ReadFile(file)
	if err != nil {
		return fmt.Errorf("standin: read directory file: %w", err)
	}
	var directory directoryFile
	if err := yaml.UnmarshalWithOptions(content, &directory, yaml.Strict(), yaml.UseJSONUnmarshaler()); err != nil {
		return fmt.Errorf("standin: decode directory file %s: %w", file, err)
	}
	for _, vm := range directory.VMs {
		server.SetVM(vm)
	}
	return nil
}

func registerUpstream(ctx context.Context, parent *kingpin.CmdClause) {
	command := parent.Command("upstream", "Run a stand-in for a worker or a runner.")
	vm := apiplatform.VM{State: apiplatform.StateLive}
	command.Flag("name", "Name of the VM.").Required().StringVar(&vm.Name)
	command.Flag("role", "worker or runner.").Default(apiplatform.RoleWorker).EnumVar(&vm.Role, apiplatform.RoleWorker, apiplatform.RoleRunner)
	command.Flag("address", "IP address and port to serve on.").Default("127.0.0.1:0").StringVar(&vm.Address)
	command.Flag("domain", "Failure domain.").Required().StringVar(&vm.Domain)
	command.Flag("region", "Region.").Required().StringVar(&vm.Region)
	command.Flag("rack", "Rack.").StringVar(&vm.Rack)
	command.Flag("service", "Service that a runner offers.").StringVar(&vm.Service)
	var capacity apiupstream.Resources
	command.Flag("processors-milli", "Processors of a worker, in thousandths.").Default("64000").Int64Var(&capacity.MilliProcessors)
	command.Flag("memory-bytes", "Memory of a worker, in bytes.").Default("274877906944").Int64Var(&capacity.MemoryBytes)
	command.Flag("accelerators", "Accelerators.").Default("0").Int64Var(&capacity.Accelerators)
	command.Flag("slots", "Number of requests that a runner runs at a time.").Default("8").Int64Var(&capacity.Slots)
	platformAddress := command.Flag("platform", "IP address and port of a stand-in platform, to whose directory this VM is added.").String()
	command.Action(func(*kingpin.ParseContext) error {
		address, closeServer, err := Serve(vm.Address, upstream.New(CapacityOf(vm.Role, capacity)).Handler())
		if err != nil {
			return err
		}
		defer closeServer()
		vm.Address = address
		if *platformAddress != "" {
			if err := RegisterVM(*platformAddress, vm); err != nil {
				return err
			}
		}
		<-ctx.Done()
		return nil
	})
}

// CapacityOf returns the part of the capacity that an upstream of the role offers: a
// runner offers only its slots, a worker everything else.
func CapacityOf(role string, capacity apiupstream.Resources) apiupstream.Resources {
	if role == apiplatform.RoleRunner {
		return apiupstream.Resources{Slots: capacity.Slots}
	}
	capacity.Slots = 0
	return capacity
}

// RegisterVM adds the VM to the directory of the stand-in platform at the address, or
// replaces it there.
func RegisterVM(platformAddress string, vm apiplatform.VM) error {
	return Post(platformAddress, "/standin/vms", vm)
}

// Post sends a message as JSON to a stand-in's control interface. A response other
// than 200 is an error.
func Post(address, path string, message any) error {
	encoded, err := json.Marshal(message)
	if err != nil {
		return err
	}
	response, err := http.Post("http://"+address+path, "application/json", bytes.NewReader(encoded))
	if err != nil {
		return fmt.Errorf("standin %s: %s: %w", address, path, err)
	}
	_ = response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return fmt.Errorf("standin %s: %s: %w", address, path, errors.New(response.Status))
	}
	return nil
}

func serveUntilDone(ctx context.Context, address string, handler http.Handler) error {
	_, closeServer, err := Serve(address, handler)
	if err != nil {
		return err
	}
	defer closeServer()
	<-ctx.Done()
	return nil
}
