// Package admin takes the staff's calls on the second address: HTTP/1.1, one call to a connection. It decides nothing;
// each call is one method of Balancer.
package admin

import (
	"container/list"
	"context"
	"errors"
	"fmt"
	"log/slog"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

const (
	// Descriptors to set aside for this address: its listener, the callers not heard to their end and those heard.
	Descriptors = 2*atOnce + 2

	atOnce  = 8
	within  = 900 * time.Millisecond // for a whole request: a caller waits a second, and one that stalls wants nothing
	decided = 800 * time.Millisecond // for what is asked: after that the answer is no, and it may be asked again
	longest = 16 << 10               // of a request's head: an id of 4 KiB, each byte of it escaped
)

// Kinds of no. Whatever else goes wrong is 503: it may be asked again.
var (
	ErrUnknown  = errors.New("nobody has this id")
	ErrNotReady = errors.New("not ready")

	errBusy = errors.New("too many calls at once")
)

// Balancer is what can be asked for. A method that returns nil has done it; what it says is in force by then.
type Balancer interface {
	Ready() error
	Offline(ctx context.Context, server string) error
	Online(ctx context.Context, server string) error
	OutOfService(ctx context.Context) error
	InService(ctx context.Context) error
}

// Serve answers until the context ends.
func Serve(ctx context.Context, l net.Listener, b Balancer) error {
	g := &guarded{Listener: l, open: list.New()}
	s := &http.Server{
		Handler:           g.heard(handler(b)),
		ReadHeaderTimeout: within, ReadTimeout: within, WriteTimeout: 2 * within,
		MaxHeaderBytes: longest,
		ErrorLog:       slog.NewLogLogger(slog.DiscardHandler, slog.LevelDebug), // no line for each bad caller
		ConnContext:    func(ctx context.Context, c net.Conn) context.Context { return context.WithValue(ctx, key{}, c) },
	}
	s.SetKeepAlivesEnabled(false)
	defer context.AfterFunc(ctx, func() { _ = s.Close() })()
	if err := s.Serve(g); !errors.Is(err, http.ErrServerClosed) {
		return fmt.Errorf("control: %w", err)
	}
	return nil
}

// handler is the table of calls.
func handler(b Balancer) http.Handler {
	m := http.NewServeMux()
	m.HandleFunc("GET /control/ready", func(w http.ResponseWriter, _ *http.Request) { say(w, b.Ready(), "ready") })
	for path, do := range map[string]func(context.Context) error{
		"/control/out-of-service": b.OutOfService, "/control/in-service": b.InService} {
		m.HandleFunc("POST "+path, func(w http.ResponseWriter, q *http.Request) {
			ctx, done := context.WithTimeout(q.Context(), decided)
			defer done()
			say(w, do(ctx), strings.TrimPrefix(path, "/control/"))
		})
	}
	for verb, do := range map[string]func(context.Context, string) error{"offline": b.Offline, "online": b.Online} {
		m.HandleFunc("POST /control/servers/{id}/"+verb, func(w http.ResponseWriter, q *http.Request) {
			ctx, done := context.WithTimeout(q.Context(), decided)
			defer done()
			say(w, do(ctx, q.PathValue("id")), verb)
		})
	}
	return m
}

// say answers in one line.
func say(w http.ResponseWriter, err error, yes string) {
	w.Header().Set("Content-Type", "text/plain; charset=utf-8")
	switch {
	case err == nil:
	case errors.Is(err, ErrUnknown):
		w.WriteHeader(http.StatusNotFound)
	default:
		w.WriteHeader(http.StatusServiceUnavailable)
	}
	if err != nil {
		yes = err.Error()
	}
	_, _ = fmt.Fprintln(w, yes) // whoever asked may be gone
}

type key struct{}

// guarded is a listener with few connections open at once: the oldest that was not heard to its end makes room for a
// newcomer. Those heard are answered soon, and are never closed for it.
type guarded struct {
	net.Listener
	mu   sync.Mutex
	open *list.List // of *caller, the oldest first
	busy int        // calls heard and not answered
}

type caller struct {
	net.Conn
	g    *guarded
	spot *list.Element // in g.open; nil once it was heard or closed
}

func (g *guarded) Accept() (net.Conn, error) {
	for {
		raw, err := g.Listener.Accept()
		if err != nil && !errors.Is(err, net.ErrClosed) { // out of descriptors, or a caller gone again: the address must outlive it
			time.Sleep(10 * time.Millisecond)
			continue
		}
		if err != nil {
			return nil, err
		}
		c := &caller{Conn: raw, g: g}
		g.mu.Lock()
		var out *caller
		if g.open.Len() >= atOnce {
			out = g.open.Front().Value.(*caller)
			out.leave()
		}
		c.spot = g.open.PushBack(c)
		g.mu.Unlock()
		if out != nil {
			_ = out.Conn.Close()
		}
		return c, nil
	}
}

// leave takes the caller off the list; the mutex is held.
func (c *caller) leave() {
	if c.spot != nil {
		c.g.open.Remove(c.spot)
		c.spot = nil
	}
}

func (c *caller) Close() error {
	c.g.mu.Lock()
	c.leave()
	c.g.mu.Unlock()
	return c.Conn.Close()
}

// heard marks whose request is whole.
func (g *guarded) heard(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, q *http.Request) {
		c := q.Context().Value(key{}).(*caller)
		g.mu.Lock()
		c.leave()
		g.busy++
		full := g.busy > atOnce
		g.mu.Unlock()
		defer func() {
			g.mu.Lock()
			defer g.mu.Unlock()
			g.busy--
		}()
		switch {
		case full:
			say(w, errBusy, "")
		case strings.Contains(q.URL.EscapedPath(), "//"): // the table would send the caller elsewhere, which is neither yes nor no
			say(w, ErrUnknown, "")
		default:
			next.ServeHTTP(w, q)
		}
	})
}
