// Package admin serves the operators' calls on a separate address: HTTP/1.1, one call per connection. Each call is
// carried out by a method of Balancer.
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
	// Descriptors is how many descriptors Serve needs at most: the listener, the connections whose request is
	// incomplete, those whose request is complete, and one that is accepted before another is closed.
	Descriptors = 2*maxConnections + 2

	maxConnections  = 8
	requestTimeout  = 900 * time.Millisecond // for reading a request: operators wait a second
	responseTimeout = 2 * requestTimeout
	changeTimeout   = 800 * time.Millisecond // for the requested change: after that the response is an error
	maxHeaderBytes  = 16 << 10               // a server id of 4 KiB with all bytes percent-encoded, plus the other headers
)

var (
	// ErrUnknownServer says that no endpoint list has contained this server; the response status is 404.
	ErrUnknownServer = errors.New("nobody has this id")
	// ErrNotReady says that the call can't be made now, and may be retried; the response status is 503, as for any other
	// error.
	ErrNotReady = errors.New("not ready")

	errBusy = errors.New("too many calls at once")
)

// Balancer carries out the operators' calls. When a method returns nil the change is in effect. Operators get the error
// texts as responses.
type Balancer interface {
	Ready() error
	Offline(ctx context.Context, server string) error
	Online(ctx context.Context, server string) error
	OutOfService(ctx context.Context) error
	InService(ctx context.Context) error
}

// Serve answers calls until the context ends, and then closes the listener. An error is returned only if serving fails
// before that.
func Serve(ctx context.Context, listener net.Listener, balancer Balancer) error {
	limited := newLimitedListener(listener)
	server := &http.Server{
		Handler:           limited.limitCalls(newHandler(balancer)),
		ReadHeaderTimeout: requestTimeout,
		ReadTimeout:       requestTimeout,
		WriteTimeout:      responseTimeout,
		MaxHeaderBytes:    maxHeaderBytes,
		ErrorLog:          slog.NewLogLogger(slog.DiscardHandler, slog.LevelDebug), // else any client could fill the log
		ConnContext:       withConnection,
	}
	server.SetKeepAlivesEnabled(false)
	defer context.AfterFunc(ctx, func() { _ = server.Close() })() // closes the connections too
	if err := server.Serve(limited); !errors.Is(err, http.ErrServerClosed) {
		return fmt.Errorf("control: %w", err)
	}
	return nil
}

// newHandler routes the calls to the methods of a Balancer.
func newHandler(balancer Balancer) http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /control/ready", func(w http.ResponseWriter, _ *http.Request) {
		writeResponse(w, balancer.Ready(), "ready")
	})
	for call, change := range map[string]func(context.Context) error{
		"out-of-service": balancer.OutOfService,
		"in-service":     balancer.InService,
	} {
		mux.HandleFunc("POST /control/"+call, func(w http.ResponseWriter, r *http.Request) {
			ctx, cancel := context.WithTimeout(r.Context(), changeTimeout)
			defer cancel()
			writeResponse(w, change(ctx), call)
		})
	}
	for call, change := range map[string]func(ctx context.Context, server string) error{
		"offline": balancer.Offline,
		"online":  balancer.Online,
	} {
		mux.HandleFunc("POST /control/servers/{id}/"+call, func(w http.ResponseWriter, r *http.Request) {
			ctx, cancel := context.WithTimeout(r.Context(), changeTimeout)
			defer cancel()
			writeResponse(w, change(ctx, r.PathValue("id")), call)
		})
	}
	return mux
}

// writeResponse responds with one line: the name of the call, or the error text.
func writeResponse(w http.ResponseWriter, err error, call string) {
	w.Header().Set("Content-Type", "text/plain; charset=utf-8")
	line := call
	if err != nil {
		line = err.Error()
		w.WriteHeader(statusCode(err))
	}
	_, _ = fmt.Fprintln(w, line) // the caller may have disconnected
}

func statusCode(err error) int {
	if errors.Is(err, ErrUnknownServer) {
		return http.StatusNotFound
	}
	return http.StatusServiceUnavailable
}

// limitCalls returns a handler that limits the calls in flight, and tells the listener that the request is complete.
func (l *limitedListener) limitCalls(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		admitted := l.beginCall(connectionOf(r.Context()))
		defer l.endCall()
		switch {
		case !admitted:
			writeResponse(w, errBusy, "")
		case strings.Contains(r.URL.EscapedPath(), "//"): // the mux would respond with a redirect
			writeResponse(w, ErrUnknownServer, "")
		default:
			next.ServeHTTP(w, r)
		}
	})
}
