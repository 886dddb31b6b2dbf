package main

import (
	"cmp"
	"context"
	"fmt"
	"maps"
	"slices"
	"time"

	"github.com/urfave/cli/v3"

	"yardwinch/internal/daemon"
	"yardwinch/internal/explain"
)

// leaseHeld is the state, in the balancer's response, of a lease that the balancer itself holds.
const leaseHeld = "held"

func membersCommand(options cli.Flag) *cli.Command {
	return &cli.Command{Name: "members", Usage: "show a running balancer's view of the other balancers",
		Flags: queryFlags(options), Action: membersAction}
}

func membersAction(ctx context.Context, command *cli.Command) error {
	socket, err := socketPath(command)
	if err != nil {
		return err
	}
	var view daemon.MembersView
	if err := explain.Members(ctx, socket, &view); err != nil {
		return err
	}
	return printResponse(command, view, func(t table) { t.addMembers(view) })
}

func (t table) addMembers(view daemon.MembersView) {
	t.line("as seen by %s\n\nmember\tis\tfor\tat\ttold\tbuild\tsettings\tflows/s\tservers in trouble", view.Name)
	for _, m := range view.Members {
		published := "nothing"
		if m.RecordAge >= 0 {
			published = fmt.Sprintf("%.1f s ago", m.RecordAge)
		}
		t.line("%s\t%s\t%v\t%s\t%s\t%s\t%s\t%.1f\t%d", m.Name, m.State, m.Since.Round(time.Second), m.Addr, published, cmp.Or(m.Build, "-"),
			cmp.Or(m.Settings, "-"), m.FlowRate, m.FaultyServers)
	}
	if len(view.Leases) > 0 {
		own := 0
		for _, lease := range view.Leases {
			if lease.State == leaseHeld {
				own++
			}
		}
		t.line("probes for all\t%d of %d servers", own, len(view.Leases))
	}
	for _, kind := range slices.Sorted(maps.Keys(view.Dropped)) {
		t.line("passed over\t%s\t%d times", kind, view.Dropped[kind])
	}
}
