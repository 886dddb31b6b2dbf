package handover

import (
	"context"
	"encoding/binary"
	"encoding/json"
	"errors"
	"io"
	"io/fs"
	"net"
	"os"
	"path/filepath"
	"reflect"
	"strings"
	"syscall"
	"testing"
	"time"

	"yardwinch/decide"
	"yardwinch/internal/routing"
)

// pair is a link's connection from both ends.
func pair(t testing.TB) (a, b *net.UnixConn) {
	t.Helper()
	fds, err := syscall.Socketpair(syscall.AF_UNIX, syscall.SOCK_STREAM, 0)
	if err != nil {
		t.Fatal(err)
	}
	var ends [2]*net.UnixConn
	for i, fd := range fds {
		f := os.NewFile(uintptr(fd), "pair")
		c, err := net.FileConn(f)
		_ = f.Close()
		if err != nil {
			t.Fatal(err)
		}
		ends[i] = c.(*net.UnixConn)
		t.Cleanup(func() { _ = c.Close() })
	}
	return ends[0], ends[1]
}

func TestLink(t *testing.T) {
	a, b := pair(t)
	socket, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer socket.Close()
	var heard []string
	hold, stuck := make(chan struct{}), make(chan struct{})
	far := NewLink(b, map[string]Handler{
		"slow":  func([]byte, []*os.File) (any, []syscall.Conn, error) { <-hold; return "late", nil, nil },
		"stuck": func([]byte, []*os.File) (any, []syscall.Conn, error) { <-stuck; return "later", nil, nil },
		"give": func([]byte, []*os.File) (any, []syscall.Conn, error) {
			return "socket", []syscall.Conn{socket.(*net.TCPListener)}, nil
		},
	}, map[string]Handler{"set": func(x []byte, _ []*os.File) (any, []syscall.Conn, error) {
		heard = append(heard, string(x))
		return nil, nil, nil
	}, "no": func([]byte, []*os.File) (any, []syscall.Conn, error) { return nil, nil, errors.New("never") }})
	near := NewLink(a, nil, nil)
	ends := make(chan error, 2)
	for _, l := range []*Link{near, far} {
		go func() { ends <- l.Run() }()
	}
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	late := near.Ask("slow", nil)
	for i := range 3 { // none waits behind the slow one
		_, err = near.Ask("set", i)(ctx, nil)
		err = errors.Join(err, near.Say("set", i))
	}
	if _, last := near.Ask("set", "")(ctx, nil); err == nil { // what is said has no answer of its own
		err = last
	}
	var word string
	if close(hold); err == nil {
		_, err = late(ctx, &word)
	}
	if got := strings.Join(heard, ""); err != nil || word != "late" || got != `001122""` {
		t.Errorf("%v, slow %q, heard %q", err, word, got)
	}
	if _, err := near.Ask("no", nil)(ctx, nil); !errors.Is(err, ErrRefused) || !strings.Contains(err.Error(), "never") {
		t.Errorf("a no is heard as %v", err)
	}
	if _, err := near.Ask("what", nil)(ctx, nil); !errors.Is(err, ErrRefused) {
		t.Errorf("an unknown question is answered %v", err)
	}
	files, err := near.Ask("give", nil)(ctx, &word)
	if err != nil || len(files) != 1 {
		t.Fatalf("%d files, %v", len(files), err)
	}
	copied, err := net.FileListener(files[0])
	if closeAll(files); err != nil || copied.Addr().String() != socket.Addr().String() {
		t.Errorf("the socket that came: %v, %v", copied, err)
	}
	_ = copied.Close()
	gone, stop := context.WithCancel(ctx)
	stop()
	if _, err := near.Ask("stuck", nil)(gone, nil); !errors.Is(err, context.Canceled) {
		t.Errorf("an answer given up on: %v", err)
	}
	close(stuck) // not before: an answer that is there may be taken, given up on or not
	far.Close()
	<-near.Gone()
	for range 2 {
		if err := <-ends; err != nil {
			t.Errorf("the link ended with an error: %v", err)
		}
	}
	if _, err := near.Ask("set", 1)(ctx, nil); !errors.Is(err, ErrPeerGone) {
		t.Errorf("after the end: %v", err)
	}
}

