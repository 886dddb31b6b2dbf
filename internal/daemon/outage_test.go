package daemon

import (
	"net/http"
	"os"
	"syscall"
	"testing"
	"time"
)

// outageDuration is how long a file or an address is unavailable; the figure is from the operators.
const outageDuration = 300 * time.Millisecond

// The configuration can't be read, or is incomplete, when one SIGHUP or several arrive. When it becomes readable its new
// discovery address is watched, within the 4 s that are allowed.
func TestReloadOfUnreadableConfiguration(t *testing.T) {
	const allowed = 4 * time.Second
	for _, c := range []struct {
		name    string
		reloads int
		corrupt func(path, text string) error // puts the file into its state during the outage
	}{
		{"no file", 1, func(path, _ string) error { return os.Remove(path) }},
		{"no file, twice", 2, func(path, _ string) error { return os.Remove(path) }},
		{"a truncated file", 1, func(path, text string) error { return os.WriteFile(path, []byte(text[:len(text)/2]), 0o600) }},
		{"a directory in its place", 1, func(path, _ string) error {
			if err := os.Remove(path); err != nil {
				return err
			}
			return os.Mkdir(path, 0o700)
		}},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			watched := make(chan string, 100)
			agent := startAgent(t, "agent", watched)
			h := newHarness(t)
			p := h.startAndAwait()
			h.setDiscovery(agent)
			if err := c.corrupt(h.path, h.config); err != nil {
				t.Fatal(err)
			}
			start := time.Now()
			for range c.reloads {
				p.signal(syscall.SIGHUP)
			}
			time.Sleep(outageDuration)
			if err := os.RemoveAll(h.path); err != nil {
				t.Fatal(err)
			}
			writeConfig(t, h.path, h.config)
			select {
			case <-watched:
				t.Logf("watched after %v", time.Since(start))
			case <-time.After(allowed - time.Since(start)):
				t.Errorf("the new address is not watched within %v", allowed)
			}
		})
	}
}

// An address is in use when the balancer starts: the balancer retries until the address is free, and is ready in time.
func TestAddressInUseAtStart(t *testing.T) {
	for _, c := range []struct {
		name    string
		address func(*harness) string
	}{
		{"for clients", func(h *harness) string { return h.listenAddress }},
		{"for operators", func(h *harness) string { return h.adminAddress }},
	} {
		t.Run(c.name, func(t *testing.T) {
			h := newHarness(t)
			other := listenAt(t, c.address(h))
			time.AfterFunc(outageDuration, func() { _ = other.Close() })
			h.startIn(t.TempDir())
			h.awaitStatus("GET", "ready", http.StatusOK)
			h.wantFlow("afterwards", "UP 1")
		})
	}
}
