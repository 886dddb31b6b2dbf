package compatibility

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"strings"
	"testing"
	"time"
)

// Operators' scripts depend on the status and text of each control call. The calls depend on each other's effects, so
// their order matters.
func TestControlCalls(t *testing.T) {
	t.Parallel()
	d := newDaemon(t, startEchoServer(t))
	d.start()
	d.waitReady()
	var output strings.Builder
	for _, call := range []string{
		"GET /control/ready", "HEAD /control/ready", "POST /control/ready", "GET /control/ready/", "GET /control/ready?x=1",
		"POST /control/servers/a/offline", "POST /control/servers/a/offline", "POST /control/servers/a/online", "POST /control/servers/a/online",
		"GET /control/servers/a/offline", "PUT /control/servers/a/online", "DELETE /control/servers/a/offline",
		"POST /control/servers/nobody/offline", "POST /control/servers/nobody/online", "POST /control/servers/a%2Fb/offline",
		"POST /control/servers/%61/offline", "POST /control/servers/%61/online", "POST /control/servers//offline", "POST /control/servers/a/away",
		"POST /control/servers/a", "POST /control/servers/a/offline/", "GET /control//ready", "GET /control/../control/ready", "GET /", "GET /control", "GET /metrics",
		"GET /control/out-of-service", "GET /control/in-service", "POST /control/in-service",
		"POST /control/out-of-service", "POST /control/out-of-service", "GET /control/ready", "POST /control/servers/a/offline", "POST /control/servers/a/online",
		"POST /control/in-service", "POST /control/in-service", "GET /control/ready",
	} {
		method, path, _ := strings.Cut(call, " ")
		_, answer := d.call(method, path)
		fmt.Fprintf(&output, "%s: %s", call, answer)
	}
	for _, raw := range []string{"nonsense\r\n\r\n", "GET /control/ready HTTP/1.1\r\n\r\n", "GET /control/ready HTTP/1.0\r\n\r\n", "GET /control/ready HTTP/3.0\r\n\r\n",
		"POST /control/servers/" + strings.Repeat("x", 5000) + "/offline HTTP/1.1\r\nHost: a\r\n\r\n",
		"GET /control/ready HTTP/1.1\r\nHost: a\r\nX: " + strings.Repeat("x", 40000) + "\r\n\r\n"} {
		fmt.Fprintf(&output, "%.60q: %q\n", raw, d.sendRaw(raw))
	}
	compareGolden(t, "control/calls.txt", output.String())
}

// sendRaw sends text to the control address as it is, and returns the first line of the response.
func (d *daemon) sendRaw(text string) string {
	d.t.Helper()
	conn, err := (&net.Dialer{Timeout: hangTimeout}).DialContext(d.t.Context(), "tcp", d.controlAddress())
	if err != nil {
		d.t.Fatal(err)
	}
	defer func() { _ = conn.Close() }() // the response has been read
	_ = conn.SetDeadline(time.Now().Add(hangTimeout))
	go func() { _, _ = io.WriteString(conn, text) }() // the daemon may respond before it has read all
	line, _ := bufio.NewReader(conn).ReadString('\n')
	return line
}

// Without an endpoint list the daemon runs, but is not ready, and reports why.
func TestControlCallsWithoutList(t *testing.T) {
	t.Parallel()
	d := newDaemon(t, "")
	d.write(d.config, strings.Replace(readFile(t, d.config), `"known":{"revision":7,"complete":true,"members":[]},`, "", 1))
	d.start()
	d.waitUntil("the daemon has loaded its configuration", func() bool {
		code, answer := d.call("GET", "/control/ready")
		return code != 0 && !strings.Contains(answer, "loading") // it accepts control calls before it serves
	})
	var output strings.Builder
	for _, call := range []string{"GET /control/ready", "POST /control/servers/a/offline"} {
		method, path, _ := strings.Cut(call, " ")
		_, answer := d.call(method, path)
		fmt.Fprintf(&output, "%s: %s", call, answer)
	}
	compareGolden(t, "control/without-list.txt", output.String())
}

// Clients depend on the words of the reply to their first line.
func TestClientReplies(t *testing.T) {
	t.Parallel()
	d := newDaemon(t, startEchoServer(t))
	d.start()
	d.waitReady()
	var output strings.Builder
	for _, line := range []string{"PING", "OPEN 1 k c=live,d=800", "OPEN 2 k c=live,d=800,g=one", "OPEN 3 k c=none,d=800", "OPEN 4 k", "OPEN", "nonsense", "OPEN 5 k c=live,d=0", "OPEN 6 k c=live,d=x"} {
		conn, answer := d.sendLine(line)
		fmt.Fprintf(&output, "%s: %q\n", line, answer)
		_ = conn.Close()
	}
	compareGolden(t, "control/clients.txt", output.String())
}
