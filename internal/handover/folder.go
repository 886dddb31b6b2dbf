package handover

import (
	"errors"
	"fmt"
	"io/fs"
	"net"
	"os"
	"path/filepath"
	"strings"
	"syscall"
	"time"
)

const (
	// Version is of all that passes and is kept; another one is refused whole.
	Version = 1

	dialWithin = time.Second
)

// Directory is where the processes of one balancer meet, and what outlasts them is kept.
type Directory struct {
	path  string
	name  string // of this balancer's files
	files fileSystem
}

// Open names a folder, which may fail for a while, as it may at any later time; name tells this balancer's files from others'.
func Open(path, name string) (*Directory, error) {
	if path == "" {
		return nil, errors.New("no folder is named")
	}
	safe := strings.Map(func(r rune) rune {
		if r == '.' || r >= '0' && r <= '9' || r >= 'a' && r <= 'z' {
			return r
		}
		return '_'
	}, strings.ToLower(name))
	return &Directory{path: path, name: "yardwinch-" + safe, files: systemFiles{}}, nil
}

func (f *Directory) at(ending string) string { return filepath.Join(f.path, f.name+ending) }

// near runs something with a short path to a file: a socket's may have 107 bytes, the folder's own path more.
func (f *Directory) near(file string, do func(path string) error) error {
	d, err := os.Open(f.path)
	if err != nil {
		return err
	}
	defer d.Close()
	return do(fmt.Sprintf("/proc/self/fd/%d/%s", d.Fd(), file))
}

// errForeign says that what stands in the place of our socket is none of ours. It is left alone.
var errForeign = errors.New("is no socket of ours")

// Find connects to the process that serves now; nil where none does. What another user put there, or what is no socket, is
// left alone and reported.
func (f *Directory) Find() (c *net.UnixConn, err error) {
	s, err := os.Lstat(f.at(".sock"))
	if errors.Is(err, fs.ErrNotExist) {
		return nil, nil
	}
	if err != nil {
		return nil, err
	}
	if o, ok := s.Sys().(*syscall.Stat_t); s.Mode().Type() != fs.ModeSocket || ok && int(o.Uid) != os.Getuid() {
		return nil, fmt.Errorf("%s: %w", f.at(".sock"), errForeign)
	}
	err = f.near(f.name+".sock", func(path string) error {
		raw, err := net.DialTimeout("unix", path, dialWithin)
		if err == nil {
			c = raw.(*net.UnixConn)
		}
		return err
	})
	if errors.Is(err, syscall.ECONNREFUSED) || errors.Is(err, fs.ErrNotExist) {
		return nil, nil // left by a process that was killed
	}
	return c, err
}

// Listen is where the next process finds this one; it stands in the place of whoever was found there before.
func (f *Directory) Listen() (l *net.UnixListener, err error) {
	if s, err := os.Lstat(f.at(".sock")); err == nil && s.Mode().Type() != fs.ModeSocket {
		return nil, fmt.Errorf("%s: %w", f.at(".sock"), errForeign)
	}
	own := fmt.Sprintf("%s.%d.sock", f.name, os.Getpid())
	_ = os.Remove(filepath.Join(f.path, own)) // an earlier process of this number was killed
	err = f.near(own, func(path string) error {
		raw, err := net.Listen("unix", path)
		if err == nil {
			l = raw.(*net.UnixListener)
			l.SetUnlinkOnClose(false) // by then the name is a later process's
		}
		return err
	})
	if err != nil {
		return nil, err
	}
	if err := os.Rename(filepath.Join(f.path, own), f.at(".sock")); err != nil {
		return nil, errors.Join(err, l.Close(), os.Remove(filepath.Join(f.path, own)))
	}
	return l, nil
}
