package main

import (
	"cmp"
	"context"
	"fmt"
	"maps"
	"slices"
	"text/tabwriter"
	"time"

	"github.com/urfave/cli/v3"

	"yardwinch/internal/daemon"
	"yardwinch/internal/explain"
)

func membersCommand(options cli.Flag) *cli.Command {
	return &cli.Command{Name: "members", Usage: "ask a running balancer whom of the others it sees, and how",
		Flags: []cli.Flag{options, &cli.StringFlag{Name: "socket", Usage: "the balancer's `SOCKET`, in place of the one that the options name"},
			&cli.BoolFlag{Name: "json", Usage: "print it as JSON"}},
		Action: membersIt}
}

func membersIt(_ context.Context, c *cli.Command) error {
	at, err := socket(c)
	if err != nil {
		return err
	}
	var v daemon.MembersView
	if err := explain.Ask(at, "members", &v); err != nil {
		return err
	}
	return show(c, v, func(t *tabwriter.Writer) {
		fmt.Fprintf(t, "as seen by %s\n\nmember\tis\tfor\tat\ttold\tbuild\tsettings\tflows/s\tservers in trouble\n", v.Name)
		for _, m := range v.Members {
			told := "nothing"
			if m.LastHeard >= 0 {
				told = fmt.Sprintf("%.1f s ago", m.LastHeard)
			}
			fmt.Fprintf(t, "%s\t%s\t%v\t%s\t%s\t%s\t%s\t%.1f\t%d\n", m.Name, m.State, m.Since.Round(time.Second), m.Addr, told, cmp.Or(m.Build, "-"), cmp.Or(m.Settings, "-"), m.Rate, m.FaultyServers)
		}
		mine := 0
		for _, d := range v.Leases {
			if d.State == "held" {
				mine++
			}
		}
		if len(v.Leases) > 0 {
			fmt.Fprintf(t, "probes for all\t%d of %d servers\n", mine, len(v.Leases))
		}
		for _, k := range slices.Sorted(maps.Keys(v.Dropped)) {
			fmt.Fprintf(t, "passed over\t%s\t%d times\n", k, v.Dropped[k])
		}
	})
}
