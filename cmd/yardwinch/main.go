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
	_ "yardwinch/internal/sighup" // until the daemon has its own handler
)

const (
	faultyConfiguration = 2                     // exit code
	logTimeout          = 50 * time.Millisecond // for the last lines at the end of the process
)

func main() {
	config := &cli.StringFlag{Name: "config", Usage: "read the configuration from `FILE`",
		Sources: cli.EnvVars("PROXY_CONFIG")}
	options := &cli.StringFlag{Name: "options", Usage: "the operators' own `FILE` (TOML); nothing of it is on without",
		Sources: cli.EnvVars("YARDWINCH_OPTIONS")}
	verbose := &cli.BoolFlag{Name: "verbose", Usage: "log each connection's end"}
	app := &cli.Command{
		Name:  "yardwinch",
		Usage: "balance long-lived connections",
		Commands: []*cli.Command{
			{Name: "serve", Usage: "serve until SIGTERM or SIGINT; SIGHUP reads the configuration anew", Flags: []cli.Flag{config, options, verbose}, Action: serve},
			{Name: "check", Usage: "check the configuration and exit", Flags: []cli.Flag{config, options}, Action: check},
			explainCommand(options),
			membersCommand(options),
			migrateCommand(),
			{Name: "version", Usage: "print the version", Action: version},
		},
	}
	if err := app.Run(context.Background(), os.Args); err != nil {
		fmt.Fprintln(os.Stderr, "yardwinch:", err)
		var advice interface{ Advice() string }
		if errors.As(err, &advice) {
			fmt.Fprintln(os.Stderr, "what helps:", advice.Advice())
		}
		os.Exit(1)
	}
}

func serve(_ context.Context, c *cli.Command) error {
	level := slog.LevelInfo
	if c.Bool("verbose") {
		level = slog.LevelDebug
	}
	log := logging.NewWriter(os.Stderr)
	defer log.Close(logTimeout)
	slog.SetDefault(slog.New(slog.NewTextHandler(log, &slog.HandlerOptions{Level: level})))
	return coded(daemon.Run(c.String("config"), c.String("options"), os.Getenv))
}

// coded gives a fault of a configuration its exit code.
func coded(err error) error {
	if errors.Is(err, daemon.ErrConfiguration) {
		return cli.Exit(fmt.Sprint("yardwinch: ", err), faultyConfiguration)
	}
	return err
}

func check(_ context.Context, c *cli.Command) error {
	if err := daemon.Check(c.String("config"), c.String("options"), os.Getenv); err != nil {
		return cli.Exit(fmt.Sprint("yardwinch: ", err), faultyConfiguration)
	}
	fmt.Println("the configuration can be served")
	return nil
}

func version(context.Context, *cli.Command) error {
	v := "unknown"
	if b, ok := debug.ReadBuildInfo(); ok {
		v = b.Main.Version
		for _, s := range b.Settings {
			if s.Key == "vcs.revision" {
				v += " " + s.Value
			}
		}
	}
	fmt.Println("yardwinch", v)
	return nil
}
