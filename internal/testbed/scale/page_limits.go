package scale

import (
	"cmp"
	"math"
	"slices"
	"strings"
)

// variant is a figure with a label, such as the assumption under which it holds.
type variant struct {
	label string
	figure
}

// requirement is a requirement, of the operators or of the design, with the figures that are compared with it.
type requirement struct {
	statement  string // as the operators put it
	quantity   string // what the figures state
	bound      figure // without an origin: no bound is stated
	values     []variant
	mechanism  string // mechanism that keeps the bound; empty: none
	dependents string // what depends on the requirement
	proposal   string // mechanism that would keep the bound, not implemented
	infeasible bool   // no mechanism could keep the bound
}

// isBounded reports whether a bound is stated and known.
func (r requirement) isBounded() bool { return r.bound.origin != "" && r.bound.known() }

// verdict states whether a requirement holds under every assumption.
type verdict string

const (
	verdictHolds      verdict = "holds"
	verdictFails      verdict = "**does not hold**"
	verdictUnknown    verdict = "not measured"
	verdictUnbounded  verdict = "no bound stated"
	verdictPartly     verdict = "**holds in part**"
	verdictInfeasible verdict = "**can't hold**"
	noMechanism               = "**none**"
	atLeast                   = " at least" // follows a sum with omitted parts
)

// ratio is the largest ratio of a value to the bound; ok reports whether any ratio is known.
func (r requirement) ratio() (largest float64, ok bool) {
	for _, v := range r.values {
		if v.known() && r.isBounded() {
			largest, ok = max(largest, v.value/r.bound.value), true
		}
	}
	return largest, ok
}

func (r requirement) verdict() verdict {
	if r.infeasible {
		return verdictInfeasible
	}
	if !r.bound.known() {
		return verdictUnknown
	}
	if !r.isBounded() {
		return verdictUnbounded
	}
	over, under, open := 0, 0, 0
	for _, v := range r.values {
		switch {
		case !v.known():
			open++
		case v.value > r.bound.value:
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
		return verdictFails
	case open > 0:
		return verdictUnknown
	default:
		return verdictHolds
	}
}

func (r requirement) valuesText() string {
	text := joinVariants(r.values, figure.valueText)
	var omitted []string
	for _, v := range r.values {
		omitted = unionOf(omitted, v.omitted)
	}
	if len(omitted) > 0 {
		text += atLeast + ", without " + strings.Join(omitted, ", ")
	}
	return text
}

func (r requirement) ratioText() string {
	if !r.isBounded() {
		return "–"
	}
	partial := false
	text := joinVariants(r.values, func(f figure) string {
		if !f.known() {
			return notMeasured
		}
		partial = partial || len(f.omitted) > 0
		return digits(f.value / r.bound.value)
	})
	if partial {
		text += atLeast
	}
	return text
}

func (r requirement) originText() string {
	return joinVariants(r.values, figure.Origin)
}

func (r requirement) mechanismText() string {
	if r.mechanism == "" {
		return noMechanism
	}
	return r.mechanism
}

// joinVariants joins the texts of the variants' figures, or returns the text that all of them have.
func joinVariants(variants []variant, text func(figure) string) string {
	var texts []string
	for _, v := range variants {
		texts = append(texts, text(v.figure))
	}
	return joinUnlessEqual(texts)
}

// joinUnlessEqual joins texts, or returns the first if all are equal.
func joinUnlessEqual(texts []string) string {
	if len(slices.Compact(slices.Clone(texts))) == 1 {
		return texts[0]
	}
	return strings.Join(texts, " / ")
}

// serverCounts are the numbers of servers that figures are calculated for.
var serverCounts = []float64{fewestServers, likelyServers, mostServers}

// forEachServerCount calculates a figure for each of serverCounts.
func forEachServerCount(calculate func(servers float64) figure) (variants []variant) {
	for _, servers := range serverCounts {
		variants = append(variants, variant{digits(servers) + " servers", calculate(servers)})
	}
	return variants
}

func single(f figure) []variant { return []variant{{"", f}} }

// requirementsTable shows all requirements of the operators.
func (p *page) requirementsTable() *table { return requirementsTableOf(p.requirements()) }

func requirementsTableOf(requirements []requirement) *table {
	t := newTable("requirement", "quantity", "limit", "value", "ratio", "verdict", "mechanism", "origin")
	previous := ""
	for _, r := range requirements {
		statement := r.statement
		if statement == previous {
			statement = ""
		}
		previous = r.statement
		t.addRow(statement, r.quantity, r.boundText(), r.valuesText(), r.ratioText(), string(r.verdict()), r.mechanismText(), r.originText())
	}
	return t
}

func (r requirement) boundText() string {
	if !r.isBounded() {
		return "–"
	}
	return r.bound.String()
}

// unmetRequirementsTable lists the unmet requirements in order of decreasing excess.
func (p *page) unmetRequirementsTable() *table {
	t := newTable("", "missing", "times its limit", "kept today by", "what would keep it, not implemented", "what depends on it")
	rank := 0
	for _, r := range p.unmetRequirements() {
		rank++
		ratio := notMeasured
		if value, ok := r.ratio(); ok {
			ratio = digits(value)
		}
		t.addRow(digits(float64(rank)), r.quantity, ratio, r.mechanismText(), orDash(r.proposal), r.dependents)
	}
	return t
}

func (p *page) unmetRequirements() []requirement {
	var list []requirement
	for _, r := range slices.Concat(p.requirements(), p.partRequirements(), p.designRequirements()) {
		if r.isUnmet() {
			list = append(list, r)
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

// isUnmet reports whether a requirement fails under at least one assumption, or whether its verdict is unknown and it has
// no mechanism. Infeasible requirements and those without a bound do not count as unmet.
func (r requirement) isUnmet() bool {
	switch r.verdict() {
	case verdictFails, verdictPartly:
		return true
	case verdictUnknown:
		return r.mechanism == ""
	default:
		return false
	}
}

// excess is the ratio to the bound, or negative infinity if it is unknown.
func (r requirement) excess() float64 {
	ratio, ok := r.ratio()
	if !ok {
		return math.Inf(-1)
	}
	return ratio
}
