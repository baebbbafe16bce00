// Command citronbay runs the cluster scheduler's processes, and is its command-line
// client for operators and callers.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/alecthomas/kingpin/v2"

	"github.com/citronbay/citronbay/internal/command/entry"
	"github.com/citronbay/citronbay/internal/command/operator"
	"github.com/citronbay/citronbay/internal/command/standin"
	"github.com/citronbay/citronbay/platform"
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	os.Exit(run(ctx, os.Args[1:]))
}

// run executes the command line and returns the exit code. It parses the arguments
// before it executes them, so that an error in parsing can have an exit code of its own.
func run(ctx context.Context, args []string) int {
	app := kingpin.New("citronbay", "A cluster scheduler for services, batch jobs, gang-scheduled (all-at-once) jobs and quick requests.")
	app.Terminate(nil) // run returns the exit code; kingpin must not exit the process
	entry.Register(ctx, app)
	standin.Register(ctx, app)
	operator.Register(ctx, app, os.Stdout)
	platform.Register(ctx, app)
	if _, err := app.ParseContext(args); err != nil {
		fmt.Fprintln(os.Stderr, "citronbay:", err)
		return operator.ExitUsage
	}
	if _, err := app.Parse(args); err != nil {
		fmt.Fprintln(os.Stderr, "citronbay:", err)
		return operator.ExitCode(err)
	}
	return 0
}
