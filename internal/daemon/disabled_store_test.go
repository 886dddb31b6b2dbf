package daemon

import (
	"os"
	"path/filepath"
	"slices"
	"testing"
	"time"

	"yardwinch/internal/handover"
)

// A server is taken out by hand while the folder of the processes fails. The rule on drains binds from then on whatever was answered, so that
// the call takes effect; and once the folder works again it is kept, so that a process that starts after a kill sends nothing there.
func TestDisableWhileDirectoryFails(t *testing.T) {
	for _, c := range []struct {
		name    string
		atStart bool // the folder fails as the process starts, and still does as the call comes
	}{
		{"as the call comes", false},
		{"as the process starts", true},
	} {
		t.Run(c.name, func(t *testing.T) {
			dir := filepath.Join(t.TempDir(), "tmp")
			away := dir + "-away"
			if err := os.Mkdir(dir, 0o700); err != nil {
				t.Fatal(err)
			}
			move := func(from, to string) {
				t.Helper()
				if err := os.Rename(from, to); err != nil {
					t.Fatal(err)
				}
			}
			g := newHarness(t)
			if c.atStart {
				move(dir, away)
			}
			p := g.processIn(dir)
			g.awaitStatus("GET", "ready", 200)
			if !c.atStart {
				move(dir, away)
			}
			g.wantStatus("POST", "servers/a/offline", 200)
			if _, got := g.openFlow(); got != "BUSY 700" {
				t.Errorf("after the call, while the folder fails, a flow hears %q", got)
			}
			move(away, dir)
			g.awaitSaved(dir, "a")
			_ = p.cmd.Process.Kill()
			_ = p.cmd.Wait()
			next := g.successor()
			next.processIn(dir)
			next.awaitStatus("GET", "ready", 200)
			if _, got := next.openFlow(); got != "BUSY 700" {
				t.Errorf("after a kill a flow hears %q", got)
			}
			next.wantStatus("POST", "servers/a/online", 200)
			next.awaitSaved(dir)
		})
	}
}

// awaitSaved waits until the folder has just these servers as out by hand; a test that hangs is to fail.
func (g *harness) awaitSaved(dir string, want ...string) {
	g.t.Helper()
	folder, err := handover.Open(dir, g.listenAddress)
	if err != nil {
		g.t.Fatal(err)
	}
	for end := time.Now().Add(10 * time.Second); ; time.Sleep(time.Millisecond) {
		got, err := folder.LoadDisabled()
		if err == nil && slices.Equal(got, want) {
			return
		}
		if time.Now().After(end) {
			g.t.Fatalf("kept are %q, %v; want %q", got, err, want)
		}
	}
}
