package report

import (
	"fmt"
	"math"

	"yardwinch/internal/testbed/experiment"
)

const (
	blue      = "#0b5fa5"
	amber     = "#d08c2f"
	red       = "#a33"
	noProcess = "#8d8d8d"
	otherwise = red // policies without a colour of their own
)

// policyColours has the strongest colour for the project's own policy.
var policyColours = map[string]string{
	experiment.Ours:             blue,
	experiment.RandomServer:     "#b5b5b5",
	experiment.LeastConnections: amber,
	experiment.TwoChoices:       "#8a6fb0",
	experiment.BoundedHashing:   "#3f9b6c",
	experiment.Omniscient:       "#222222",
}

func colourOf(policy string) string {
	if colour := policyColours[policy]; colour != "" {
		return colour
	}
	return otherwise
}

// rgb is a colour by its channels, 0 to 255 each.
type rgb [3]float64

var (
	idleColour       = rgb{244, 248, 251}
	fullColour       = rgb{20, 90, 150}
	overloadedColour = rgb{240, 150, 40}
	twiceFullColour  = rgb{110, 0, 20}
)

// mix is the colour at a part of the way from one to another.
func mix(from, to rgb, part float64) string {
	part = math.Max(0, math.Min(1, part))
	channel := func(i int) int { return int(from[i] + (to[i]-from[i])*part) }
	return fmt.Sprintf("#%02x%02x%02x", channel(0), channel(1), channel(2))
}

// loadColour goes from pale to blue up to a server's capacity, and from orange to dark red beyond. Below 0 there is no process.
func loadColour(load float64) string {
	switch {
	case load < 0:
		return noProcess
	case load <= 1:
		return mix(idleColour, fullColour, load)
	default:
		return mix(overloadedColour, twiceFullColour, load-1)
	}
}
