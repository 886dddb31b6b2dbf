package netfault

import (
	"errors"
	"fmt"
	"net"
	"os"

	"golang.org/x/sys/unix"
)

const (
	noSocket           = -1
	queueFillTimeoutMS = 5 // a connection on loopback is in the queue at once, unless the system is late
	fillingConnections = 2 // one takes the queue's only place, and the next shows that it is taken
)

// silentSocket listens with a full queue of connections that nobody accepts, so that the system drops new ones without an answer, as for
// a machine that is gone.
type silentSocket struct {
	listening int   // descriptor
	filling   []int // descriptors of the connections in the queue
}

func noSilentSocket() silentSocket { return silentSocket{listening: noSocket} }

func (s *silentSocket) open(address string) error {
	resolved, err := net.ResolveTCPAddr("tcp4", address)
	if err != nil {
		return err
	}
	at := &unix.SockaddrInet4{Port: resolved.Port}
	copy(at.Addr[:], resolved.IP.To4())
	if err := s.listen(at); err != nil {
		return err
	}
	return s.fill(at)
}

func (s *silentSocket) listen(at unix.Sockaddr) error {
	socket, err := unix.Socket(unix.AF_INET, unix.SOCK_STREAM|unix.SOCK_CLOEXEC, 0)
	if err != nil {
		return os.NewSyscallError("socket", err)
	}
	s.listening = socket
	if err := unix.SetsockoptInt(socket, unix.SOL_SOCKET, unix.SO_REUSEADDR, 1); err != nil {
		return os.NewSyscallError("setsockopt", err)
	}
	if err := unix.Bind(socket, at); err != nil {
		return os.NewSyscallError("bind", err)
	}
	return os.NewSyscallError("listen", unix.Listen(socket, 0))
}

// fill takes the place in the queue. It doesn't wait for the connection that gets no answer: many listeners may become unresponsive at
// one instant, and the run stands still meanwhile.
func (s *silentSocket) fill(at unix.Sockaddr) error {
	for range fillingConnections {
		socket, err := unix.Socket(unix.AF_INET, unix.SOCK_STREAM|unix.SOCK_CLOEXEC|unix.SOCK_NONBLOCK, 0)
		if err != nil {
			return os.NewSyscallError("socket", err)
		}
		s.filling = append(s.filling, socket)
		if err := unix.Connect(socket, at); err != nil && !errors.Is(err, unix.EINPROGRESS) {
			return fmt.Errorf("fill the queue: %w", os.NewSyscallError("connect", err))
		}
	}
	first := []unix.PollFd{{Fd: int32(s.filling[0]), Events: unix.POLLOUT}}
	_, err := unix.Poll(first, queueFillTimeoutMS)
	if errors.Is(err, unix.EINTR) {
		return nil // the connection is in the queue all the same
	}
	return os.NewSyscallError("poll", err)
}

func (s *silentSocket) close() {
	if s.listening != noSocket {
		_ = unix.Close(s.listening) // nothing is left to do for a descriptor that can't be closed
		s.listening = noSocket
	}
	for _, socket := range s.filling {
		_ = unix.Close(socket)
	}
	s.filling = nil
}
