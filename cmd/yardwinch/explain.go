package main

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"maps"
	"slices"

	"github.com/urfave/cli/v3"

	"yardwinch/constraints"
	"yardwinch/internal/config"
	"yardwinch/internal/explain"
	"yardwinch/internal/routing"
)

// queryFlags returns the flags of the commands that query a running balancer.
func queryFlags(options cli.Flag) []cli.Flag {
	return []cli.Flag{
		options,
		&cli.StringFlag{Name: "socket", Usage: "query the balancer on `SOCKET` instead of the one that the options name"},
		&cli.BoolFlag{Name: "json", Usage: "print JSON"},
	}
}

func explainCommand(options cli.Flag) *cli.Command {
	return &cli.Command{
		Name:      "explain",
		ArgsUsage: "[FLOW]",
		Usage:     "show a running balancer's state, or why it placed a flow where it did",
		Flags:     queryFlags(options),
		Action:    explainAction,
	}
}

// socketPath returns the path of the socket on which a running balancer is queried.
func socketPath(command *cli.Command) (string, error) {
	if path := command.String("socket"); path != "" {
		return path, nil
	}
	options, err := config.ReadOptions(command.String("options"))
	if err != nil {
		return "", usageError(err)
	}
	path := options.ExplainSocket()
	if path == "" {
		return "", usageError(errors.New("give --socket, or --options with a file that names explain.socket"))
	}
	return path, nil
}

func explainAction(ctx context.Context, command *cli.Command) error {
	socket, err := socketPath(command)
	if err != nil {
		return err
	}
	if command.Args().Len() > 1 {
		return usageError(errors.New("want at most one flow"))
	}
	if flow := command.Args().First(); flow != "" {
		var explanation constraints.Explanation
		if err := explain.Flow(ctx, socket, flow, &explanation); err != nil {
			return err
		}
		return printResponse(command, explanation, func(t table) { t.addExplanation(explanation) })
	}
	var state routing.State
	if err := explain.State(ctx, socket, &state); err != nil {
		return err
	}
	return printResponse(command, state, func(t table) { t.addState(state) })
}

func (t table) addExplanation(e constraints.Explanation) {
	t.line("flow\t%s\tcame at %.3f s\tgroup %s", cmp.Or(e.Name, string(e.Flow)), e.ArrivedAt, cmp.Or(string(e.Group), "-"))
	for i, attempt := range e.Attempts {
		t.line("connect %d\t%s\tin %s\tat %.3f s\t%s", i+1, attempt.Name, attempt.Zone, attempt.At, attempt.Outcome)
	}
	for _, extra := range e.ExtraCosts {
		t.line("dearer\t%s\t%s", cmp.Or(extra.Name, fmt.Sprint(extra.Server)), extra.Reason)
	}
	for _, reason := range slices.Sorted(maps.Keys(e.Excluded)) {
		t.line("barred\t%s\t%d times", reason, e.Excluded[reason])
	}
	t.line("answer\t%s", cmp.Or(e.Answer, "none yet"))
	if e.Migrated {
		t.line("moved\tasked to come again")
	}
}

func (t table) addState(state routing.State) {
	t.line("%s, running for %.0f s, %d flows", state.Phase, state.Running, state.Flows)
	if state.OtherProcess != "" {
		t.line("processes: %s", state.OtherProcess)
	}
	if state.StoreFault != "" {
		t.line("folder: %s", state.StoreFault)
	}
	t.line("\nserver\taddress\tready\tby hand\tflows")
	for _, server := range state.Servers {
		disabled := "-"
		if server.Disabled {
			disabled = "out"
		}
		t.line("%s\t%s\t%v\t%s\t%d", server.Name, server.Addr, server.Ready, disabled, server.Flows)
	}
	if localities, ok := state.Constraints["halls"].(map[string]any); ok {
		t.addLocalities(localities)
	}
	if len(state.Interventions) > 0 {
		t.line("\nbound\ttimes it acted")
		for _, constraint := range slices.Sorted(maps.Keys(state.Interventions)) {
			t.line("%s\t%d", constraint, state.Interventions[constraint])
		}
	}
}

// addLocalities adds the state of locality failover, which is looked up by its JSON keys.
func (t table) addLocalities(state map[string]any) {
	t.line("\nhall\ttier\tstate\tservers\town flows\tusual\tlimit\twhy")
	list, _ := state["halls"].([]any)
	for _, entry := range list {
		if l, ok := entry.(map[string]any); ok {
			t.line("%v\t%v\t%v\t%v\t%v\t%.1f\t%s\t%s", l["hall"], l["tier"], l["state"], l["servers_ready"], l["own_flows"], l["usual"],
				orDash(l["limit"]), orDash(l["why"]))
		}
	}
}

// orDash formats a value that may be missing.
func orDash(value any) string {
	switch value := value.(type) {
	case nil:
		return "-"
	case float64:
		return fmt.Sprintf("%.1f", value)
	}
	return fmt.Sprint(value)
}
