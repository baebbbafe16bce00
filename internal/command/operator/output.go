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
	// ExitFailure says that the command or the work failed.
	ExitFailure = 1
	// ExitUsage says that the arguments are wrong.
	ExitUsage = 2
	// ExitNotRun says that the work did not run.
	ExitNotRun = 3
	// ExitUnknown says that the work's fate is not known.
	ExitUnknown = 4
	// ExitUnreached says that no entry answered.
	ExitUnreached = 5
)

// fateError reports a fate other than completed.
type fateError struct {
	fate   caller.Fate
	reason string
}

// Error returns the fate and its reason.
func (e *fateError) Error() string {
	return fmt.Sprintf("fate %s: %s", e.fate, e.reason)
}

// ExitCode returns the exit code that belongs to an error.
func ExitCode(err error) int {
	var fate *fateError
	var status *caller.StatusError
	switch {
	case err == nil:
		return 0
	case errors.As(err, &fate) && fate.fate == caller.FateNotRun,
		errors.As(err, &status) && status.Problem.Fate == caller.FateNotRun:
		return ExitNotRun
	case errors.As(err, &fate) && fate.fate == caller.FateUnknown:
		return ExitUnknown
	case errors.Is(err, caller.ErrUnreached):
		return ExitUnreached
	default:
		return ExitFailure
	}
}

// session is what every verb needs to call an entry and to print its answer.
type session struct {
	address *string
	key     *string
	output  *string
	timeout *time.Duration
	out     io.Writer
	ctx     context.Context
}

// flags adds the flags that all client verbs share.
func flags(ctx context.Context, out io.Writer, command *kingpin.CmdClause) *session {
	return &session{
		address: command.Flag("address", "Callers' address of an entry.").Envar("CITRONBAY_ADDRESS").Default("127.0.0.1:7001").String(),
		key:     command.Flag("key", "Key of the team or operator.").Envar("CITRONBAY_KEY").String(),
		output:  command.Flag("output", "table or json.").Default("table").Enum("table", "json"),
		timeout: command.Flag("timeout", "Longest wait for the answer.").Default("30s").Duration(),
		out:     out,
		ctx:     ctx,
	}
}

// call sends the message, and prints the answer as JSON, or as the table that
// rows gives for it.
func call[T any](s *session, method, path string, in any, rows func(T) [][]string) (T, error) {
	ctx, cancel := context.WithTimeout(s.ctx, *s.timeout)
	defer cancel()
	client, closeClient := caller.NewClient(*s.address, *s.key)
	defer closeClient()
	var answer T
	if err := client.Do(ctx, method, path, in, &answer); err != nil {
		return answer, err
	}
	if rows == nil {
		return answer, nil
	}
	return answer, show(s, answer, rows(answer))
}

func show(s *session, answer any, rows [][]string) error {
	if *s.output == "json" {
		encoder := json.NewEncoder(s.out)
		encoder.SetIndent("", "  ")
		return encoder.Encode(answer)
	}
	table := tabwriter.NewWriter(s.out, 0, 0, 2, ' ', 0)
	for _, row := range rows {
		if _, err := fmt.Fprintln(table, strings.Join(row, "\t")); err != nil {
			return err
		}
	}
	return table.Flush()
}
