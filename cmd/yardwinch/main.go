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
	_ "yardwinch/internal/sighup" // ignores SIGHUP until the daemon installs its handler
)

const (
	exitFailure             = 1
	exitFaultyConfiguration = 2
	logTimeout              = 50 * time.Millisecond // for writing the last log lines when the process exits
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

// newCommand returns the complete command line interface.
func newCommand() *cli.Command {
	config := &cli.StringFlag{Name: "config", Usage: "read the configuration from `FILE`",
		Sources: cli.EnvVars("PROXY_CONFIG")}
	options := &cli.StringFlag{Name: "options", Usage: "read the operators' options from `FILE` (TOML); without it they are all off",
		Sources: cli.EnvVars("YARDWINCH_OPTIONS")}
	verbose := &cli.BoolFlag{Name: "verbose", Usage: "log debug messages too, such as the start and end of each flow"}
	return &cli.Command{
		Name:  programName,
		Usage: "balance long-lived connections",
		Commands: []*cli.Command{
			{Name: "serve", Usage: "serve until SIGTERM or SIGINT; SIGHUP reloads the configuration",
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
	return withExitCode(daemon.Run(ctx, newSource(command)))
}

func newSource(command *cli.Command) daemon.Source {
	return daemon.Source{ConfigPath: command.String("config"), OptionsPath: command.String("options"), Environment: os.Getenv}
}

// withExitCode adds the exit code to the error of a configuration that can't be served.
func withExitCode(err error) error {
	if errors.Is(err, daemon.ErrConfiguration) {
		return usageError(err)
	}
	return err
}

// usageError returns an error about the operator's input, with its exit code. cli.Command.Run prints it and exits, so
// that it never reaches main.
func usageError(err error) error {
	return cli.Exit(fmt.Sprint("yardwinch: ", err), exitFaultyConfiguration)
}

func check(ctx context.Context, command *cli.Command) error {
	if err := daemon.Check(ctx, newSource(command)); err != nil {
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
