package scale

import (
	"cmp"
	"math"
	"slices"
	"strings"
)

// variant is a figure under one of the assumptions.
type variant struct {
	label string
	figure
}

// requirement is one of the operators' requirements with the figures that are held against it.
type requirement struct {
	statement  string // as the operators put it
	quantity   string // that is compared with the bound
	bound      figure // zero: none is stated
	values     []variant
	mechanism  string // that keeps the bound; empty: none
	dependents string // what depends on the requirement
	proposal   string // a mechanism that would keep it, not implemented
	infeasible bool   // no mechanism could keep it
}

func (l requirement) isBounded() bool { return l.bound.origin != "" && l.bound.known() }

// verdict states whether a requirement holds under every assumption.
type verdict string

const (
	verdictHolds     verdict = "holds"
	verdictBreaks    verdict = "**does not hold**"
	verdictUnknown   verdict = "not measured"
	verdictUnbounded verdict = "no bound stated"
	verdictPartly    verdict = "**holds in part**"
	verdictNever     verdict = "**can't hold**"
	noMechanism              = "**none**"
	atLeast                  = " at least" // follows a sum with omitted parts
)

// ratio is the largest ratio of a value to the bound; ok reports whether any is known.
func (l requirement) ratio() (largest float64, ok bool) {
	for _, v := range l.values {
		if v.known() && l.isBounded() {
			largest, ok = max(largest, v.value/l.bound.value), true
		}
	}
	return largest, ok
}

func (l requirement) verdict() verdict {
	if l.infeasible {
		return verdictNever
	}
	if !l.bound.known() {
		return verdictUnknown
	}
	if !l.isBounded() {
		return verdictUnbounded
	}
	over, under, open := 0, 0, 0
	for _, v := range l.values {
		switch {
		case !v.known():
			open++
		case v.value > l.bound.value:
			over++
		case len(v.omitted) > 0:
			open++
		default:
			under++
		}
	}
	switch {
	case over > 0 && under > 0:
		return verdictPartly
	case over > 0:
		return verdictBreaks
	case open > 0:
		return verdictUnknown
	default:
		return verdictHolds
	}
}

func (l requirement) valuesText() string {
	text := joinVariants(l.values, figure.valueText)
	var without []string
	for _, v := range l.values {
		without = unionOf(without, v.omitted)
	}
	if len(without) > 0 {
		text += atLeast + ", without " + strings.Join(without, ", ")
	}
	return text
}

func (l requirement) ratioText() string {
	if !l.isBounded() {
		return "–"
	}
	partial := false
	text := joinVariants(l.values, func(f figure) string {
		if !f.known() {
			return notMeasured
		}
		partial = partial || len(f.omitted) > 0
		return digits(f.value / l.bound.value)
	})
	if partial {
		text += atLeast
	}
	return text
}

func (l requirement) originText() string {
	return joinVariants(l.values, figure.Origin)
}

func (l requirement) mechanismText() string {
	if l.mechanism == "" {
		return noMechanism
	}
	return l.mechanism
}

// joinVariants joins the variants' texts, equal ones only once.
func joinVariants(variants []variant, text func(figure) string) string {
	var texts []string
	for _, v := range variants {
		texts = append(texts, text(v.figure))
	}
	return joinAlike(texts)
}

func joinAlike(texts []string) string {
	if len(slices.Compact(slices.Clone(texts))) == 1 {
		return texts[0]
	}
	return strings.Join(texts, " / ")
}

// serverCounts are the numbers of servers that figures are calculated for.
var serverCounts = []float64{smallestServers, likelyServers, largestServers}

// forEachServerCount calculates a figure for each number of servers.
func forEachServerCount(work func(servers float64) figure) (list []variant) {
	for _, servers := range serverCounts {
		list = append(list, variant{digits(servers) + " servers", work(servers)})
	}
	return list
}

func single(f figure) []variant { return []variant{{"", f}} }

// requirementsTable is the summary of all requirements.
func (p *page) requirementsTable() *table { return requirementsTableOf(p.requirements()) }

func requirementsTableOf(limits []requirement) *table {
	t := newTable("requirement", "quantity", "limit", "value", "ratio", "verdict", "mechanism", "origin")
	previous := ""
	for _, l := range limits {
		statement := l.statement
		if statement == previous {
			statement = ""
		}
		previous = l.statement
		t.row(statement, l.quantity, l.boundText(), l.valuesText(), l.ratioText(), string(l.verdict()), l.mechanismText(), l.originText())
	}
	return t
}

func (l requirement) boundText() string {
	if !l.isBounded() {
		return "–"
	}
	return l.bound.String()
}

// unmetRequirementsTable lists requirements that have no mechanism or that the mechanism does not keep, sorted by
// excess.
func (p *page) unmetRequirementsTable() *table {
	t := newTable("", "missing", "times its limit", "kept today by", "what would keep it, not implemented", "what depends on it")
	place := 0
	for _, l := range p.unmetRequirements() {
		place++
		over := notMeasured
		if ratio, ok := l.ratio(); ok {
			over = digits(ratio)
		}
		t.row(digits(float64(place)), l.quantity, over, l.mechanismText(), orDash(l.proposal), l.dependents)
	}
	return t
}

func (p *page) unmetRequirements() []requirement {
	var list []requirement
	for _, l := range slices.Concat(p.requirements(), p.partRequirements(), p.designRequirements()) {
		if l.isUnmet() {
			list = append(list, l)
		}
	}
	slices.SortStableFunc(list, func(a, b requirement) int { return cmp.Compare(b.excess(), a.excess()) })
	return list
}

func orDash(text string) string {
	if text == "" {
		return "–"
	}
	return text
}

// isUnmet reports whether a requirement does not hold, or is unknown and has no mechanism.
func (l requirement) isUnmet() bool {
	switch l.verdict() {
	case verdictBreaks, verdictPartly:
		return true
	case verdictUnknown:
		return l.mechanism == ""
	default:
		return false
	}
}

// excess is the ratio to the bound; unknown ones sort last.
func (l requirement) excess() float64 {
	ratio, ok := l.ratio()
	if !ok {
		return math.Inf(-1)
	}
	return ratio
}
