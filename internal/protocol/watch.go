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

// watch runs one watch from its opening to its end. It returns the reason, and since when the watch had been silent by
// then: its opening, its last sign of life, or the first byte of an object that did not come completely.
func (d *Discovery) watch(parent context.Context, baseURL string) (silentSince time.Time, err error) {
	d.hadContact = false
	ctx, cancel := context.WithCancelCause(parent)
	defer cancel(nil)
	w := newWatchStream(d)
	w.deadline = time.AfterFunc(d.answerTimeout, func() { cancel(errDiscoverySilent) })
	defer w.deadline.Stop()
	url := baseURL + "?stream=1"
	if revision := d.revision.Load(); revision >= 0 {
		url += "&index=" + strconv.FormatInt(revision, 10)
	}
	body, err := d.get(ctx, url)
	if err != nil {
		return w.silentSince, withCause(ctx, err)
	}
	defer func() { _ = body.Close() }() // the watch returns the error of its reads
	w.body.from = body
	w.postponeDeadline()
	err = w.applyObjects(ctx)
	return w.silentSince, withCause(ctx, err)
}

// watchStream reads a watch's objects, and notices signs of life between them.
type watchStream struct {
	discovery     *Discovery
	body          listReader
	deadline      *time.Timer // ends the watch
	openedAt      time.Time
	silentSince   time.Time
	isFirstObject bool // none was complete, nor did a blank come
	objectIsOpen  bool // some of an object was read, but not all
}

func newWatchStream(d *Discovery) *watchStream {
	now := time.Now()
	return &watchStream{discovery: d, openedAt: now, silentSince: now, isFirstObject: true}
}

// applyObjects applies one object after another until the watch ends. What a failed one brought is missing then: the
// next watch brings it again.
func (w *watchStream) applyObjects(ctx context.Context) error {
	objects := json.NewDecoder(w)
	for {
		w.body.left = maxListBytes
		if err := w.discovery.applyNext(ctx, objects); err != nil {
			return err
		}
		w.onUpToDate()
		buffered, _ := io.ReadAll(objects.Buffered()) // from memory: it can't fail
		w.objectIsOpen = len(bytes.TrimSpace(buffered)) > 0
		if w.objectIsOpen {
			w.onObjectBegun()
		}
	}
}

// Read is the decoder's. It notices blanks between two objects and the first byte of one.
func (w *watchStream) Read(p []byte) (int, error) {
	n, err := w.body.Read(p)
	if n > 0 && !w.objectIsOpen {
		w.objectIsOpen = len(bytes.TrimSpace(p[:n])) > 0
		if w.objectIsOpen {
			w.onObjectBegun()
		} else {
			w.onUpToDate()
		}
	}
	return n, err
}

// postponeDeadline allows for another silenceTimeout, after a sign of life.
func (w *watchStream) postponeDeadline() {
	w.silentSince = time.Now()
	w.deadline.Reset(w.discovery.silenceTimeout)
}

// onUpToDate takes a blank between two objects, or the end of one: all changes up to now have been received.
func (w *watchStream) onUpToDate() {
	w.isFirstObject = false
	w.discovery.onContact()
	w.discovery.router.OnDiscoveryContact()
	w.postponeDeadline()
}

// onObjectBegun bounds the time until the object is complete. Its further bytes are no signs of life: an object that
// trickles without end brings no change.
func (w *watchStream) onObjectBegun() {
	w.discovery.hadContact = true
	w.silentSince = time.Now()
	if w.isFirstObject && w.silentSince.Sub(w.openedAt) < w.discovery.answerTimeout {
		w.silentSince = w.openedAt
	}
	w.deadline.Reset(w.discovery.answerTimeout - time.Since(w.silentSince))
}

// withCause says why a call was ended, where it was ended by this balancer.
func withCause(ctx context.Context, err error) error {
	if cause := context.Cause(ctx); cause != nil && !errors.Is(err, cause) {
		return fmt.Errorf("%w: %w", cause, err)
	}
	return err
}

var errListTooLong = fmt.Errorf("an object of more than %d bytes", maxListBytes)

// listReader bounds how much is read.
type listReader struct {
	from io.Reader
	left int
}

// Read fails with errListTooLong once the bound is reached.
func (r *listReader) Read(p []byte) (int, error) {
	if r.left <= 0 {
		return 0, errListTooLong
	}
	n, err := r.from.Read(p)
	r.left -= n
	return n, err
}
