package daemon

import (
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"strings"
	"syscall"
	"testing"
	"time"
)

const outageDuration = 300 * time.Millisecond // for so long the system refuses a call: the term's own

// The configuration can't be read, or is only half there, in the moment in which SIGHUP comes, once or in a row: its new address of discovery is
// asked all the same, within the 4 s after which what it tells counts.
func TestReloadOfUnreadableConfiguration(t *testing.T) {
	const counts = 4 * time.Second
	for _, c := range []struct {
		name    string
		hangups int
		spoil   func(path, text string) error // the new text is there after a moment
	}{
		{"no file", 1, func(path, _ string) error { return os.Remove(path) }},
		{"no file, twice", 2, func(path, _ string) error { return os.Remove(path) }},
		{"half a file", 1, func(path, text string) error { return os.WriteFile(path, []byte(text[:len(text)/2]), 0o600) }},
		{"a folder in its place", 1, func(path, _ string) error {
			if err := os.Remove(path); err != nil {
				return err
			}
			return os.Mkdir(path, 0o700)
		}},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			watched := make(chan struct{}, 100)
			agent := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, q *http.Request) {
				w.(http.Flusher).Flush()
				watched <- struct{}{}
				<-q.Context().Done()
			}))
			t.Cleanup(agent.Close)
			t.Cleanup(agent.CloseClientConnections)
			g := newHarness(t)
			p := g.process()
			renewed := discovery.ReplaceAllLiteralString(g.config, fmt.Sprintf(`"discovery":%q`, strings.TrimPrefix(agent.URL, "http://")))
			if err := c.spoil(g.path, renewed); err != nil {
				t.Fatal(err)
			}
			start := time.Now()
			for range c.hangups {
				p.signal(syscall.SIGHUP)
			}
			time.Sleep(outageDuration)
			if err := os.RemoveAll(g.path); err != nil {
				t.Fatal(err)
			}
			if err := os.WriteFile(g.path, []byte(renewed), 0o600); err != nil {
				t.Fatal(err)
			}
			select {
			case <-watched:
				t.Logf("asked after %v", time.Since(start))
			case <-time.After(counts - time.Since(start)):
				t.Errorf("the new address is not asked within %v", counts)
			}
		})
	}
}

// An address is another's in the moment in which the process starts, or for a moment the system has nothing left for its socket: it serves there
// once it can, and is ready in time. What lasts ends it with an error that names the key.
func TestAddressInUseAtStart(t *testing.T) {
	for _, c := range []struct {
		name string
		addr func(g *harness) string
	}{
		{"clients'", func(g *harness) string { return g.listenAddress }},
		{"staff's", func(g *harness) string { return g.adminAddress }},
	} {
		t.Run(c.name, func(t *testing.T) {
			g := newHarness(t)
			other, err := net.Listen("tcp", c.addr(g))
			if err != nil {
				t.Fatal(err)
			}
			time.AfterFunc(outageDuration, func() { _ = other.Close() })
			g.processIn(t.TempDir())
			g.awaitStatus("GET", "ready", 200)
			if _, got := g.openFlow(); got != "UP 1" {
				t.Errorf("a flow hears %q", got)
			}
		})
	}
}
