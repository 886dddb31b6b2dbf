package netfault

import (
	"errors"
	"fmt"
	"net"
	"os"

	"golang.org/x/sys/unix"
)

const (
	noSocket             = -1
	acceptQueueTimeoutMS = 5 // a loopback connection is queued at once unless the system is overloaded
	fillerConnections    = 2 // the first fills the only place in the queue, and the next shows that it is full
)

// silentSocket listens with a full accept queue, so that the kernel drops new connections without a reply, as if the machine were down.
type silentSocket struct {
	listenFD  int   // file descriptor of the listening socket
	fillerFDs []int // file descriptors of the connections that fill the accept queue
}

func newSilentSocket() silentSocket { return silentSocket{listenFD: noSocket} }

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
	return s.fillAcceptQueue(at)
}

func (s *silentSocket) listen(at unix.Sockaddr) error {
	socket, err := unix.Socket(unix.AF_INET, unix.SOCK_STREAM|unix.SOCK_CLOEXEC, 0)
	if err != nil {
		return os.NewSyscallError("socket", err)
	}
	s.listenFD = socket
	if err := unix.SetsockoptInt(socket, unix.SOL_SOCKET, unix.SO_REUSEADDR, 1); err != nil {
		return os.NewSyscallError("setsockopt", err)
	}
	if err := unix.Bind(socket, at); err != nil {
		return os.NewSyscallError("bind", err)
	}
	return os.NewSyscallError("listen", unix.Listen(socket, 0))
}

// fillAcceptQueue fills the accept queue. It doesn't wait for the connection that gets no reply: many listeners may become unresponsive
// at the same time, and the run is paused meanwhile.
func (s *silentSocket) fillAcceptQueue(at unix.Sockaddr) error {
	for range fillerConnections {
		socket, err := unix.Socket(unix.AF_INET, unix.SOCK_STREAM|unix.SOCK_CLOEXEC|unix.SOCK_NONBLOCK, 0)
		if err != nil {
			return os.NewSyscallError("socket", err)
		}
		s.fillerFDs = append(s.fillerFDs, socket)
		if err := unix.Connect(socket, at); err != nil && !errors.Is(err, unix.EINPROGRESS) {
			return fmt.Errorf("fill the accept queue: %w", os.NewSyscallError("connect", err))
		}
	}
	first := []unix.PollFd{{Fd: int32(s.fillerFDs[0]), Events: unix.POLLOUT}}
	_, err := unix.Poll(first, acceptQueueTimeoutMS)
	if errors.Is(err, unix.EINTR) {
		return nil // the connection is queued nevertheless
	}
	return os.NewSyscallError("poll", err)
}

func (s *silentSocket) close() {
	if s.listenFD != noSocket {
		_ = unix.Close(s.listenFD) // nothing can be done about an error
		s.listenFD = noSocket
	}
	for _, socket := range s.fillerFDs {
		_ = unix.Close(socket)
	}
	s.fillerFDs = nil
}
