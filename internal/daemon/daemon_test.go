package daemon

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"
)

// startAgent starts a discovery agent that accepts watches and sends no list. The channel receives the name at each
// watch.
func startAgent(t *testing.T, name string, watched chan<- string) (address string) {
	t.Helper()
	agent := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		w.(http.Flusher).Flush()
		select {
		case watched <- name:
			<-r.Context().Done()
		case <-r.Context().Done():
		}
	}))
	t.Cleanup(agent.Close)
	t.Cleanup(agent.CloseClientConnections)
	return strings.TrimPrefix(agent.URL, "http://")
}

// openEchoFlow opens a flow and checks that a line is echoed.
func (h *harness) openEchoFlow() *bufio.Reader {
	h.t.Helper()
	in := h.wantFlow("of a client that sends a line", "UP 1")
	if _, err := io.WriteString(h.lastClient, "M 1\r\n"); err != nil {
		h.t.Fatal(err)
	}
	if got, err := in.ReadString('\n'); got != "M 1\r\n" {
		h.t.Fatalf("the line was echoed as %q, %v", got, err)
	}
	return in
}

// The whole life of a balancer: it loads its configuration, serves and reloads. After the stop signal it still accepts
// clients, migrates them all, and exits with no connection left.
func TestLifecycle(t *testing.T) {
	watched := make(chan string, 16)
	old, renewed := startAgent(t, "old", watched), startAgent(t, "renewed", watched)
	wantWatched := func(want string) {
		t.Helper()
		select {
		case got := <-watched:
			if got != want {
				t.Errorf("%s is watched, want %s", got, want)
			}
		case <-time.After(testTimeout):
			t.Errorf("%s is not watched", want)
		}
	}
	h := newHarness(t)
	h.setDiscovery(old)
	h.config = strings.Replace(h.config, fmt.Sprintf(`"control":%q,`, h.adminAddress), "", 1)
	writeConfig(t, h.path, h.config)
	if err := Check(t.Context(), Source{ConfigPath: h.path, Environment: os.Getenv}); err != nil {
		t.Fatal(err)
	}
	reloads := make(chan os.Signal)
	h.startWithReloads(reloads)
	wantWatched("old")
	first := h.openEchoFlow()
	for _, invalid := range []string{"{", `{}`, strings.Replace(h.config, old, "nowhere", 1)} { // each is rejected
		writeConfig(t, h.path, invalid)
		reloads <- syscall.SIGHUP
	}
	writeConfig(t, h.path, strings.Replace(h.config, old, renewed, 1))
	reloads <- syscall.SIGHUP
	wantWatched("renewed")
	reloads <- syscall.SIGHUP
	h.openEchoFlow()

	h.stop()
	reloads <- syscall.SIGHUP // a repeated reload is harmless, also during the shutdown
	start := time.Now()
	late := h.openEchoFlow() // the platform still sends clients for newClientsWindow
	for _, client := range []*bufio.Reader{first, late} {
		wantMigration(t, client)
	}
	if err := <-h.done; err != nil {
		t.Errorf("Serve: %v", err)
	}
	const clientTimeout = 800 * time.Millisecond // as configured
	if took := time.Since(start); took > clientTimeout+shutdownDrainSlack {
		t.Errorf("the shutdown took %v, longer than the platform waits", took)
	}
	if now := h.daemon.lifecycle.current(); now != stopped {
		t.Errorf("phase %s after Serve returned, want stopped", now)
	}
}

// Even if client timeouts are short, the listener stays open while the platform sends clients after the stop signal.
func TestShutdownWithShortClientTimeouts(t *testing.T) {
	for {
		h := newHarness(t)
		h.config = strings.Replace(h.config, `"hard-limit":800000000`, `"hard-limit":20000000`, 1)
		writeConfig(t, h.path, h.config)
		h.start(directoryEnvironment(t))
		start := time.Now()
		h.stop()
		time.Sleep(newClientsWindow - 50*time.Millisecond) // just before the end of the window
		conn, err := tryDial(t, h.listenAddress)
		inTime := time.Since(start) < newClientsWindow
		answer := ""
		if err == nil {
			_, _ = io.WriteString(conn, "PING\r\n") // an error shows as an empty answer
			answer, _ = bufio.NewReader(conn).ReadString('\n')
			_ = conn.Close()
		}
		t.Logf("Serve: %v", <-h.done) // TestLifecycle checks it
		if !inTime {
			continue // the test ran too slowly: the platform would not have sent this connection
		}
		if err != nil || answer == "" {
			t.Errorf("a connection within newClientsWindow: %q, %v", answer, err)
		}
		return
	}
}

// When the shutdown times out, which it does at once here, the result depends on whether a connection is left.
func TestConnectionsLeftAfterShutdown(t *testing.T) {
	for _, c := range []struct {
		name string
		sent string
		want error
	}{
		{"none", "", nil},
		{"an established client", "OPEN 1 2 c=live,d=800\r\n", errConnectionsRemain},
		{"a client in the middle of its line", "PING\r\nOPEN 1 2 c=live", errConnectionsRemain},
	} {
		t.Run(c.name, func(t *testing.T) {
			h := newHarness(t).start(directoryEnvironment(t), func(d *Daemon) { d.maxClientTimeout = -shutdownDrainSlack })
			if c.sent != "" {
				client := dial(t, h.listenAddress)
				if _, err := io.WriteString(client, c.sent); err != nil {
					t.Fatal(err)
				}
				if got, err := bufio.NewReader(client).ReadString('\n'); err != nil {
					t.Fatalf("the client received no line before the shutdown: %q, %v", got, err)
				}
			}
			h.stop()
			if err := <-h.done; !errors.Is(err, c.want) {
				t.Errorf("Serve: %v, want %v", err, c.want)
			}
		})
	}
}

func TestFaultyConfiguration(t *testing.T) {
	for _, c := range []struct{ name, text, want string }{
		{"no address", `{}`, "listen: is missing"},
		{"an invalid endpoint list", `{"listen":"127.0.0.1:0","discovery":"127.0.0.1:1","known":[],
			"settings":{"service-types":[{"name":"x"}]}}`, "known: "},
	} {
		t.Run(c.name, func(t *testing.T) {
			path := filepath.Join(t.TempDir(), "config.json")
			writeConfig(t, path, c.text)
			err := Check(t.Context(), Source{ConfigPath: path, Environment: os.Getenv})
			if err == nil || !strings.HasPrefix(err.Error(), c.want) {
				t.Errorf("Check: %v, want %s", err, c.want)
			}
		})
	}
}
