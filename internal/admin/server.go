// Package admin takes the operators' calls on a separate address: HTTP/1.1, one call to a connection. It
// decides nothing; each call is one method of Balancer.
package admin

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"net"
	"net/http"
	"strings"
	"time"
)

const (
	// Descriptors is how many descriptors Serve needs at most: the listener, the connections whose request is not
	// complete, those whose request is, and one more that is accepted before another is closed.
	Descriptors = 2*maxConnections + 2

	maxConnections  = 8
	requestTimeout  = 900 * time.Millisecond // for a whole request: operators wait a second
	answerTimeout   = 2 * requestTimeout
	decisionTimeout = 800 * time.Millisecond // for the change that is called for: after that the answer is no
	maxHeaderBytes  = 16 << 10               // an id of 4 KiB, each byte of it escaped, and more
)

var (
	// ErrUnknown says that no list has named this server; it is answered 404.
	ErrUnknown = errors.New("nobody has this id")
	// ErrNotReady says that the call can't be made now, and may be repeated; it is answered 503, as is any other error.
	ErrNotReady = errors.New("not ready")

	errBusy = errors.New("too many calls at once")
)

// Balancer is what can be called for. A method that returns nil has done it: it is in force. The texts of errors
// are the answers.
type Balancer interface {
	Ready() error
	Offline(ctx context.Context, server string) error
	Online(ctx context.Context, server string) error
	OutOfService(ctx context.Context) error
	InService(ctx context.Context) error
}

// Serve answers calls until the context ends, which closes the listener. The error says why it ended earlier.
func Serve(ctx context.Context, listener net.Listener, balancer Balancer) error {
	limited := newLimitedListener(listener)
	server := &http.Server{
		Handler:           limited.limitCalls(newHandler(balancer)),
		ReadHeaderTimeout: requestTimeout,
		ReadTimeout:       requestTimeout,
		WriteTimeout:      answerTimeout,
		MaxHeaderBytes:    maxHeaderBytes,
		ErrorLog:          slog.NewLogLogger(slog.DiscardHandler, slog.LevelDebug), // any client could fill the log
		ConnContext:       withConnection,
	}
	server.SetKeepAlivesEnabled(false)
	defer context.AfterFunc(ctx, func() { _ = server.Close() })() // the connections end with the process
	if err := server.Serve(limited); !errors.Is(err, http.ErrServerClosed) {
		return fmt.Errorf("control: %w", err)
	}
	return nil
}

// newHandler is the table of calls.
func newHandler(balancer Balancer) http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /control/ready", func(w http.ResponseWriter, _ *http.Request) {
		answer(w, balancer.Ready(), "ready")
	})
	for call, change := range map[string]func(context.Context) error{
		"out-of-service": balancer.OutOfService,
		"in-service":     balancer.InService,
	} {
		mux.HandleFunc("POST /control/"+call, func(w http.ResponseWriter, r *http.Request) {
			ctx, cancel := context.WithTimeout(r.Context(), decisionTimeout)
			defer cancel()
			answer(w, change(ctx), call)
		})
	}
	for call, change := range map[string]func(ctx context.Context, server string) error{
		"offline": balancer.Offline,
		"online":  balancer.Online,
	} {
		mux.HandleFunc("POST /control/servers/{id}/"+call, func(w http.ResponseWriter, r *http.Request) {
			ctx, cancel := context.WithTimeout(r.Context(), decisionTimeout)
			defer cancel()
			answer(w, change(ctx, r.PathValue("id")), call)
		})
	}
	return mux
}

// answer answers in one line: the call itself, or the text of the error.
func answer(w http.ResponseWriter, err error, call string) {
	w.Header().Set("Content-Type", "text/plain; charset=utf-8")
	line := call
	if err != nil {
		line = err.Error()
		w.WriteHeader(statusOf(err))
	}
	_, _ = fmt.Fprintln(w, line) // the caller may be gone
}

func statusOf(err error) int {
	if errors.Is(err, ErrUnknown) {
		return http.StatusNotFound
	}
	return http.StatusServiceUnavailable
}

// limitCalls is a handler that limits the calls in flight, and marks the connections of complete requests.
func (l *limitedListener) limitCalls(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		admitted := l.beginCall(connectionOf(r.Context()))
		defer l.endCall()
		switch {
		case !admitted:
			answer(w, errBusy, "")
		case strings.Contains(r.URL.EscapedPath(), "//"): // the table would redirect it, which is neither yes nor no
			answer(w, ErrUnknown, "")
		default:
			next.ServeHTTP(w, r)
		}
	})
}
