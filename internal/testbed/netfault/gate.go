package netfault

import (
	"context"
	"errors"
	"net"
	"os"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

const placeWithin = 5 // ms until a connection on loopback has its place; it is there at once but where the system is late

// State names what a new connection meets at a gate.
type State int

// States of a gate.
const (
	Shut State = iota // refused
	Open              // let in
	Hole              // nothing comes back
)

// Gate is a place where connections come in. Only Turn changes its state.
type Gate struct {
	Addr  string // where it is to be, then where it is
	state State
	made  bool
	l     net.Listener
	fd    int   // of a hole
	fill  []int // sockets that take a hole's places
}

// NewGate makes one that is shut; at may leave the port open, which is chosen at the first Turn.
func NewGate(at string) *Gate { return &Gate{Addr: at, fd: -1} }

// Turn makes every change of a gate's state; accept is run for a listener that opens, until it closes.
func (g *Gate) Turn(to State, accept func(net.Listener)) error {
	if to == g.state && g.made {
		return nil
	}
	g.End()
	g.state = to
	switch {
	case to == Open || !g.made:
		l, err := listen(g.Addr)
		if err != nil {
			return err
		}
		g.Addr, g.made = l.Addr().String(), true
		if to != Open {
			_ = l.Close()
			g.state = Shut
			return g.Turn(to, accept)
		}
		g.l = l
		go accept(l)
	case to == Hole:
		return g.dig()
	}
	return nil
}

// listen tries for a moment: a port that was just closed may not be free yet.
func listen(at string) (l net.Listener, err error) {
	for range 50 {
		if l, err = (&net.ListenConfig{}).Listen(context.Background(), "tcp", at); err == nil || !errors.Is(err, syscall.EADDRINUSE) {
			return l, err
		}
		time.Sleep(2 * time.Millisecond)
	}
	return l, err
}

// dig makes the gate a hole: the place for connections not yet accepted is full, so that the system drops what comes
// and says nothing, as a machine that is gone does.
func (g *Gate) dig() error {
	a, err := net.ResolveTCPAddr("tcp4", g.Addr)
	if err != nil {
		return err
	}
	fd, err := unix.Socket(unix.AF_INET, unix.SOCK_STREAM|unix.SOCK_CLOEXEC, 0)
	if err != nil {
		return os.NewSyscallError("socket", err)
	}
	g.fd = fd
	if err := unix.SetsockoptInt(fd, unix.SOL_SOCKET, unix.SO_REUSEADDR, 1); err != nil {
		return os.NewSyscallError("setsockopt", err)
	}
	sa := &unix.SockaddrInet4{Port: a.Port}
	copy(sa.Addr[:], a.IP.To4())
	if err := unix.Bind(fd, sa); err != nil {
		return os.NewSyscallError("bind", err)
	}
	if err := unix.Listen(fd, 0); err != nil {
		return os.NewSyscallError("listen", err)
	}
	return g.stuff(sa)
}

// stuff takes the one place that a hole has, and asks for one more, which shows that it is taken. Nobody waits for the answer that does
// not come: a hall has many gates, which turn while the run stands still.
func (g *Gate) stuff(to unix.Sockaddr) error {
	for range 2 {
		fd, err := unix.Socket(unix.AF_INET, unix.SOCK_STREAM|unix.SOCK_CLOEXEC|unix.SOCK_NONBLOCK, 0)
		if err != nil {
			return os.NewSyscallError("socket", err)
		}
		g.fill = append(g.fill, fd)
		if err := unix.Connect(fd, to); err != nil && !errors.Is(err, unix.EINPROGRESS) {
			return os.NewSyscallError("connect", err)
		}
	}
	first := []unix.PollFd{{Fd: int32(g.fill[0]), Events: unix.POLLOUT}}
	_, err := unix.Poll(first, placeWithin)
	if errors.Is(err, unix.EINTR) {
		err = nil // it is in the queue all the same
	}
	return os.NewSyscallError("poll", err)
}

// End closes the gate; it may be turned again.
func (g *Gate) End() {
	if g.l != nil {
		_ = g.l.Close()
		g.l = nil
	}
	if g.fd >= 0 {
		_ = unix.Close(g.fd)
		g.fd = -1
	}
	for _, fd := range g.fill {
		_ = unix.Close(fd)
	}
	g.fill, g.state = nil, Shut
}

// Accept hands on what comes in at a listener until that is closed.
func Accept(l net.Listener, serve func(net.Conn)) {
	for {
		c, err := l.Accept()
		if err == nil {
			go serve(c)
			continue
		}
		if errors.Is(err, net.ErrClosed) {
			return
		}
		time.Sleep(5 * time.Millisecond) // short of descriptors
	}
}
