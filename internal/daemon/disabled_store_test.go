package daemon

import (
	"net/http"
	"os"
	"path/filepath"
	"slices"
	"testing"
	"time"

	"yardwinch/internal/store"
)

// A server that is disabled while the directory fails gets no flows from then on. When the directory works again the
// change is saved, so that a process that starts after a kill sends no flows to the server either.
func TestDisableWhileDirectoryFails(t *testing.T) {
	for _, c := range []struct {
		name    string
		atStart bool // the directory fails from the start of the process until after the call
	}{
		{"at the call", false},
		{"at the start", true},
	} {
		t.Run(c.name, func(t *testing.T) {
			directory := filepath.Join(t.TempDir(), "tmp")
			movedDirectory := directory + "-moved"
			if err := os.Mkdir(directory, 0o700); err != nil {
				t.Fatal(err)
			}
			h := newHarness(t)
			if c.atStart {
				rename(t, directory, movedDirectory)
			}
			p := h.startIn(directory)
			h.awaitStatus("GET", "ready", http.StatusOK)
			if !c.atStart {
				rename(t, directory, movedDirectory)
			}
			h.wantStatus("POST", "servers/a/offline", http.StatusOK)
			h.wantFlow("after the call, while the directory fails", "BUSY 700")
			rename(t, movedDirectory, directory)
			h.awaitSaved(directory, "a")
			_ = p.cmd.Process.Kill()
			_ = p.cmd.Wait() // the error says that the process was killed
			next := h.successor()
			next.startIn(directory)
			next.awaitStatus("GET", "ready", http.StatusOK)
			next.wantFlow("after a kill", "BUSY 700")
			next.wantStatus("POST", "servers/a/online", http.StatusOK)
			next.awaitSaved(directory)
		})
	}
}

func rename(t *testing.T, from, to string) {
	t.Helper()
	if err := os.Rename(from, to); err != nil {
		t.Fatal(err)
	}
}

// awaitSaved waits until exactly these servers are saved as disabled.
func (h *harness) awaitSaved(root string, want ...string) {
	h.t.Helper()
	directory, err := store.Open(root, h.listenAddress)
	if err != nil {
		h.t.Fatal(err)
	}
	for end := time.Now().Add(testTimeout); ; time.Sleep(time.Millisecond) {
		got, err := directory.LoadDisabled()
		if err == nil && slices.Equal(got, want) {
			return
		}
		if time.Now().After(end) {
			h.t.Fatalf("saved: %q, %v; want %q", got, err, want)
		}
	}
}
