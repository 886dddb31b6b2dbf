package report

import (
	"fmt"
	"math"

	"yardwinch/internal/testbed/experiment"
)

const (
	blue            = "#0b5fa5"
	amber           = "#d08c2f"
	red             = "#a33"
	noProcessColour = "#8d8d8d"
	defaultColour   = red // colour of policies that are not in policyColours
)

// policyColours gives the most prominent colour to the project's own policy.
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
	return defaultColour
}

// rgb is a colour as red, green and blue, 0 to 255 each.
type rgb [3]float64

var (
	idleColour       = rgb{244, 248, 251}
	fullColour       = rgb{20, 90, 150}
	overloadedColour = rgb{240, 150, 40}
	twiceFullColour  = rgb{110, 0, 20}
)

// mix interpolates linearly between two colours; fraction is clamped to 0 to 1.
func mix(from, to rgb, fraction float64) string {
	fraction = math.Max(0, math.Min(1, fraction))
	channel := func(i int) int { return int(from[i] + (to[i]-from[i])*fraction) }
	return fmt.Sprintf("#%02x%02x%02x", channel(0), channel(1), channel(2))
}

// loadColour returns the colour of a load over capacity: pale to blue up to 1, orange to dark red above. A negative load means that the
// server has no process.
func loadColour(load float64) string {
	switch {
	case load < 0:
		return noProcessColour
	case load <= 1:
		return mix(idleColour, fullColour, load)
	default:
		return mix(overloadedColour, twiceFullColour, load-1)
	}
}
