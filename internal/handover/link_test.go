package handover

import (
	"context"
	"encoding/binary"
	"errors"
	"io"
	"net"
	"os"
	"strings"
	"syscall"
	"testing"
	"time"
)

const testTimeout = 10 * time.Second // a test that hangs fails

// connectedPair is a link's connection from both ends.
func connectedPair(t testing.TB) (near, far *net.UnixConn) {
	t.Helper()
	descriptors, err := syscall.Socketpair(syscall.AF_UNIX, syscall.SOCK_STREAM, 0)
	if err != nil {
		t.Fatal(err)
	}
	var ends [2]*net.UnixConn
	for i, descriptor := range descriptors {
		file := os.NewFile(uintptr(descriptor), "pair")
		conn, err := net.FileConn(file)
		_ = file.Close() // the connection has a copy
		if err != nil {
			t.Fatal(err)
		}
		ends[i] = conn.(*net.UnixConn)
		t.Cleanup(func() { _ = conn.Close() })
	}
	return ends[0], ends[1]
}

// runLinks runs both ends; the channel gives what each of them ended with.
func runLinks(ctx context.Context, links ...*Link) <-chan error {
	ended := make(chan error, len(links))
	for _, link := range links {
		go func() { ended <- link.Run(ctx) }()
	}
	return ended
}

// request sends a request without a body and waits for the reply.
func request(ctx context.Context, link *Link, kind string, into any) ([]*os.File, error) {
	return link.Request(kind, nil).Wait(ctx, into)
}

func TestLinkKeepsOrder(t *testing.T) {
	nearConn, farConn := connectedPair(t)
	var received []string
	release := make(chan struct{})
	far := NewLink(farConn, map[string]Handler{
		"slow": func(context.Context, Request) (Response, error) {
			<-release
			return Response{Body: "late"}, nil
		},
	}, map[string]Handler{
		"ordered": func(_ context.Context, r Request) (Response, error) {
			received = append(received, string(r.Body))
			return Response{}, nil
		},
	})
	near := NewLink(nearConn, nil, nil)
	ctx, cancel := context.WithTimeout(t.Context(), testTimeout)
	defer cancel()
	ended := runLinks(ctx, near, far)
	slow := near.Request("slow", nil)
	for i := range 3 { // none waits behind the slow one
		if _, err := near.Request("ordered", i).Wait(ctx, nil); err != nil {
			t.Fatal(err)
		}
		if err := near.Notify("ordered", i); err != nil {
			t.Fatal(err)
		}
	}
	if _, err := near.Request("ordered", "").Wait(ctx, nil); err != nil { // a notice has no reply of its own
		t.Fatal(err)
	}
	close(release)
	var text string
	if _, err := slow.Wait(ctx, &text); err != nil || text != "late" {
		t.Errorf("the slow reply is %q, %v", text, err)
	}
	if got := strings.Join(received, ""); got != `001122""` {
		t.Errorf("received in the order %q", got)
	}
	far.Close()
	for range 2 {
		if err := <-ended; err != nil {
			t.Errorf("the link ended with an error: %v", err)
		}
	}
}

func TestLinkRefuses(t *testing.T) {
	nearConn, farConn := connectedPair(t)
	far := NewLink(farConn, nil, map[string]Handler{
		"refused": func(context.Context, Request) (Response, error) { return Response{}, errors.New("never") },
	})
	near := NewLink(nearConn, nil, nil)
	ctx, cancel := context.WithTimeout(t.Context(), testTimeout)
	defer cancel()
	runLinks(ctx, near, far)
	if _, err := request(ctx, near, "refused", nil); !errors.Is(err, ErrRefused) || !strings.Contains(err.Error(), "never") {
		t.Errorf("a refusal is %v", err)
	}
	if _, err := request(ctx, near, "unknown", nil); !errors.Is(err, ErrRefused) {
		t.Errorf("an unknown request is answered %v", err)
	}
}

