package operator

import (
	"bufio"
	"fmt"
	"io"
	"os"
	"slices"
	"strings"

	"github.com/alecthomas/kingpin/v2"
)

// maxLogLineBytes is the largest length of a log line; a longer one is an error.
const maxLogLineBytes = 1 << 20

// registerLogs adds the command that merges the lines about a job from the log files
// of several processes.
func registerLogs(app *kingpin.Application, out io.Writer) {
	command := app.Command("logs", "Print the lines that contain a job's id from the given log files, sorted by time.")
	id := command.Arg("job", "The job's id.").Required().String()
	files := command.Arg("file", "Log files; standard input when none is given.").Strings()
	command.Action(func(*kingpin.ParseContext) error {
		readers := []io.Reader{os.Stdin}
		if len(*files) > 0 {
			readers = nil
		}
		for _, name := range *files {
			file, err := os.Open(name)
			if err != nil {
				return fmt.Errorf("logs: %w", err)
			}
			defer func() {
				_ = file.Close()
			}()
			readers = append(readers, file)
		}
		return printLogs(out, *id, readers...)
	})
}

// printLogs writes the lines that contain the id, sorted by the text of their time
// attribute; lines without one come first.
func printLogs(out io.Writer, id string, readers ...io.Reader) error {
	type line struct {
		time, text string
	}
	var lines []line
	for _, r := range readers {
		scanner := bufio.NewScanner(r)
		scanner.Buffer(nil, maxLogLineBytes)
		for scanner.Scan() {
			text := scanner.Text()
			if !strings.Contains(text, id) {
				continue
			}
			_, after, _ := strings.Cut(text, "time=")
			time, _, _ := strings.Cut(after, " ")
			lines = append(lines, line{
				time: time,
				text: text,
			})
		}
		if err := scanner.Err(); err != nil {
			return fmt.Errorf("logs: %w", err)
		}
	}
	slices.SortStableFunc(lines, func(a, b line) int {
		return strings.Compare(a.time, b.time)
	})
	for _, l := range lines {
		if _, err := fmt.Fprintln(out, l.text); err != nil {
			return fmt.Errorf("logs: %w", err)
		}
	}
	return nil
}
