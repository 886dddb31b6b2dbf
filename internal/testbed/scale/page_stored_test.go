package scale

import (
	"regexp"
	"testing"
)

// withdrawnTerms matches words of stored reports for which the page uses other terms. Text in backquotes, such as names of
// series and commands, is excepted, as the page quotes it as stored.
var withdrawnTerms = regexp.MustCompile(
	`\b(told|tells?|telling|reckoned|probes?|probed|yard|turned away|in trouble|` +
		`sights?|referee|duties|heard|stood|tries|cut off|whole lists?)\b`)

var quotedText = regexp.MustCompile("`[^`]*`")

func TestPageHasNoWithdrawnTerms(t *testing.T) {
	text, err := Page(reportsDirectory)
	if err != nil {
		t.Fatal(err)
	}
	for _, term := range withdrawnTerms.FindAllString(quotedText.ReplaceAllString(string(text), ""), -1) {
		t.Errorf("the page contains the withdrawn term %q", term)
	}
}

// Name, origin and points of a series stay as stored; its texts are mapped to current terms, and current terms stay.
func TestSeriesInCurrentTerms(t *testing.T) {
	stored := Series{Name: "members.reach-at-48-sights", Quantity: "records heard by a member, records of 48 sights", Unit: "sights",
		Against: byFaulty, Origin: Calculated, Points: []Point{{Size: 1, Value: 2}}}
	got := stored.inCurrentTerms()
	if got.Name != stored.Name || got.Origin != stored.Origin || got.Points[0] != stored.Points[0] {
		t.Errorf("name, origin or points changed: %+v", got)
	}
	if want := "records received by a member, records of 48 observations"; got.Quantity != want {
		t.Errorf("quantity %q, want %q", got.Quantity, want)
	}
	if got.Unit != "observations" || got.Against != "faulty servers" {
		t.Errorf("unit %q, against %q, want observations against faulty servers", got.Unit, got.Against)
	}
	if repeated := got.inCurrentTerms(); repeated.Quantity != got.Quantity || repeated.Unit != got.Unit || repeated.Against != got.Against {
		t.Errorf("current terms became %+v, want them unchanged", repeated)
	}
}

// Reports keep the stored value of the origin, so that earlier versions of the program can read them.
func TestStoredOrigin(t *testing.T) {
	if got := string(mustJSON(t, Calculated)); got != `"reckoned"` {
		t.Errorf("the origin Calculated is stored as %s, want \"reckoned\"", got)
	}
}
