package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"syscall"
	"testing"
	"time"

	"golang.org/x/sys/unix"
)

// If the log is a full pipe that is not read, clients, PINGs and admin calls are still served.
func TestBlockedLog(t *testing.T) {
	root := buildDaemon(t)
	address := fmt.Sprintf("127.120.%d.%d", 1+os.Getpid()/250%250, 1+os.Getpid()%250)
	clients, admin := address+":18080", address+":18081"
	cmd := exec.CommandContext(t.Context(), filepath.Join(root, "bin", "yardwinch"), "serve", "--verbose")
	log := fullPipe(t)
	cmd.Stderr = log
	p := startProcess(t, cmd, fmt.Appendf(nil, `{"listen":%q,"control":%q,"discovery":"127.0.0.1:1",
		"limits":{"cores":1,"memory_mb":64,"sockets":200},
		"known":{"revision":1,"complete":true,"members":[{"id":"a","host_port":%q,"phase":"SERVING"}]},
		"settings":{"service-types":[{"name":"live","effect":"free","group":"all","hard-limit":800000000,"setup-target":300000000}]}}`,
		clients, admin, startServer(t)))
	_ = log.Close() // the process has its own descriptor
	if isRunning, err := p.awaitResponse(t.Context(), admin); err != nil || !isRunning {
		t.Fatalf("the process does not serve: %v", err)
	}
	for n := range 20 {
		wantReplies(t, clients, [][2]string{{"PING\r\n", "PONG\r\n"}, {fmt.Sprintf("OPEN %d k c=live,d=800\r\n", n), "UP 1\r\n"}})
	}
	for _, call := range []string{"offline", "online"} {
		status, err := callAdmin(t.Context(), http.MethodPost, admin, "servers/a/"+call)
		if err != nil {
			t.Fatal(err)
		}
		if status != http.StatusOK {
			t.Errorf("%s: status %d", call, status)
		}
	}
	if err := p.Signal(syscall.SIGTERM); err != nil {
		t.Error(err)
	}
	select {
	case err := <-p.ended:
		if err != nil {
			t.Errorf("ended with %v", err)
		}
	case <-time.After(testTimeout / 2):
		t.Error("the process does not end")
	}
}

// fullPipe returns the write end of a pipe that is full and is not read.
func fullPipe(t *testing.T) *os.File {
	t.Helper()
	const onePage = 4096 // the smallest capacity of a pipe
	reader, writer, err := os.Pipe()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = reader.Close() })
	if _, err := unix.FcntlInt(writer.Fd(), unix.F_SETPIPE_SZ, onePage); err != nil {
		t.Fatal(err)
	}
	if _, err := writer.Write(make([]byte, onePage)); err != nil {
		t.Fatal(err)
	}
	return writer
}

// startServer starts a server that accepts all flows.
func startServer(t *testing.T) (address string) {
	t.Helper()
	var config net.ListenConfig
	listener, err := config.Listen(t.Context(), "tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = listener.Close() })
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go acceptFlow(conn)
		}
	}()
	return listener.Addr().String()
}

func acceptFlow(conn net.Conn) {
	defer func() { _ = conn.Close() }()
	in := bufio.NewReader(conn)
	if _, err := in.ReadString('\n'); err != nil {
		return
	}
	_, _ = io.WriteString(conn, "UP 1\r\n") // fails if the balancer has closed the connection
	_, _ = io.Copy(io.Discard, in)
}

// wantReplies sends lines on one connection and checks the reply to each.
func wantReplies(t *testing.T, address string, lines [][2]string) {
	t.Helper()
	var dialer net.Dialer
	conn, err := dialer.DialContext(t.Context(), "tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = conn.Close() }()
	_ = conn.SetDeadline(time.Now().Add(time.Second))
	in := bufio.NewReader(conn)
	for _, line := range lines {
		_, _ = io.WriteString(conn, line[0]) // an error shows as a missing reply
		if got, err := in.ReadString('\n'); got != line[1] {
			t.Fatalf("%q: reply %q, error %v; want %q", line[0], got, err, line[1])
		}
	}
}
