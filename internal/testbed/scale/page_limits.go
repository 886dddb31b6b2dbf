package scale

import (
	"cmp"
	"math"
	"slices"
	"strings"
)

// variant is a figure under one of the assumptions that the page is worked out for.
type variant struct {
	label string
	figure
}

// limit is one of the operators' limits with what is worked out for it.
type limit struct {
	asked     string // in the operators' words
	name      string // of the quantity that is held against it
	allowed   figure // its zero value: the operators state no bound
	worked    []variant
	mechanism string // empty: none
	rests     string // what rests on it, said where it is missing
	wants     string // what would carry it, said where it is missing; not built
	never     bool   // nothing that can be built would hold it
}

func (l limit) bounded() bool { return l.allowed.origin != "" && l.allowed.known() }

// verdict is whether the limit holds under every assumption.
type verdict string

const (
	verdictHolds     verdict = "holds"
	verdictBreaks    verdict = "**does not hold**"
	verdictUnknown   verdict = "not measured"
	verdictUnbounded verdict = "no bound stated"
	verdictPartly    verdict = "**holds in part**"
	verdictNever     verdict = "**can't hold**"
	noMechanism              = "**none**"
	atLeast                  = " at the least" // said of a sum of which parts are not measured
)

// ratio is the largest of what is worked out to what is allowed; ok tells whether anything is known.
func (l limit) ratio() (largest float64, ok bool) {
	for _, v := range l.worked {
		if v.known() && l.bounded() {
			largest, ok = max(largest, v.value/l.allowed.value), true
		}
	}
	return largest, ok
}

func (l limit) verdict() verdict {
	if l.never {
		return verdictNever
	}
	if !l.allowed.known() {
		return verdictUnknown
	}
	if !l.bounded() {
		return verdictUnbounded
	}
	over, under, open := 0, 0, 0
	for _, v := range l.worked {
		switch {
		case !v.known():
			open++
		case v.value > l.allowed.value:
			over++
		case len(v.without) > 0:
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

func (l limit) workedText() string {
	text := joinVariants(l.worked, figure.sum)
	var without []string
	for _, v := range l.worked {
		without = union(without, v.without)
	}
	if len(without) > 0 {
		text += atLeast + ", without " + strings.Join(without, ", ")
	}
	return text
}

func (l limit) ratioText() string {
	if !l.bounded() {
		return "–"
	}
	partial := false
	text := joinVariants(l.worked, func(f figure) string {
		if !f.known() {
			return notMeasured
		}
		partial = partial || len(f.without) > 0
		return digits(f.value / l.allowed.value)
	})
	if partial {
		text += atLeast
	}
	return text
}

func (l limit) originText() string {
	return joinVariants(l.worked, figure.Origin)
}

func (l limit) mechanismText() string {
	if l.mechanism == "" {
		return noMechanism
	}
	return l.mechanism
}

// joinVariants has the text of each variant, and alike ones once.
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

// pageServers are the sizes of the list that the page is worked out for.
var pageServers = []float64{smallestServers, likelyServers, largestServers}

// byServersOf works a figure out for each size of the list.
func byServersOf(work func(servers float64) figure) (list []variant) {
	for _, servers := range pageServers {
		list = append(list, variant{digits(servers) + " servers", work(servers)})
	}
	return list
}

func onlyOne(f figure) []variant { return []variant{{"", f}} }

// limitsTable is the table that is read in a minute.
func (p *page) limitsTable() *table { return tableOf(p.limits()) }

func tableOf(limits []limit) *table {
	t := newTable("asked for", "quantity", "limit", "worked out", "ratio", "verdict", "mechanism", "origin")
	before := ""
	for _, l := range limits {
		asked := l.asked
		if asked == before {
			asked = ""
		}
		before = l.asked
		t.row(asked, l.name, l.allowedText(), l.workedText(), l.ratioText(), string(l.verdict()), l.mechanismText(), l.originText())
	}
	return t
}

func (l limit) allowedText() string {
	if !l.bounded() {
		return "–"
	}
	return l.allowed.String()
}

// missingTable lists limits that no mechanism carries or that the mechanism does not keep, furthest over first.
func (p *page) missingTable() *table {
	t := newTable("", "missing", "times its limit", "carried today by", "what would carry it, not built", "what rests on it")
	place := 0
	for _, l := range p.missing() {
		place++
		over := notMeasured
		if ratio, ok := l.ratio(); ok {
			over = digits(ratio)
		}
		t.row(digits(float64(place)), l.name, over, l.mechanismText(), orDash(l.wants), l.rests)
	}
	return t
}

func (p *page) missing() []limit {
	var list []limit
	for _, l := range slices.Concat(p.limits(), p.partLimits(), p.ownTerms()) {
		if l.isMissing() {
			list = append(list, l)
		}
	}
	slices.SortStableFunc(list, func(a, b limit) int { return cmp.Compare(b.order(), a.order()) })
	return list
}

func orDash(text string) string {
	if text == "" {
		return "–"
	}
	return text
}

// isMissing tells whether a limit does not hold, or is not known to hold by anything that carries it.
func (l limit) isMissing() bool {
	switch l.verdict() {
	case verdictBreaks, verdictPartly:
		return true
	case verdictUnknown:
		return l.mechanism == ""
	default:
		return false
	}
}

// order is how far over its limit one is; one that is not known comes after all that are.
func (l limit) order() float64 {
	ratio, ok := l.ratio()
	if !ok {
		return math.Inf(-1)
	}
	return ratio
}
