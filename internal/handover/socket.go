package handover

import (
	"context"
	"errors"
	"fmt"
	"io/fs"
	"net"
	"os"
	"path/filepath"
	"syscall"
	"time"

	"yardwinch/internal/store"
)

const (
	dialTimeout  = time.Second
	socketSuffix = ".sock"
)

// errForeign says that what stands in the place of the socket was not created by this balancer. It is left alone.
var errForeign = errors.New("is not a socket of this balancer")

// Socket is the unix socket by which a successor finds the process that serves.
type Socket struct {
	directory *store.Directory
}

// NewSocket names the socket in the directory that the processes of one balancer share. Nothing is opened yet.
func NewSocket(directory *store.Directory) *Socket { return &Socket{directory: directory} }

// withShortPath runs something with a short path to a file: a socket's path may have 107 bytes, and the
// directory's own may be longer.
func (s *Socket) withShortPath(file string, use func(path string) error) error {
	directory, err := os.Open(s.directory.Root())
	if err != nil {
		return err
	}
	defer func() { _ = directory.Close() }() // opened for reading: nothing is lost
	return use(fmt.Sprintf("/proc/self/fd/%d/%s", directory.Fd(), file))
}

// Connect connects to the process that serves; the result is nil where none does. What another user put in the
// place of the socket, or what is not a socket, is left alone and reported.
func (s *Socket) Connect(ctx context.Context) (*net.UnixConn, error) {
	path := s.directory.Path(socketSuffix)
	info, err := os.Lstat(path)
	if errors.Is(err, fs.ErrNotExist) {
		return nil, nil
	}
	if err != nil {
		return nil, fmt.Errorf("find the process that serves: %w", err)
	}
	if !isOwnSocket(info) {
		return nil, fmt.Errorf("%s: %w", path, errForeign)
	}
	var conn net.Conn
	err = s.withShortPath(s.directory.FileName(socketSuffix), func(path string) (err error) {
		dialer := net.Dialer{Timeout: dialTimeout}
		conn, err = dialer.DialContext(ctx, "unix", path)
		return err
	})
	if errors.Is(err, syscall.ECONNREFUSED) || errors.Is(err, fs.ErrNotExist) {
		return nil, nil // the process that created it was killed
	}
	if err != nil {
		return nil, fmt.Errorf("connect to the process that serves: %w", err)
	}
	return conn.(*net.UnixConn), nil
}

// isOwnSocket reports whether a file is a socket of this user.
func isOwnSocket(info fs.FileInfo) bool {
	if info.Mode().Type() != fs.ModeSocket {
		return false
	}
	owner, ok := info.Sys().(*syscall.Stat_t)
	return !ok || int(owner.Uid) == os.Getuid()
}

// Listen opens the socket by which the next process finds this one. It replaces the socket of the process before.
func (s *Socket) Listen(ctx context.Context) (*net.UnixListener, error) {
	path := s.directory.Path(socketSuffix)
	if info, err := os.Lstat(path); err == nil && info.Mode().Type() != fs.ModeSocket {
		return nil, fmt.Errorf("%s: %w", path, errForeign)
	}
	temporaryName := s.directory.FileName(fmt.Sprintf(".%d%s", os.Getpid(), socketSuffix))
	temporaryPath := filepath.Join(s.directory.Root(), temporaryName)
	_ = os.Remove(temporaryPath) // there is one only where an earlier process with this id was killed
	var listener net.Listener
	err := s.withShortPath(temporaryName, func(path string) (err error) {
		var config net.ListenConfig
		listener, err = config.Listen(ctx, "unix", path)
		return err
	})
	if err != nil {
		return nil, fmt.Errorf("listen for a successor: %w", err)
	}
	unix := listener.(*net.UnixListener)
	unix.SetUnlinkOnClose(false) // once it closes the name belongs to a later process
	if err := os.Rename(temporaryPath, path); err != nil {
		return nil, fmt.Errorf("listen for a successor: %w", errors.Join(err, unix.Close(), os.Remove(temporaryPath)))
	}
	return unix, nil
}
