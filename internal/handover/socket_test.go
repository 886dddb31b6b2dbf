package handover

import (
	"errors"
	"io/fs"
	"net"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"yardwinch/internal/store"
)

func openSocket(t *testing.T, directory, address string) (*Socket, *store.Directory) {
	t.Helper()
	d, err := store.Open(directory, address)
	if err != nil {
		t.Fatal(err)
	}
	return NewSocket(d), d
}

// longDirectory returns a directory whose path is longer than that of a socket may be.
func longDirectory(t *testing.T) string {
	t.Helper()
	directory := filepath.Join(t.TempDir(), strings.Repeat("d", 120))
	if err := os.Mkdir(directory, 0o700); err != nil {
		t.Fatal(err)
	}
	return directory
}

func listen(t *testing.T, socket *Socket) *net.UnixListener {
	t.Helper()
	listener, err := socket.Listen(t.Context())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = listener.Close() })
	return listener
}

func wantNoProcess(t *testing.T, socket *Socket) {
	t.Helper()
	if conn, err := socket.Connect(t.Context()); conn != nil || err != nil {
		t.Errorf("Connect: %v, %v", conn, err)
	}
}

func TestSocket(t *testing.T) {
	directory := longDirectory(t)
	socket, _ := openSocket(t, directory, "127.0.0.1:8080")
	wantNoProcess(t, socket)
	for range 2 { // a process, and one that starts after it was killed
		listener := listen(t, socket)
		other, _ := openSocket(t, directory, "127.0.0.1:8080")
		conn, err := other.Connect(t.Context())
		if conn == nil || err != nil {
			t.Fatalf("Connect: %v, %v", conn, err)
		}
		_, _ = conn.Close(), listener.Close()
		wantNoProcess(t, socket)
	}
}

func TestSocketsOfOtherBalancers(t *testing.T) {
	directory := longDirectory(t)
	socket, _ := openSocket(t, directory, "127.0.0.1:8080")
	listen(t, socket)
	other, _ := openSocket(t, directory, "127.0.0.1:8081")
	wantNoProcess(t, other)
}

func TestSocketWithoutDirectory(t *testing.T) {
	socket, _ := openSocket(t, filepath.Join(t.TempDir(), "none"), "x") // the directory may be created later
	wantNoProcess(t, socket)
	if _, err := socket.Listen(t.Context()); !errors.Is(err, fs.ErrNotExist) {
		t.Errorf("Listen: %v", err)
	}
}

func TestForeignFileInPlaceOfSocket(t *testing.T) {
	socket, directory := openSocket(t, longDirectory(t), "127.0.0.1:8080")
	path := directory.Path(socketSuffix)
	for name, create := range map[string]func() error{
		"a symbolic link": func() error { return os.Symlink("/dev/null", path) },
		"a regular file":  func() error { return os.WriteFile(path, nil, 0o600) },
	} {
		t.Run(name, func(t *testing.T) {
			if err := create(); err != nil {
				t.Fatal(err)
			}
			t.Cleanup(func() { _ = os.Remove(path) })
			if conn, err := socket.Connect(t.Context()); conn != nil || !errors.Is(err, errNotOwnSocket) {
				t.Errorf("Connect: %v, %v", conn, err)
			}
			if _, err := socket.Listen(t.Context()); !errors.Is(err, errNotOwnSocket) {
				t.Errorf("Listen: %v", err)
			}
		})
	}
}