func TestBadFrames(t *testing.T) {
	long := binary.BigEndian.AppendUint32(nil, longestFrame+1)
	for _, c := range []struct{ name, text, want string }{
		{"longer than allowed", string(long), "at most"},
		{"cut", "\x00\x00\x00\x09{\"kind\"", io.ErrUnexpectedEOF.Error()},
		{"no JSON", "\x00\x00\x00\x02{]", "none"},
		{"another kind of value", "\x00\x00\x00\x02[]", "none"},
	} {
		t.Run(c.name, func(t *testing.T) {
			a, b := pair(t)
			if _, err := a.Write([]byte(c.text)); err != nil {
				t.Fatal(err)
			}
			_ = a.Close()
			if err := NewLink(b, nil, nil).Run(); err == nil || !strings.Contains(err.Error(), c.want) {
				t.Errorf("ends with %v, want %s", err, c.want)
			}
		})
	}
}

func TestFolder(t *testing.T) {
	deep := filepath.Join(t.TempDir(), strings.Repeat("d", 120)) // longer than a socket's path may be
	if err := os.Mkdir(deep, 0o700); err != nil {
		t.Fatal(err)
	}
	open := func() *Directory {
		t.Helper()
		f, err := Open(deep, "127.0.0.1:8080")
		if err != nil {
			t.Fatal(err)
		}
		return f
	}
	f := open()
	t.Run("nobody", func(t *testing.T) {
		if c, err := f.Find(); c != nil || err != nil {
			t.Errorf("found %v, %v", c, err)
		}
	})
	t.Run("one, a killed one, another one", func(t *testing.T) {
		for range 2 {
			l, err := f.Listen()
			if err != nil {
				t.Fatal(err)
			}
			c, err := open().Find()
			if c == nil || err != nil {
				t.Fatalf("found %v, %v", c, err)
			}
			_, _ = c.Close(), l.Close()
			if c, err := f.Find(); c != nil || err != nil {
				t.Errorf("after a kill: found %v, %v", c, err)
			}
		}
	})
	t.Run("other balancers' sockets are theirs", func(t *testing.T) {
		l, err := f.Listen()
		if err != nil {
			t.Fatal(err)
		}
		defer l.Close()
		g, err := Open(deep, "127.0.0.1:8081")
		if err != nil {
			t.Fatal(err)
		}
		if c, err := g.Find(); c != nil || err != nil {
			t.Errorf("found %v, %v", c, err)
		}
	})
	t.Run("out by hand is kept", func(t *testing.T) {
		for _, want := range [][]string{{"a", "b/c \""}, nil} {
			if err := f.SaveDisabled(want); err != nil {
				t.Fatal(err)
			}
			if got, err := open().LoadDisabled(); err != nil || !reflect.DeepEqual(got, want) {
				t.Errorf("kept %q, %v, want %q", got, err, want)
			}
		}
	})
	t.Run("no folder", func(t *testing.T) {
		if _, err := Open("", "x"); err == nil {
			t.Error("no name is taken for one")
		}
		missing, err := Open(filepath.Join(deep, "none"), "x") // it may come later
		if err != nil {
			t.Fatal(err)
		}
		if c, err := missing.Find(); c != nil || err != nil {
			t.Errorf("found %v, %v", c, err)
		}
		_, errListen := missing.Listen()
		_, errKept := missing.LoadDisabled()
		for what, err := range map[string]error{"listen": errListen, "keep": missing.SaveDisabled(nil), "read": errKept} {
			if !errors.Is(err, fs.ErrNotExist) {
				t.Errorf("%s in a folder that is not there: %v", what, err)
			}
		}
	})
	t.Run("links and files in the place of a socket", func(t *testing.T) {
		for _, put := range []func(string) error{
			func(at string) error { return os.Symlink("/dev/null", at) },
			func(at string) error { return os.WriteFile(at, nil, 0o600) }} {
			_ = os.Remove(f.at(".sock"))
			if err := put(f.at(".sock")); err != nil {
				t.Fatal(err)
			}
			if c, err := f.Find(); c != nil || err == nil {
				t.Errorf("found %v, %v", c, err)
			}
			if _, err := f.Listen(); err == nil {
				t.Error("it is replaced")
			}
		}
	})
	t.Run("a link in the place of what is kept", func(t *testing.T) {
		_ = os.Remove(f.at(".out"))
		if err := os.Symlink("/etc/hostname", f.at(".out")); err != nil {
			t.Fatal(err)
		}
		if got, err := f.LoadDisabled(); got != nil || err == nil {
			t.Errorf("kept %q, %v", got, err)
		}
	})
}

