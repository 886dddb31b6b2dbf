package handover

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"io/fs"
	"net"
	"os"
	"path/filepath"
	"strings"
	"syscall"
	"time"

	"yardwinch/internal/routing"
)

const (
	// Version is of all that passes and is kept; another one is refused whole.
	Version = 1

	dialWithin  = time.Second
	longestFile = 1 << 20
)

// Folder is where the processes of one balancer meet, and what outlasts them is kept.
type Folder struct {
	path string
	name string // of this balancer's files
}

// Open takes a folder, which must be there and be written to; name tells this balancer's files from others'.
func Open(path, name string) (*Folder, error) {
	if path == "" {
		return nil, errors.New("no folder is named")
	}
	safe := strings.Map(func(r rune) rune {
		if r == '.' || r >= '0' && r <= '9' || r >= 'a' && r <= 'z' {
			return r
		}
		return '_'
	}, strings.ToLower(name))
	f := &Folder{path: path, name: "yardwinch-" + safe}
	probe, err := os.CreateTemp(path, f.name+".*")
	if err != nil {
		return nil, err
	}
	_, err = probe.WriteString("x")
	return f, errors.Join(err, probe.Close(), os.Remove(probe.Name()))
}

func (f *Folder) at(ending string) string { return filepath.Join(f.path, f.name+ending) }

// near runs something with a short path to a file: a socket's may have 107 bytes, the folder's own path more.
func (f *Folder) near(file string, do func(path string) error) error {
	d, err := os.Open(f.path)
	if err != nil {
		return err
	}
	defer d.Close()
	return do(fmt.Sprintf("/proc/self/fd/%d/%s", d.Fd(), file))
}

// Find connects to the process that serves now; nil where none does. What another user put there, or what is no socket, is
// left alone and reported.
func (f *Folder) Find() (c *net.UnixConn, err error) {
	s, err := os.Lstat(f.at(".sock"))
	if errors.Is(err, fs.ErrNotExist) {
		return nil, nil
	}
	if err != nil {
		return nil, err
	}
	if o, ok := s.Sys().(*syscall.Stat_t); s.Mode().Type() != fs.ModeSocket || ok && int(o.Uid) != os.Getuid() {
		return nil, fmt.Errorf("%s is no socket of ours", f.at(".sock"))
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
func (f *Folder) Listen() (l *net.UnixListener, err error) {
	if s, err := os.Lstat(f.at(".sock")); err == nil && s.Mode().Type() != fs.ModeSocket {
		return nil, fmt.Errorf("%s is no socket of ours", f.at(".sock"))
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

// kept is the file of what outlasts a process that was killed.
type kept struct {
	Version int      `json:"version"`
	Out     []string `json:"out_by_hand"`
}

// Keep writes who is out by hand, whole or not at all.
func (f *Folder) Keep(out []string) error {
	text, err := json.Marshal(kept{Version, out})
	if err != nil {
		return err
	}
	if len(text) > longestFile {
		return fmt.Errorf("%d bytes of servers out by hand, %d at most", len(text), longestFile)
	}
	t, err := os.CreateTemp(f.path, f.name+".*")
	if err != nil {
		return err
	}
	_, err = t.Write(text)
	if err = errors.Join(err, t.Close()); err == nil {
		err = os.Rename(t.Name(), f.at(".out"))
	}
	if err != nil {
		_ = os.Remove(t.Name())
	}
	return err
}

// Kept reads who was out by hand. What can't be read whole counts for nothing.
func (f *Folder) Kept() ([]string, error) {
	s, err := os.Lstat(f.at(".out"))
	if errors.Is(err, fs.ErrNotExist) {
		return nil, nil
	}
	if err != nil {
		return nil, err
	}
	if !s.Mode().IsRegular() {
		return nil, fmt.Errorf("%s is no file of ours", f.at(".out"))
	}
	file, err := os.Open(f.at(".out"))
	if err != nil {
		return nil, err
	}
	defer file.Close()
	text, err := io.ReadAll(io.LimitReader(file, longestFile+1))
	if err != nil {
		return nil, err
	}
	out, err := decodeKept(text)
	if err != nil {
		return nil, fmt.Errorf("%s: %w", f.at(".out"), err)
	}
	return out, nil
}

func decodeKept(text []byte) ([]string, error) {
	if len(text) > longestFile {
		return nil, fmt.Errorf("more than %d bytes", longestFile)
	}
	var k kept
	if err := strictly(text, &k); err != nil {
		return nil, err
	}
	if k.Version != Version {
		return nil, fmt.Errorf("version %d, want %d", k.Version, Version)
	}
	for _, id := range k.Out {
		if err := sound(id); err != nil {
			return nil, err
		}
	}
	return k.Out, nil
}

// strictly decodes one object of which every name is known and nothing follows.
func strictly(text []byte, into any) error {
	d := json.NewDecoder(bytes.NewReader(text))
	d.DisallowUnknownFields()
	if err := d.Decode(into); err != nil {
		return err
	}
	if _, err := d.Token(); !errors.Is(err, io.EOF) {
		return errors.New("something follows its end")
	}
	return nil
}

func sound(name string) error {
	if name == "" || len(name) > routing.LongestID {
		return fmt.Errorf("an id of %d bytes, 1 to %d may be", len(name), routing.LongestID)
	}
	return nil
}
