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

// errNotOwnSocket says that the file at the socket's path is not a socket or, in Connect, that it belongs to another
// user. Such a file is not touched.
var errNotOwnSocket = errors.New("is not a socket of this balancer")

// Socket is the Unix socket by which a successor finds the process that serves.
type Socket struct {
	directory *store.Directory
}

// NewSocket returns the socket in the directory that the processes of one balancer share. It opens nothing.
func NewSocket(directory *store.Directory) *Socket { return &Socket{directory: directory} }

// withShortPath calls use with a short path to a file in the directory: the path of a socket is limited to 107 bytes,
// and that of the directory may be longer.
func (s *Socket) withShortPath(file string, use func(path string) error) error {
	directory, err := os.Open(s.directory.Root())
	if err != nil {
		return err
	}
	defer func() { _ = directory.Close() }() // opened for reading: the error can be ignored
	return use(fmt.Sprintf("/proc/self/fd/%d/%s", directory.Fd(), file))
}

// Connect connects to the process that serves; the result is nil if there is none. It is an error if the file at the
// socket's path belongs to another user or is not a socket; that file is not touched.
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
		return nil, fmt.Errorf("%s: %w", path, errNotOwnSocket)
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

// isOwnSocket reports whether a file is a socket that belongs to this user.
func isOwnSocket(info fs.FileInfo) bool {
	if info.Mode().Type() != fs.ModeSocket {
		return false
	}
	owner, ok := info.Sys().(*syscall.Stat_t)
	return !ok || int(owner.Uid) == os.Getuid()
}

// Listen opens the socket by which a successor finds this process. It replaces the socket of the previous process.
func (s *Socket) Listen(ctx context.Context) (*net.UnixListener, error) {
	path := s.directory.Path(socketSuffix)
	if info, err := os.Lstat(path); err == nil && info.Mode().Type() != fs.ModeSocket {
		return nil, fmt.Errorf("%s: %w", path, errNotOwnSocket)
	}
	temporaryName := s.directory.FileName(fmt.Sprintf(".%d%s", os.Getpid(), socketSuffix))
	temporaryPath := filepath.Join(s.directory.Root(), temporaryName)
	_ = os.Remove(temporaryPath) // exists only if an earlier process with this process id was killed
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
	unix.SetUnlinkOnClose(false) // by then the path may belong to a later process
	if err := os.Rename(temporaryPath, path); err != nil {
		return nil, fmt.Errorf("listen for a successor: %w", errors.Join(err, unix.Close(), os.Remove(temporaryPath)))
	}
	return unix, nil
}
