package scale

import (
	"regexp"
	"testing"
)

// withdrawnTerms are words of stored reports for which the page has other terms. What is in backquotes, such as names of
// series and commands, is quoted as stored.
var withdrawnTerms = regexp.MustCompile(
	`\b(told|tells?|telling|reckoned|probes?|probed|yard|turned away|in trouble|` +
		`sights?|referee|duties|heard|stood|tries|cut off|whole lists?)\b`)

var quotedText = regexp.MustCompile("`[^`]*`")

func TestPageHasNoWithdrawnTerms(t *testing.T) {
	text, err := Page(reportsDirectory)
	if err != nil {
		t.Fatal(err)
	}
	for _, found := range withdrawnTerms.FindAllString(quotedText.ReplaceAllString(string(text), ""), -1) {
		t.Errorf("the page has %q", found)
	}
}

// Names, origins and points of a series are as stored; its texts are in current terms, and current terms stay.
func TestSeriesInCurrentTerms(t *testing.T) {
	stored := Series{Name: "members.reach-at-48-sights", Quantity: "records heard by a member, records of 48 sights", Unit: "sights",
		Against: byFaulty, Origin: Calculated, Points: []Point{{Size: 1, Value: 2}}}
	got := stored.inCurrentTerms()
	if got.Name != stored.Name || got.Origin != stored.Origin || got.Points[0] != stored.Points[0] {
		t.Errorf("changed what is stored: %+v", got)
	}
	if want := "records received by a member, records of 48 observations"; got.Quantity != want {
		t.Errorf("quantity %q, want %q", got.Quantity, want)
	}
	if got.Unit != "observations" || got.Against != "faulty servers" {
		t.Errorf("unit %q, against %q", got.Unit, got.Against)
	}
	if repeated := got.inCurrentTerms(); repeated.Quantity != got.Quantity || repeated.Unit != got.Unit || repeated.Against != got.Against {
		t.Errorf("current terms became %+v", repeated)
	}
}

// Reports keep the origin's stored value, and so are readable by earlier programs.
func TestStoredOrigin(t *testing.T) {
	if got := string(mustJSON(t, Calculated)); got != `"reckoned"` {
		t.Errorf("stored as %s", got)
	}
}
