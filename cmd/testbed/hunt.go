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

const (
	brokenRuleLoss = 10  // more than any loss of service
	minLossShare   = 0.8 // of a day's loss, that a smaller day must still show
	shrinkBy       = 0.6 // of a fault's length
	maxShrinks     = 4   // of a fault
	listedDays     = 5
)

func huntCommand() *cli.Command {
	return &cli.Command{
		Name:      "hunt",
		ArgsUsage: "FILE",
		Usage:     "search a file's ranges for the day on which ours loses most against the top, and cut it down",
		Flags: []cli.Flag{
			seedFlag,
			&cli.StringFlag{Name: "policy", Value: experiment.Ours, Usage: "whose worst day: ours or ours+halls"},
			&cli.IntFlag{Name: "days", Value: 60, Usage: "days to look at"},
			workersFlag,
			partFlag,
			sizeFlag,
			fleetFlag,
			jsonFlag,
			htmlFlag,
		},
		Action: hunt,
	}
}

// lossOf is what a policy leaves of the omniscient one's service on a day. A broken rule outweighs all.
func lossOf(ours, top *count.Result) float64 {
	if ours.Broken > 0 {
		return brokenRuleLoss + float64(ours.Broken)
	}
	return top.Service - ours.Service
}

// worstDay is a day, and what it needs to show its loss.
type worstDay struct {
	Seed    uint64        `json:"seed"`
	Loss    float64       `json:"loss"`
	Ours    float64       `json:"ours"`
	Top     float64       `json:"top"`
	Faults  []count.Fault `json:"troubles"`
	LeftOut []string      `json:"left_out"`

	experiment *experiment.Experiment
	result     *count.Result
}

func hunt(ctx context.Context, c *cli.Command) error {
	what, err := openChosen(c)
	if err != nil {
		return fault(err)
	}
	days, policy := c.Int("days"), c.String("policy")
	if days < 1 {
		return fault(fmt.Errorf("--days: want 1 at the least, got %d", days))
	}
	if !strings.HasPrefix(policy, experiment.Ours) {
		return fault(fmt.Errorf("--policy: want ours or ours+halls, got %q", policy))
	}
	worst, err := findWorst(ctx, c, what.experiment, policy, days)
	if err != nil {
		return err
	}
	if err := worst.cutDown(policy); err != nil {
		return err
	}
	if err := writeResults(c, worst.experiment, []*count.Result{worst.result}); err != nil {
		return err
	}
	if c.String("json") != "-" {
		return printJSON(worst)
	}
	return nil
}

// findWorst runs days under a policy and under the omniscient one, lists the worst and returns the worst of all.
func findWorst(ctx context.Context, c *cli.Command, e *experiment.Experiment, policy string, days int) (*worstDay, error) {
	jobs := scenario.NewJobs([]string{policy, experiment.Omniscient}, c.Uint64("seed"), days)
	step, end := progressBar("hunt "+e.Name, len(jobs))
	results, err := scenario.RunAll(ctx, e, jobs, c.Int("workers"), step)
	end()
	if err != nil {
		return nil, err
	}
	var found []*worstDay
	for i, ours := range results[:days] {
		top := results[days+i]
		found = append(found, &worstDay{
			Seed:       ours.Seed,
			Loss:       lossOf(ours, top),
			Ours:       ours.Service,
			Top:        top.Service,
			Faults:     ours.Faults,
			experiment: e,
			result:     ours,
		})
	}
	slices.SortStableFunc(found, func(a, b *worstDay) int { return cmp.Compare(b.Loss, a.Loss) })
	fmt.Fprintln(os.Stderr, "the worst days:")
	for _, day := range found[:min(listedDays, days)] {
		fmt.Fprintf(os.Stderr, "  seed %d: ours %.3f, top %.3f, broken rules %d\n", day.Seed, day.Ours, day.Top, day.result.Broken)
	}
	return found[0], nil
}

// cutDown leaves out and shortens faults while the day still shows most of its loss.
func (d *worstDay) cutDown(policy string) error {
	found, least := *d, minLossShare*d.Loss
	if err := d.leaveOutFaults(policy, least); err != nil {
		return err
	}
	if err := d.shortenFaults(policy, least); err != nil {
		return err
	}
	if d.Faults == nil { // a day that needs none of its faults is shown as it was found
		found.experiment = d.experiment
		*d = found
	}
	return nil
}

// leaveOutFaults leaves out one fault after the other, until none can be left out any more.
func (d *worstDay) leaveOutFaults(policy string, least float64) error {
	for hasChanged := true; hasChanged; {
		hasChanged = false
		for i := 0; i < len(d.experiment.Kinds()); i++ {
			kind := d.experiment.Kinds()[i]
			showsLoss, err := d.reduceTo(d.experiment.Without(i), policy, least)
			if err != nil {
				return err
			}
			if showsLoss {
				d.LeftOut = append(d.LeftOut, string(kind))
				hasChanged = true
				i--
			}
		}
	}
	return nil
}

func (d *worstDay) shortenFaults(policy string, least float64) error {
	for i := range d.experiment.Kinds() {
		for range maxShrinks {
			showsLoss, err := d.reduceTo(d.experiment.Shrunk(i, shrinkBy), policy, least)
			if err != nil {
				return err
			}
			if !showsLoss {
				break
			}
		}
	}
	return nil
}

// reduceTo runs a smaller experiment, which takes the day's place if it still shows the least loss.
func (d *worstDay) reduceTo(smaller *experiment.Experiment, policy string, least float64) (showsLoss bool, err error) {
	ours, err := scenario.RunDay(smaller, d.Seed, policy, nil, nil)
	if err != nil {
		return false, err
	}
	top, err := scenario.RunDay(smaller, d.Seed, experiment.Omniscient, nil, nil)
	if err != nil {
		return false, err
	}
	loss := lossOf(ours, top)
	if loss < least {
		return false, nil
	}
	d.experiment, d.result = smaller, ours
	d.Loss, d.Ours, d.Top, d.Faults = loss, ours.Service, top.Service, ours.Faults
	return true, nil
}