var badlyKept = []string{"", "{", `{"version":2,"out_by_hand":["a"]}`, `{"version":1,"out_by_hand":["a"]}x`, `{"version":1,"out_by_hand":[""]}`,
	`{"version":1,"more":1}`, `{"version":1,"out_by_hand":["` + strings.Repeat("x", routing.MaxIDLength+1) + `"]}`, `{"version":1,"out_by_hand":[1]}`}

func TestBadlyKept(t *testing.T) {
	for _, text := range append(badlyKept, strings.Repeat(" ", longestFile+1)) {
		if out, err := decodeKept([]byte(text)); err == nil || out != nil {
			t.Errorf("%.50q is taken as %q", text, out)
		}
	}
}

func FuzzKept(f *testing.F) {
	for _, text := range append(badlyKept, `{"version":1,"out_by_hand":["a","b"]}`) {
		f.Add([]byte(text))
	}
	f.Fuzz(func(t *testing.T, text []byte) {
		if out, err := decodeKept(text); err != nil && out != nil {
			t.Errorf("a fault leaves %q", out)
		}
	})
}

func whole() State {
	return State{Version: Version, IDsKey: []byte{1}, IDs: make([]byte, 16), Revision: 3, Router: routing.Snapshot{
		Servers: []routing.EndpointSnapshot{{Name: "a"}}, Decisions: decide.Snapshot{Now: time.Second, Servers: []decide.ServerSnapshot{{Size: 1}}}}}
}

func TestState(t *testing.T) {
	for _, c := range []struct {
		name string
		do   func(*State)
		ok   bool
	}{
		{"whole", func(*State) {}, true},
		{"a later version", func(s *State) { s.Version++ }, false},
		{"ids cut", func(s *State) { s.IDs = s.IDs[:9] }, false},
		{"no key", func(s *State) { s.IDsKey = nil }, false},
		{"descriptors below nought", func(s *State) { s.Connections = -1 }, false},
		{"a server without a name", func(s *State) { s.Router.Servers[0].Name = "" }, false},
		{"servers that don't match", func(s *State) { s.Router.Servers = nil }, false},
		{"a word the list has not", func(s *State) { s.Router.Decisions.Servers[0].Listed = 7 }, false},
		{"more sent than none", func(s *State) { s.Router.Decisions.Servers[0].ColdSent = -1 }, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			s := whole()
			c.do(&s)
			if err := s.Validate(); (err == nil) != c.ok {
				t.Errorf("%v", err)
			}
		})
	}
}

func FuzzState(f *testing.F) {
	text, err := json.Marshal(whole())
	if err != nil {
		f.Fatal(err)
	}
	f.Add(text)
	f.Add([]byte(`{"version":1}`))
	f.Fuzz(func(t *testing.T, text []byte) {
		var s State
		if json.Unmarshal(text, &s) == nil && s.Validate() == nil {
			routing.New(routing.Config{Seed: 1, LatencyThreshold: time.Second, Configure: func(*decide.Balancer) (map[string]decide.ServiceID, map[string]decide.CustomerID) {
				return nil, nil
			}}).Restore(s.Router) // whatever passes the check can be taken over
		}
	})
}

// What is done after an answer is done once the other process can have it, and is told where that one never will.
func TestAfterTheAnswer(t *testing.T) {
	a, b := pair(t)
	has, did := make(chan struct{}), make(chan bool, 2)
	far := NewLink(b, map[string]Handler{
		"keep": func([]byte, []*os.File) (any, []syscall.Conn, error) {
			return After(func(written bool) { <-has; did <- written }), nil, nil
		},
		"lose": func([]byte, []*os.File) (any, []syscall.Conn, error) {
			_ = b.Close() // this process has the question, and the answer never leaves it
			return After(func(written bool) { did <- written }), nil, nil
		},
	}, nil)
	near := NewLink(a, nil, nil)
	for _, l := range []*Link{near, far} {
		go l.Run()
	}
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second) // a test that hangs is to fail
	defer cancel()
	if _, err := near.Ask("keep", nil)(ctx, nil); err != nil {
		t.Fatalf("done before the answer was written: %v", err)
	}
	close(has)
	if !<-did {
		t.Error("an answer that arrived counts as lost")
	}
	if _, err := near.Ask("lose", nil)(ctx, nil); !errors.Is(err, ErrPeerGone) {
		t.Errorf("an answer that was lost: %v", err)
	}
	if <-did {
		t.Error("an answer that was lost counts as written")
	}
}
