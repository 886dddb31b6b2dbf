package transport

import (
	"errors"
	"net"
	"syscall"
	"testing"
	"time"

	"golang.org/x/sys/unix"
)

// A lack of local resources is distinguished from an unreachable server.
func TestDial(t *testing.T) {
	var dialer Dialer
	l := listen(t)
	closeQuietly(l)
	if _, err := dialer.Dial(t.Context(), l.Addr().String(), time.Second, nil); err == nil || errors.Is(err, ErrLocalResources) {
		t.Errorf("no server listens: %v", err)
	}
	var limit syscall.Rlimit
	if err := syscall.Getrlimit(syscall.RLIMIT_NOFILE, &limit); err != nil {
		t.Fatal(err)
	}
	if err := syscall.Setrlimit(syscall.RLIMIT_NOFILE, &syscall.Rlimit{Cur: 3, Max: limit.Max}); err != nil {
		t.Fatal(err)
	}
	_, err := dialer.Dial(t.Context(), l.Addr().String(), time.Second, nil)
	if restoreErr := syscall.Setrlimit(syscall.RLIMIT_NOFILE, &limit); restoreErr != nil {
		t.Fatal(restoreErr)
	}
	if !errors.Is(err, ErrLocalResources) {
		t.Errorf("no descriptor left: %v", err)
	}
}

// Keep-alive is off on both sides of a relay, so that the kernel does not probe idle connections.
func TestNoKeepAlive(t *testing.T) {
	l, err := Listen("127.0.0.1:0", false)
	if err != nil {
		t.Fatal(err)
	}
	defer closeQuietly(l)
	dialled, err := Dialer{}.Dial(t.Context(), l.Addr().String(), time.Second, nil)
	if err != nil {
		t.Fatal(err)
	}
	defer dialled.Close()
	accepted, err := l.Accept()
	if err != nil {
		t.Fatal(err)
	}
	defer closeQuietly(accepted)
	for name, c := range map[string]net.Conn{"accepted": accepted, "dialled": dialled.raw} {
		raw, err := c.(syscall.Conn).SyscallConn()
		if err != nil {
			t.Fatal(err)
		}
		var keepAlive int
		var optionErr error
		controlErr := raw.Control(func(fd uintptr) {
			keepAlive, optionErr = unix.GetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_KEEPALIVE)
		})
		if err := errors.Join(controlErr, optionErr); err != nil {
			t.Fatal(err)
		}
		if keepAlive != 0 {
			t.Errorf("the %s connection has keep-alive on", name)
		}
	}
}
