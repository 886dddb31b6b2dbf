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

const testTimeout = 10 * time.Second // a wait longer than this fails the test

// connectedPair returns both ends of a connection for a link.
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
		_ = file.Close() // the connection has a duplicate
		if err != nil {
			t.Fatal(err)
		}
		ends[i] = conn.(*net.UnixConn)
		t.Cleanup(func() { _ = conn.Close() })
	}
	return ends[0], ends[1]
}

// runLinks runs links; the channel receives the result of each.
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
	for i := range 3 { // none waits for the slow one
		if _, err := near.Request("ordered", i).Wait(ctx, nil); err != nil {
			t.Fatal(err)
		}
		if err := near.Notify("ordered", i); err != nil {
			t.Fatal(err)
		}
	}
	if _, err := near.Request("ordered", "").Wait(ctx, nil); err != nil { // waits for the notifications, which have no reply
		t.Fatal(err)
	}
	close(release)
	var text string
	if _, err := slow.Wait(ctx, &text); err != nil || text != "late" {
		t.Errorf("slow reply: %q, %v", text, err)
	}
	if got := strings.Join(received, ""); got != `001122""` {
		t.Errorf("the bodies of ordered messages were received as %q, want them in the order sent", got)
	}
	far.Close()
	for range 2 {
		if err := <-ended; err != nil {
			t.Errorf("Run: %v", err)
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
		t.Errorf("a refused request: %v", err)
	}
	if _, err := request(ctx, near, "unknown", nil); !errors.Is(err, ErrRefused) {
		t.Errorf("an unknown message kind: %v", err)
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
		t.Fatalf("received %d files with %q, %v; want one file with the text socket", len(files), text, err)
	}
	received, err := net.FileListener(files[0])
	closeFiles(files)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = received.Close() })
	if received.Addr().String() != socket.Addr().String() {
		t.Errorf("the received socket listens on %s, want %s", received.Addr(), socket.Addr())
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
		t.Errorf("a cancelled request: %v", err)
	}
	close(release) // not earlier: Wait may return a reply that is available even if its context is cancelled
	far.Close()
	<-near.Done()
	for range 2 {
		if err := <-ended; err != nil {
			t.Errorf("Run: %v", err)
		}
	}
	if _, err := request(ctx, near, "stuck", nil); !errors.Is(err, ErrPeerGone) {
		t.Errorf("a request after the link ended: %v", err)
	}
}

func TestBadFrames(t *testing.T) {
	tooLong := binary.BigEndian.AppendUint32(nil, maxFrameBytes+1)
	for _, c := range []struct{ name, text, want string }{
		{"longer than allowed", string(tooLong), "at most"},
		{"truncated", "\x00\x00\x00\x09{\"kind\"", io.ErrUnexpectedEOF.Error()},
		{"invalid JSON", "\x00\x00\x00\x02{]", "decode frame"},
		{"not an object", "\x00\x00\x00\x02[]", "decode frame"},
	} {
		t.Run(c.name, func(t *testing.T) {
			near, far := connectedPair(t)
			if _, err := near.Write([]byte(c.text)); err != nil {
				t.Fatal(err)
			}
			_ = near.Close() // the written data stays readable
			if err := NewLink(far, nil, nil).Run(t.Context()); err == nil || !strings.Contains(err.Error(), c.want) {
				t.Errorf("Run: %v, want %s", err, c.want)
			}
		})
	}
}

// AfterSend is called after the reply was sent, so that the other process can receive it first, and is told if the reply
// could not be sent.
func TestAfterSend(t *testing.T) {
	nearConn, farConn := connectedPair(t)
	hasReply, reported := make(chan struct{}), make(chan bool, 2)
	far := NewLink(farConn, map[string]Handler{
		"keep": func(context.Context, Request) (Response, error) {
			return Response{AfterSend: func(sent bool) { <-hasReply; reported <- sent }}, nil
		},
		"lose": func(context.Context, Request) (Response, error) {
			_ = farConn.Close() // the request was received, and the reply can't be sent
			return Response{AfterSend: func(sent bool) { reported <- sent }}, nil
		},
	}, nil)
	near := NewLink(nearConn, nil, nil)
	ctx, cancel := context.WithTimeout(t.Context(), testTimeout)
	defer cancel()
	runLinks(ctx, near, far)
	if _, err := request(ctx, near, "keep", nil); err != nil {
		t.Fatalf("AfterSend was called before the reply was sent: %v", err)
	}
	close(hasReply)
	if !<-reported {
		t.Error("AfterSend(false) for a reply that was received")
	}
	if _, err := request(ctx, near, "lose", nil); !errors.Is(err, ErrPeerGone) {
		t.Errorf("a request whose reply was lost: %v", err)
	}
	if <-reported {
		t.Error("AfterSend(true) for a reply that was lost")
	}
}
