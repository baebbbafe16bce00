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

// Register adds the commands entry, config check and dev to app. The entry and the
// development cell run until ctx is done.
func Register(ctx context.Context, app *kingpin.Application) {
	registerEntry(ctx, app)
	registerCheck(app)
	registerDev(ctx, app)
}

func registerEntry(ctx context.Context, app *kingpin.Application) {
	command := app.Command("entry", "Run an entry, which accepts requests and jobs; one entry of each failure domain, its owner, schedules them.")
	file := command.Flag("settings", "YAML settings file.").Required().String()
	level := command.Flag("log-level", "Lowest level that is logged.").Default("info").Enum("debug", "info", "warn", "error")
	command.Action(func(*kingpin.ParseContext) error {
		loaded, err := settings.Load(*file)
		if err != nil {
			return err
		}
		n, closeNode, err := node.New(loaded, newLogger(os.Stderr, *level))
		if err != nil {
			return err
		}
		defer closeNode()
		return n.Run(ctx)
	})
}

func newLogger(w io.Writer, level string) *slog.Logger {
	var minLevel slog.Level
	if err := minLevel.UnmarshalText([]byte(level)); err != nil {
		minLevel = slog.LevelInfo
	}
	return slog.New(slog.NewTextHandler(w, &slog.HandlerOptions{Level: minLevel}))
}

func registerCheck(app *kingpin.Application) {
	config := app.Command("config", "Check settings files.")
	command := config.Command("check", "Check a settings file and print the first error with its line and field.")
	file := command.Arg("file", "YAML settings file.").Required().String()
	command.Action(func(*kingpin.ParseContext) error {
		if _, err := settings.Load(*file); err != nil {
			return err
		}
		fmt.Println(*file + ": ok")
		return nil
	})
}
