package main

import (
	"cmp"
	"context"
	"fmt"
	"os"
	"slices"
	"strings"

	"github.com/urfave/cli/v3"

	"yardwinch/internal/testbed/count"
	"yardwinch/internal/testbed/experiment"
	"yardwinch/internal/testbed/scenario"
)

func huntCommand() *cli.Command {
	return &cli.Command{Name: "hunt", ArgsUsage: "FILE", Usage: "search a file's ranges for the day on which ours loses most against the top, and cut it down",
		Flags:  []cli.Flag{seedFlag, &cli.StringFlag{Name: "policy", Value: "ours", Usage: "whose worst day: ours or ours+halls"}, &cli.IntFlag{Name: "days", Value: 60, Usage: "days to look at"}, workersFlag, partFlag, sizeFlag, fleetFlag, jsonFlag, htmlFlag},
		Action: hunt}
}

// loss is what ours leaves of the top's service on a day; a broken rule outweighs all.
func loss(ours, top *count.Result) float64 {
	if ours.Broken > 0 {
		return 10 + float64(ours.Broken)
	}
	return top.Service - ours.Service
}

// found is the worst day and what it needs to show itself.
type found struct {
	Seed     uint64        `json:"seed"`
	Loss     float64       `json:"loss"`
	Ours     float64       `json:"ours"`
	Top      float64       `json:"top"`
	Troubles []count.Fault `json:"troubles"`
	Left     []string      `json:"left_out"`
}

func hunt(ctx context.Context, c *cli.Command) error {
	e, _, _, err := open(c)
	if err != nil {
		return fault(err)
	}
	days := c.Int("days")
	if days < 1 {
		return fault(fmt.Errorf("--days: want 1 at the least, got %d", days))
	}
	whose := c.String("policy")
	if !strings.HasPrefix(whose, "ours") {
		return fault(fmt.Errorf("--policy: want ours or ours+halls, got %q", whose))
	}
	jobs := scenario.NewJobs([]string{whose, "top"}, c.Uint64("seed"), days)
	step, end := bar("hunt "+e.Name, len(jobs))
	results, err := scenario.RunAll(ctx, e, jobs, c.Int("workers"), step)
	end()
	if err != nil {
		return err
	}
	order := make([]int, days)
	for i := range order {
		order[i] = i
	}
	by := func(i int) float64 { return loss(results[i], results[days+i]) }
	slices.SortStableFunc(order, func(a, b int) int { return cmp.Compare(by(b), by(a)) })
	fmt.Fprintln(os.Stderr, "the worst days:")
	for _, i := range order[:min(5, days)] {
		fmt.Fprintf(os.Stderr, "  seed %d: ours %.3f, top %.3f, broken rules %d\n", results[i].Seed, results[i].Service, results[days+i].Service, results[i].Broken)
	}
	worst := order[0]
	least, f, last, err := cutDown(e, whose, results[worst].Seed, by(worst))
	if err != nil {
		return err
	}
	if f.Troubles == nil {
		f = found{Seed: results[worst].Seed, Loss: by(worst), Ours: results[worst].Service, Top: results[days+worst].Service, Troubles: results[worst].Faults}
		last = results[worst]
	}
	if err := write(c, least, []*count.Result{last}); err != nil {
		return err
	}
	if c.String("json") != "-" {
		return printJSON(f)
	}
	return nil
}

// cutDown leaves out or shortens troubles while the day still shows four fifths of its loss.
func cutDown(e *experiment.Experiment, whose string, seed uint64, whole float64) (*experiment.Experiment, found, *count.Result, error) {
	var f found
	var last *count.Result
	keep := func(x *experiment.Experiment) (bool, error) {
		ours, err := scenario.RunDay(x, seed, whose, nil, nil)
		if err != nil {
			return false, err
		}
		top, err := scenario.RunDay(x, seed, "top", nil, nil)
		if err != nil {
			return false, err
		}
		l := loss(ours, top)
		if l < 0.8*whole {
			return false, nil
		}
		f.Seed, f.Loss, f.Ours, f.Top, f.Troubles = seed, l, ours.Service, top.Service, ours.Faults
		last = ours
		return true, nil
	}
	for again := true; again; {
		again = false
		for i := 0; i < len(e.Kinds()); i++ {
			less := e.Without(i)
			ok, err := keep(less)
			if err != nil {
				return nil, f, nil, err
			}
			if ok {
				f.Left = append(f.Left, string(e.Kinds()[i]))
				e, again = less, true
				i--
			}
		}
	}
	for i := range e.Kinds() {
		for range 4 {
			less := e.Shrunk(i, 0.6)
			ok, err := keep(less)
			if err != nil {
				return nil, f, nil, err
			}
			if !ok {
				break
			}
			e = less
		}
	}
	return e, f, last, nil
}