func TestLinkPassesDescriptors(t *testing.T) {
	nearConn, farConn := connectedPair(t)
	var config net.ListenConfig
	socket, err := config.Listen(t.Context(), "tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = socket.Close() })
	far := NewLink(farConn, map[string]Handler{
		"give": func(context.Context, Request) (Response, error) {
			return Response{Body: "socket", Descriptors: []syscall.Conn{socket.(*net.TCPListener)}}, nil
		},
	}, nil)
	near := NewLink(nearConn, nil, nil)
	ctx, cancel := context.WithTimeout(t.Context(), testTimeout)
	defer cancel()
	runLinks(ctx, near, far)
	var text string
	files, err := request(ctx, near, "give", &text)
	if err != nil || len(files) != 1 || text != "socket" {
		t.Fatalf("%d files with %q, %v", len(files), text, err)
	}
	received, err := net.FileListener(files[0])
	closeFiles(files)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = received.Close() })
	if received.Addr().String() != socket.Addr().String() {
		t.Errorf("the socket that came listens on %s, not on %s", received.Addr(), socket.Addr())
	}
}

func TestLinkEnds(t *testing.T) {
	nearConn, farConn := connectedPair(t)
	release := make(chan struct{})
	far := NewLink(farConn, map[string]Handler{
		"stuck": func(context.Context, Request) (Response, error) {
			<-release
			return Response{Body: "later"}, nil
		},
	}, nil)
	near := NewLink(nearConn, nil, nil)
	ctx, cancel := context.WithTimeout(t.Context(), testTimeout)
	defer cancel()
	ended := runLinks(ctx, near, far)
	cancelled, stop := context.WithCancel(ctx)
	stop()
	if _, err := request(cancelled, near, "stuck", nil); !errors.Is(err, context.Canceled) {
		t.Errorf("a reply that is given up on: %v", err)
	}
	close(release) // not earlier: a reply that is there may be taken all the same
	far.Close()
	<-near.Gone()
	for range 2 {
		if err := <-ended; err != nil {
			t.Errorf("the link ended with an error: %v", err)
		}
	}
	if _, err := request(ctx, near, "stuck", nil); !errors.Is(err, ErrPeerGone) {
		t.Errorf("a request after the end: %v", err)
	}
}

func TestBadFrames(t *testing.T) {
	tooLong := binary.BigEndian.AppendUint32(nil, maxFrameBytes+1)
	for _, c := range []struct{ name, text, want string }{
		{"longer than allowed", string(tooLong), "at most"},
		{"cut", "\x00\x00\x00\x09{\"kind\"", io.ErrUnexpectedEOF.Error()},
		{"no JSON", "\x00\x00\x00\x02{]", "decode frame"},
		{"another kind of value", "\x00\x00\x00\x02[]", "decode frame"},
	} {
		t.Run(c.name, func(t *testing.T) {
			near, far := connectedPair(t)
			if _, err := near.Write([]byte(c.text)); err != nil {
				t.Fatal(err)
			}
			_ = near.Close() // what was written stays readable
			if err := NewLink(far, nil, nil).Run(t.Context()); err == nil || !strings.Contains(err.Error(), c.want) {
				t.Errorf("ends with %v, want %s", err, c.want)
			}
		})
	}
}

// What runs after a reply runs once the other process can have the reply, and learns where that one never will.
func TestAfterSend(t *testing.T) {
	nearConn, farConn := connectedPair(t)
	hasReply, reported := make(chan struct{}), make(chan bool, 2)
	far := NewLink(farConn, map[string]Handler{
		"keep": func(context.Context, Request) (Response, error) {
			return Response{AfterSend: func(sent bool) { <-hasReply; reported <- sent }}, nil
		},
		"lose": func(context.Context, Request) (Response, error) {
			_ = farConn.Close() // this process has the request, and the reply never leaves it
			return Response{AfterSend: func(sent bool) { reported <- sent }}, nil
		},
	}, nil)
	near := NewLink(nearConn, nil, nil)
	ctx, cancel := context.WithTimeout(t.Context(), testTimeout)
	defer cancel()
	runLinks(ctx, near, far)
	if _, err := request(ctx, near, "keep", nil); err != nil {
		t.Fatalf("it runs before the reply is sent: %v", err)
	}
	close(hasReply)
	if !<-reported {
		t.Error("a reply that arrived counts as lost")
	}
	if _, err := request(ctx, near, "lose", nil); !errors.Is(err, ErrPeerGone) {
		t.Errorf("a reply that was lost: %v", err)
	}
	if <-reported {
		t.Error("a reply that was lost counts as sent")
	}
}
