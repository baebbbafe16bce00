package operator

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/alecthomas/kingpin/v2"

	"github.com/citronbay/citronbay/internal/api/caller"
)

// Exit codes of the command line.
const (
	// ExitFailure means that the command or the work failed.
	ExitFailure = 1
	// ExitUsage means that the command line has an unknown command or flag, a flag
	// without its value, or an extra argument. A missing command, argument or
	// required flag, or an invalid value, gives ExitFailure.
	ExitUsage = 2
	// ExitNotRun means that the work did not run and never will.
	ExitNotRun = 3
	// ExitUnknown means that the work may have run or may still run.
	ExitUnknown = 4
	// ExitNoResponse means that no complete response came from the entry; the call
	// may have taken effect.
	ExitNoResponse = 5
	// ExitInvalidBody means that the body of a request to be explained is not valid.
	ExitInvalidBody = 6
	// ExitNoRoute means that the agreement in force has no such route or team.
	ExitNoRoute = 7
	// ExitNoOwner means that the asked node neither owns the shard nor reaches its owner.
	ExitNoOwner = 8
)

// fateError reports that work did not run, failed or has an unknown outcome.
type fateError struct {
	fate   caller.Fate
	reason string
}

// Error returns the fate and its reason.
func (e *fateError) Error() string {
	return fmt.Sprintf("fate %s: %s", e.fate, e.reason)
}

// ExitCode returns the exit code for the error; zero for nil.
func ExitCode(err error) int {
	var fate *fateError
	var status *caller.StatusError
	var preview *previewError
	switch {
	case err == nil:
		return 0
	case errors.As(err, &preview):
		return preview.exitCode
	case errors.As(err, &fate) && fate.fate == caller.FateNotRun,
		errors.As(err, &status) && status.Problem.Fate == caller.FateNotRun:
		return ExitNotRun
	case errors.As(err, &fate) && fate.fate == caller.FateUnknown:
		return ExitUnknown
	case errors.Is(err, caller.ErrNoResponse):
		return ExitNoResponse
	default:
		return ExitFailure
	}
}

// session holds what a command needs to call an entry and print the response: the
// values of the shared flags, the writer and the context.
type session struct {
	address *string
	key     *string
	output  *string
	timeout *time.Duration
	out     io.Writer
	ctx     context.Context
}

// newSession adds the flags that all client commands share to command, and returns
// the session that holds their values.
func newSession(ctx context.Context, out io.Writer, command *kingpin.CmdClause) *session {
	return &session{
		address: command.Flag("address", "IP address and port on which an entry serves callers.").Envar("CITRONBAY_ADDRESS").Default("127.0.0.1:7001").String(),
		key:     command.Flag("key", "Key of the team or operator.").Envar("CITRONBAY_KEY").String(),
		output:  command.Flag("output", "table or json.").Default("table").Enum("table", "json"),
		timeout: command.Flag("timeout", "Maximum time to wait for the response to a call.").Default("30s").Duration(),
		out:     out,
		ctx:     ctx,
	}
}

// call sends a request with the given body and returns the decoded response. Unless
// rows is nil, it also prints the response as JSON or as the table that rows returns.
func call[T any](s *session, method, path string, body any, rows func(T) [][]string) (T, error) {
	ctx, cancel := context.WithTimeout(s.ctx, *s.timeout)
	defer cancel()
	client, closeClient := caller.NewClient(*s.address, *s.key)
	defer closeClient()
	var response T
	if err := client.Do(ctx, method, path, body, &response); err != nil {
		return response, err
	}
	if rows == nil {
		return response, nil
	}
	return response, printResult(s, response, rows(response))
}

func printResult(s *session, response any, rows [][]string) error {
	if *s.output == "json" {
		encoder := json.NewEncoder(s.out)
		encoder.SetIndent("", "  ")
		return encoder.Encode(response)
	}
	table := tabwriter.NewWriter(s.out, 0, 0, 2, ' ', 0)
	for _, row := range rows {
		if _, err := fmt.Fprintln(table, strings.Join(row, "\t")); err != nil {
			return err
		}
	}
	return table.Flush()
}
