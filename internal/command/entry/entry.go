package entry

import (
	"context"
	"fmt"
	"io"
	"log/slog"
	"os"

	"github.com/alecthomas/kingpin/v2"

	"github.com/citronbay/citronbay/internal/entry/node"
	"github.com/citronbay/citronbay/internal/entry/settings"
)

// Register adds the commands that run an entry, check settings, and run a
// development cell.
func Register(ctx context.Context, app *kingpin.Application) {
	registerEntry(ctx, app)
	registerCheck(app)
	registerDev(ctx, app)
}

func registerEntry(ctx context.Context, app *kingpin.Application) {
	command := app.Command("entry", "Run an entry.")
	file := command.Flag("settings", "YAML settings file.").Required().String()
	level := command.Flag("log-level", "Least level that is logged.").Default("info").Enum("debug", "info", "warn", "error")
	command.Action(func(*kingpin.ParseContext) error {
		loaded, err := settings.Load(*file)
		if err != nil {
			return err
		}
		n, closeNode, err := node.New(loaded, newLog(os.Stderr, *level))
		if err != nil {
			return err
		}
		defer closeNode()
		return n.Run(ctx)
	})
}

func newLog(w io.Writer, level string) *slog.Logger {
	var least slog.Level
	if err := least.UnmarshalText([]byte(level)); err != nil {
		least = slog.LevelInfo
	}
	return slog.New(slog.NewTextHandler(w, &slog.HandlerOptions{Level: least}))
}

func registerCheck(app *kingpin.Application) {
	config := app.Command("config", "Work on settings files.")
	command := config.Command("check", "Check a settings file and print what is wrong with it.")
	file := command.Arg("file", "YAML settings file.").Required().String()
	command.Action(func(*kingpin.ParseContext) error {
		if _, err := settings.Load(*file); err != nil {
			return err
		}
		fmt.Println(*file + ": ok")
		return nil
	})
}
