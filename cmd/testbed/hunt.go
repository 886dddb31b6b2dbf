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
	// brokenRuleLoss is the loss of a day on which a rule was broken, before the number of violations is added. It is above any loss of
	// service, unless the experiment sets high prices of events.
	brokenRuleLoss = 10

	minLossShare = 0.8 // share of the original loss that a minimized day must still show
	shrinkFactor = 0.6 // factor on a fault's length per step
	maxShrinks   = 4   // steps per fault
	listedDays   = 5
)

func huntCommand() *cli.Command {
	return &cli.Command{
		Name:      "hunt",
		ArgsUsage: "FILE",
		Usage:     "search for the day on which ours is worst compared with the omniscient policy, and minimize its faults",
		Flags: []cli.Flag{
			seedFlag,
			&cli.StringFlag{Name: "policy", Value: experiment.Ours, Usage: "the policy to search for: ours or ours+halls"},
			&cli.IntFlag{Name: "days", Value: 60, Usage: "number of days to run"},
			workersFlag,
			partFlag,
			balancersFlag,
			serversFlag,
			jsonFlag,
			htmlFlag,
		},
		Action: hunt,
	}
}

// lossOf returns by how much a policy's service is below the omniscient one's on a day. A broken rule outweighs any such loss.
func lossOf(ours, omniscient *count.Result) float64 {
	if ours.ViolationCount > 0 {
		return brokenRuleLoss + float64(ours.ViolationCount)
	}
	return omniscient.Service - ours.Service
}

// worstDay is a day with the faults that are needed to reproduce its loss.
type worstDay struct {
	Seed    uint64        `json:"seed"`
	Loss    float64       `json:"loss"`
	Ours    float64       `json:"ours"`
	Top     float64       `json:"top"`
	Faults  []count.Fault `json:"troubles"`
	LeftOut []string      `json:"left_out"` // kinds of the faults that were removed

	experiment *experiment.Experiment
	result     *count.Result
}

func hunt(ctx context.Context, c *cli.Command) error {
	selected, err := openSelection(c)
	if err != nil {
		return inputError(err)
	}
	days, policy := c.Int("days"), c.String("policy")
	if days < 1 {
		return inputError(fmt.Errorf("--days: want at least 1, got %d", days))
	}
	if !strings.HasPrefix(policy, experiment.Ours) {
		return inputError(fmt.Errorf("--policy: want ours or ours+halls, got %q", policy))
	}
	worst, err := findWorst(ctx, c, selected.experiment, policy, days)
	if err != nil {
		return err
	}
	if err := worst.minimize(policy); err != nil {
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

// findWorst runs days under a policy and under the omniscient one, prints the worst days and returns the worst.
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
		omniscient := results[days+i]
		found = append(found, &worstDay{
			Seed:       ours.Seed,
			Loss:       lossOf(ours, omniscient),
			Ours:       ours.Service,
			Top:        omniscient.Service,
			Faults:     ours.Faults,
			experiment: e,
			result:     ours,
		})
	}
	slices.SortStableFunc(found, func(a, b *worstDay) int { return cmp.Compare(b.Loss, a.Loss) })
	fmt.Fprintln(os.Stderr, "the worst days:")
	for _, day := range found[:min(listedDays, days)] {
		fmt.Fprintf(os.Stderr, "  seed %d: ours %.3f, top %.3f, broken rules %d\n", day.Seed, day.Ours, day.Top, day.result.ViolationCount)
	}
	return found[0], nil
}

// minimize removes and shortens faults as long as the day still shows minLossShare of its loss.
func (d *worstDay) minimize(policy string) error {
	found, minLoss := *d, minLossShare*d.Loss
	if err := d.removeFaults(policy, minLoss); err != nil {
		return err
	}
	if err := d.shortenFaults(policy, minLoss); err != nil {
		return err
	}
	if d.Faults == nil { // the loss doesn't depend on any fault: report the day as it was found
		found.experiment = d.experiment
		*d = found
	}
	return nil
}

// removeFaults removes one fault at a time, until no more can be removed.
func (d *worstDay) removeFaults(policy string, minLoss float64) error {
	for hasChanged := true; hasChanged; {
		hasChanged = false
		for i := 0; i < len(d.experiment.FaultKinds()); i++ {
			kind := d.experiment.FaultKinds()[i]
			showsLoss, err := d.replaceIfLossRemains(d.experiment.WithoutFault(i), policy, minLoss)
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

func (d *worstDay) shortenFaults(policy string, minLoss float64) error {
	for i := range d.experiment.FaultKinds() {
		for range maxShrinks {
			showsLoss, err := d.replaceIfLossRemains(d.experiment.WithScaledFault(i, shrinkFactor), policy, minLoss)
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

// replaceIfLossRemains runs a smaller experiment, and replaces the day by it if the loss is still at least minLoss.
func (d *worstDay) replaceIfLossRemains(smaller *experiment.Experiment, policy string, minLoss float64) (showsLoss bool, err error) {
	ours, err := scenario.RunDay(smaller, d.Seed, policy, nil, nil)
	if err != nil {
		return false, err
	}
	omniscient, err := scenario.RunDay(smaller, d.Seed, experiment.Omniscient, nil, nil)
	if err != nil {
		return false, err
	}
	loss := lossOf(ours, omniscient)
	if loss < minLoss {
		return false, nil
	}
	d.experiment, d.result = smaller, ours
	d.Loss, d.Ours, d.Top, d.Faults = loss, ours.Service, omniscient.Service, ours.Faults
	return true, nil
}
