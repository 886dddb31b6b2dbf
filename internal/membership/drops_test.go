package membership

import (
	"errors"
	"fmt"
	"log/slog"
	"strings"
	"testing"
)

// captureLog returns the lines that a function logs.
func captureLog(t *testing.T, do func()) []string {
	t.Helper()
	var log strings.Builder
	previous := slog.Default()
	slog.SetDefault(slog.New(slog.NewTextHandler(&log, nil)))
	defer slog.SetDefault(previous)
	do()
	return strings.Split(strings.TrimSpace(log.String()), "\n")
}

func TestDropsAreCountedAndLoggedByKind(t *testing.T) {
	var drops DropCounter
	lines := captureLog(t, func() {
		for i := range MaxDropKinds + 2 {
			drops.Add(fmt.Sprint("kind ", i), "a reason")
			drops.Add(fmt.Sprint("kind ", i), "a reason")
		}
	})
	totals := drops.Totals()
	if len(totals) != MaxDropKinds+1 || totals["kind 0"] != 2 || totals[otherDrops] != 4 {
		t.Errorf("counted %v, want 2 of each of the first %d kinds, and 4 others", totals, MaxDropKinds)
	}
	if len(lines) != MaxDropKinds+1 {
		t.Errorf("got %d log lines, want one for each kind", len(lines))
	}
	if first := lines[0]; !strings.Contains(first, `msg="membership input dropped" error="a reason" count=1 total=1`) {
		t.Errorf("the first line is %s, want the message, the reason and the counts", first)
	}
}

// An engine exit is counted among the drops, but logged under its own message rather than as dropped input.
func TestEngineEndIsLogged(t *testing.T) {
	group := New("", Instance{}, nil)
	lines := captureLog(t, func() { group.reportEngineEnd(errors.New("exit status 2")) })
	if len(lines) != 1 || !strings.Contains(lines[0], `msg="membership engine ended"`) || !strings.Contains(lines[0], "exit status 2") ||
		!strings.Contains(lines[0], "advice=") {
		t.Errorf("logged %q, want one line that the engine ended, with its exit status and advice", lines)
	}
	if dropped := group.Dropped(); dropped["the engine ended"] != 1 {
		t.Errorf("counted %v, want one end of the engine", dropped)
	}
}
