package main

import (
	"cmp"
	"context"
	"encoding/json"
	"fmt"
	"maps"
	"os"
	"slices"
	"text/tabwriter"

	"github.com/urfave/cli/v3"

	"yardwinch/constraints"
	"yardwinch/internal/config"
	"yardwinch/internal/explain"
	"yardwinch/internal/routing"
)

func explainCommand(options cli.Flag) *cli.Command {
	return &cli.Command{Name: "explain", ArgsUsage: "[FLOW]", Usage: "ask a running balancer what it holds, or why a flow went where it did",
		Flags: []cli.Flag{options, &cli.StringFlag{Name: "socket", Usage: "the balancer's `SOCKET`, in place of the one that the options name"},
			&cli.BoolFlag{Name: "json", Usage: "print it as JSON"}},
		Action: explainIt}
}

// socket is where a running balancer is asked.
func socket(c *cli.Command) (at string, err error) {
	if at = c.String("socket"); at != "" {
		return at, nil
	}
	o, err := config.ReadOptions(c.String("options"))
	if err != nil {
		return "", cli.Exit(fmt.Sprint("yardwinch: ", err), faultyConfiguration)
	}
	if at = o.ExplainSocket(); at == "" {
		return "", cli.Exit("yardwinch: give --socket, or --options with a file that names explain.socket", faultyConfiguration)
	}
	return at, nil
}

func explainIt(_ context.Context, c *cli.Command) error {
	at, err := socket(c)
	if err != nil {
		return err
	}
	if c.Args().Len() > 1 {
		return cli.Exit("yardwinch: want one flow at the most", faultyConfiguration)
	}
	if f := c.Args().First(); f != "" {
		var n constraints.Explanation
		if err := explain.Ask(at, "why "+f, &n); err != nil {
			return err
		}
		return show(c, n, func(t *tabwriter.Writer) { why(t, n) })
	}
	var s routing.State
	if err := explain.Ask(at, "state", &s); err != nil {
		return err
	}
	return show(c, s, func(t *tabwriter.Writer) { state(t, s) })
}

func show(c *cli.Command, v any, table func(*tabwriter.Writer)) error {
	if c.Bool("json") {
		enc := json.NewEncoder(os.Stdout)
		enc.SetIndent("", "  ")
		return enc.Encode(v)
	}
	t := tabwriter.NewWriter(os.Stdout, 0, 0, 2, ' ', 0)
	table(t)
	return t.Flush()
}

func why(t *tabwriter.Writer, n constraints.Explanation) {
	fmt.Fprintf(t, "flow\t%s\tcame at %.3f s\tgroup %s\n", cmp.Or(n.Name, string(n.Flow)), n.ArrivedAt, cmp.Or(string(n.Group), "-"))
	for i, x := range n.Attempts {
		fmt.Fprintf(t, "connect %d\t%s\tin %s\tat %.3f s\t%s\n", i+1, x.Name, x.Zone, x.At, x.Outcome)
	}
	for _, x := range n.ExtraCosts {
		fmt.Fprintf(t, "dearer\t%s\t%s\n", cmp.Or(x.Name, fmt.Sprint(x.Server)), x.Reason)
	}
	for _, reason := range slices.Sorted(maps.Keys(n.Excluded)) {
		fmt.Fprintf(t, "barred\t%s\t%d times\n", reason, n.Excluded[reason])
	}
	fmt.Fprintf(t, "answer\t%s\n", cmp.Or(n.Answer, "none yet"))
	if n.Migrated {
		fmt.Fprintln(t, "moved\tasked to come again")
	}
}

func state(t *tabwriter.Writer, s routing.State) {
	fmt.Fprintf(t, "%s, running for %.0f s, %d flows\n", s.Phase, s.Running, s.Flows)
	if s.Processes != "" {
		fmt.Fprintf(t, "processes: %s\n", s.Processes)
	}
	if s.StoreFault != "" {
		fmt.Fprintf(t, "folder: %s\n", s.StoreFault)
	}
	fmt.Fprint(t, "\nserver\taddress\tready\tby hand\tflows\n")
	for _, x := range s.Servers {
		hand := "-"
		if x.Disabled {
			hand = "out"
		}
		fmt.Fprintf(t, "%s\t%s\t%v\t%s\t%d\n", x.Name, x.Addr, x.Ready, hand, x.Flows)
	}
	if h, ok := s.Constraints["halls"].(map[string]any); ok {
		fmt.Fprintln(t, "\nhall\ttier\tstate\tservers\town flows\tusual\tlimit\twhy")
		list, _ := h["halls"].([]any)
		for _, x := range list {
			if m, ok := x.(map[string]any); ok {
				fmt.Fprintf(t, "%v\t%v\t%v\t%v\t%v\t%.1f\t%s\t%s\n", m["hall"], m["tier"], m["state"], m["servers_ready"], m["own_flows"], m["usual"], orDash(m["limit"]), orDash(m["why"]))
			}
		}
	}
	if len(s.Interventions) > 0 {
		fmt.Fprintln(t, "\nbound\ttimes it acted")
		for _, k := range slices.Sorted(maps.Keys(s.Interventions)) {
			fmt.Fprintf(t, "%s\t%d\n", k, s.Interventions[k])
		}
	}
}

func orDash(v any) string {
	switch v := v.(type) {
	case nil:
		return "-"
	case float64:
		return fmt.Sprintf("%.1f", v)
	}
	return fmt.Sprint(v)
}
