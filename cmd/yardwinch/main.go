// Yardwinch is a balancer for long-lived connections.
package main

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"os"
	"runtime/debug"
	"time"

	"github.com/urfave/cli/v3"

	"yardwinch/internal/daemon"
	"yardwinch/internal/logging"
	_ "yardwinch/internal/sighup" // ignores SIGHUP until the daemon has its own handler
)

const (
	exitFailure             = 1
	exitFaultyConfiguration = 2
	logTimeout              = 50 * time.Millisecond // for the last lines, at the end of the process
	programName             = "yardwinch"
)

func main() {
	if err := newCommand().Run(context.Background(), os.Args); err != nil {
		fmt.Fprintln(os.Stderr, "yardwinch:", err)
		var advice interface{ Advice() string }
		if errors.As(err, &advice) {
			fmt.Fprintln(os.Stderr, "what helps:", advice.Advice())
		}
		os.Exit(exitFailure)
	}
}

// newCommand is the whole command line.
func newCommand() *cli.Command {
	config := &cli.StringFlag{Name: "config", Usage: "read the configuration from `FILE`",
		Sources: cli.EnvVars("PROXY_CONFIG")}
	options := &cli.StringFlag{Name: "options", Usage: "the operators' own `FILE` (TOML); nothing of it is on without",
		Sources: cli.EnvVars("YARDWINCH_OPTIONS")}
	verbose := &cli.BoolFlag{Name: "verbose", Usage: "log each connection's end"}
	return &cli.Command{
		Name:  programName,
		Usage: "balance long-lived connections",
		Commands: []*cli.Command{
			{Name: "serve", Usage: "serve until SIGTERM or SIGINT; SIGHUP reads the configuration anew",
				Flags: []cli.Flag{config, options, verbose}, Action: serve},
			{Name: "check", Usage: "check the configuration and exit", Flags: []cli.Flag{config, options}, Action: check},
			explainCommand(options),
			membersCommand(options),
			migrateCommand(),
			{Name: "version", Usage: "print the version", Action: printVersion},
		},
	}
}

func serve(ctx context.Context, command *cli.Command) error {
	level := slog.LevelInfo
	if command.Bool("verbose") {
		level = slog.LevelDebug
	}
	log := logging.NewWriter(os.Stderr)
	defer log.Close(logTimeout)
	slog.SetDefault(slog.New(slog.NewTextHandler(log, &slog.HandlerOptions{Level: level})))
	return withExitCode(daemon.Run(ctx, sourceOf(command)))
}

func sourceOf(command *cli.Command) daemon.Source {
	return daemon.Source{ConfigPath: command.String("config"), OptionsPath: command.String("options"), Environment: os.Getenv}
}

// withExitCode gives the error of a configuration that can't be served its exit code.
func withExitCode(err error) error {
	if errors.Is(err, daemon.ErrConfiguration) {
		return usageError(err)
	}
	return err
}

// usageError is an error of what the operator gave, with its exit code. Run of the command prints it and exits: main
// never sees it.
func usageError(err error) error {
	return cli.Exit(fmt.Sprint("yardwinch: ", err), exitFaultyConfiguration)
}

func check(ctx context.Context, command *cli.Command) error {
	if err := daemon.Check(ctx, sourceOf(command)); err != nil {
		return usageError(err)
	}
	fmt.Println("the configuration can be served")
	return nil
}

func printVersion(context.Context, *cli.Command) error {
	version := "unknown"
	if info, ok := debug.ReadBuildInfo(); ok {
		version = info.Main.Version
		for _, setting := range info.Settings {
			if setting.Key == "vcs.revision" {
				version += " " + setting.Value
			}
		}
	}
	fmt.Println(programName, version)
	return nil
}
