package protocol

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"strconv"
	"time"
)

// watch runs one watch from its request to its failure. It returns the error, and since when the watch had been silent:
// the time of the request, of the response header, of the last heartbeat or complete object, or of the first byte of an
// incomplete object.
func (d *Discovery) watch(parent context.Context, baseURL string) (silentSince time.Time, err error) {
	d.hadContact = false
	ctx, cancel := context.WithCancelCause(parent)
	defer cancel(nil)
	w := newWatchStream(d)
	w.deadline = time.AfterFunc(d.responseTimeout, func() { cancel(errDiscoverySilent) })
	defer w.deadline.Stop()
	url := baseURL + "?stream=1"
	if revision := d.revision.Load(); revision >= 0 {
		url += "&index=" + strconv.FormatInt(revision, 10)
	}
	body, err := d.get(ctx, url)
	if err != nil {
		return w.silentSince, withCause(ctx, err)
	}
	defer func() { _ = body.Close() }() // read errors are returned below
	w.body.from = body
	w.postponeDeadline()
	err = w.applyObjects(ctx)
	return w.silentSince, withCause(ctx, err)
}

// watchStream reads a watch's objects, and the blanks between them that are heartbeats.
type watchStream struct {
	discovery       *Discovery
	body            listReader
	deadline        *time.Timer // cancels the watch
	openedAt        time.Time
	silentSince     time.Time
	nothingComplete bool // neither a complete object nor a heartbeat has been received
	objectIsOpen    bool // an object has been read in part
}

func newWatchStream(d *Discovery) *watchStream {
	now := time.Now()
	return &watchStream{discovery: d, openedAt: now, silentSince: now, nothingComplete: true}
}

// applyObjects applies one object after another until the watch fails. The changes of an object that can't be applied
// are sent again on the next watch.
func (w *watchStream) applyObjects(ctx context.Context) error {
	objects := json.NewDecoder(w)
	for {
		w.body.left = maxListBytes
		if err := w.discovery.applyNext(ctx, objects); err != nil {
			return err
		}
		w.onUpToDate()
		buffered, _ := io.ReadAll(objects.Buffered()) // reads from memory and can't fail
		w.objectIsOpen = len(bytes.TrimSpace(buffered)) > 0
		if w.objectIsOpen {
			w.onObjectStart()
		}
	}
}

// Read implements io.Reader for the decoder. It detects blanks between objects and the first byte of an object.
func (w *watchStream) Read(p []byte) (int, error) {
	n, err := w.body.Read(p)
	if n > 0 && !w.objectIsOpen {
		w.objectIsOpen = len(bytes.TrimSpace(p[:n])) > 0
		if w.objectIsOpen {
			w.onObjectStart()
		} else {
			w.onUpToDate()
		}
	}
	return n, err
}

// postponeDeadline restarts silenceTimeout after the response header, a heartbeat or a complete object.
func (w *watchStream) postponeDeadline() {
	w.silentSince = time.Now()
	w.deadline.Reset(w.discovery.silenceTimeout)
}

// onUpToDate handles a blank between objects or the end of an object: all changes up to now have been received.
func (w *watchStream) onUpToDate() {
	w.nothingComplete = false
	w.discovery.onContact()
	w.discovery.router.OnDiscoveryContact()
	w.postponeDeadline()
}

// onObjectStart bounds the time until the object is complete. Further bytes of the object do not extend the deadline,
// as an object that trickles in without end would never bring a change. The object has responseTimeout from its first
// byte. If it begins within responseTimeout of the request, and before any heartbeat, it must be complete within that
// time of the request.
func (w *watchStream) onObjectStart() {
	w.discovery.hadContact = true
	w.silentSince = time.Now()
	if w.nothingComplete && w.silentSince.Sub(w.openedAt) < w.discovery.responseTimeout {
		w.silentSince = w.openedAt
	}
	w.deadline.Reset(w.discovery.responseTimeout - time.Since(w.silentSince))
}

// withCause adds the context's cause to the error of a request, if the request was cancelled.
func withCause(ctx context.Context, err error) error {
	if cause := context.Cause(ctx); cause != nil && !errors.Is(err, cause) {
		return fmt.Errorf("%w: %w", cause, err)
	}
	return err
}

var errListTooLong = fmt.Errorf("object is longer than %d bytes", maxListBytes)

// listReader bounds how many bytes are read.
type listReader struct {
	from io.Reader
	left int
}

// Read fails with errListTooLong once the bound has been reached.
func (r *listReader) Read(p []byte) (int, error) {
	if r.left <= 0 {
		return 0, errListTooLong
	}
	n, err := r.from.Read(p)
	r.left -= n
	return n, err
}
