package protocol

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"yardwinch/internal/routing"
)

const (
	heartbeat     = 2 * time.Second
	silentAfter   = heartbeat + 800*time.Millisecond // an open watch without a sign of life
	answerWithin  = 2200 * time.Millisecond          // a call until it is answered whole: discovery may let it wait for 2 s
	toldWithin    = 6 * time.Second                  // a change counts as told then, whatever came before
	takingWithin  = 200 * time.Millisecond           // until an answer that is there is acted on
	reopenSoon    = 100 * time.Millisecond           // where nobody else asks there
	fetchWithin   = time.Second
	longestHeader = 64 << 10
	firstInBytes  = 4096
)

var errSilent = errors.New("no answer or no sign of life in time")

// Discovery follows the server list.
type Discovery struct {
	router   *routing.Router
	client   *http.Client
	revision atomic.Int64 // of the list held; below nought: none
	lost     bool
	silent   time.Duration // an open watch that says nothing for longer is dead, or will be
	answer   time.Duration // so is a call that is not answered whole by then
	chance   *rand.Rand
	heard    bool // something came on the last watch
	asked    bool // discovery itself is asked, by all; else it is an agent on this machine that has been sent the list

	mu    sync.Mutex
	url   string
	leave context.CancelFunc // ends the round at this address
}

// NewDiscovery follows the list at an address; seed is for how watches that fail are spread, asked tells whether the list comes only
// when it is asked for.
func NewDiscovery(r *routing.Router, addr string, seed uint64, asked bool) *Discovery {
	// One connection for the watch and none kept idle: each holds a descriptor. So does a dial, which a client detaches from the call that
	// asked for it: without an end of its own it goes on for minutes after the call was given up, and one more joins it at each call.
	t := &http.Transport{Proxy: nil, DisableKeepAlives: true, DisableCompression: true, ReadBufferSize: firstInBytes,
		MaxResponseHeaderBytes: longestHeader}
	// Whoever has the list is named by the settings alone, never by an answer.
	here := func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }
	d := &Discovery{router: r, asked: asked, url: listAt(addr), client: &http.Client{Transport: t, CheckRedirect: here}, silent: silentAfter,
		answer: answerWithin, chance: rand.New(rand.NewPCG(seed, 0)), leave: func() {}}
	t.DialContext = func(ctx context.Context, network, addr string) (net.Conn, error) {
		return (&net.Dialer{Timeout: d.answer}).DialContext(ctx, network, addr)
	}
	d.revision.Store(-1)
	return d
}

func listAt(addr string) string { return "http://" + addr + "/discovery/hosts" }

// SetAddress says that the list is to be had at another address from now on. It tells whether that is news.
func (d *Discovery) SetAddress(addr string) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.url == listAt(addr) {
		return false
	}
	d.url = listAt(addr)
	d.revision.Store(-1)
	d.leave()
	return true
}

// Position is where the list held was had from, and its revision.
func (d *Discovery) Position() (addr string, revision int64) {
	d.mu.Lock()
	defer d.mu.Unlock()
	return strings.TrimSuffix(strings.TrimPrefix(d.url, "http://"), "/discovery/hosts"), d.revision.Load()
}

// Resume watches from a revision on whose list was taken over; one of another address counts for nothing.
func (d *Discovery) Resume(addr string, revision int64) {
	if here, _ := d.Position(); here == addr {
		d.revision.Store(revision)
	}
}

// enter begins a round at the address that holds now.
func (d *Discovery) enter(leave context.CancelFunc) string {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.leave = leave
	return d.url
}

// LoadCached takes the list as this balancer last had it.
func (d *Discovery) LoadCached(list []byte) error {
	if len(list) == 0 {
		return nil
	}
	return d.take(list, true)
}

// Run watches until the context ends. A watch that breaks or falls silent is opened again soon; the list stays as it
// was. So it does when the address changes, but what the new one counts from is not known: its revisions may be others,
// so that the next list is taken whole, as one that starts from an old revision could leave out who is gone.
func (d *Discovery) Run(ctx context.Context) {
	for ctx.Err() == nil {
		round, leave := context.WithCancel(ctx)
		d.follow(round, d.enter(leave))
		leave()
		d.revision.Store(-1)
	}
}

// follow watches at one address, until the context ends.
func (d *Discovery) follow(ctx context.Context, url string) {
	for ctx.Err() == nil {
		since, err := d.watch(ctx, url)
		if ctx.Err() != nil {
			return
		}
		wait := d.again(time.Since(since), errors.Is(err, errSilent))
		if !d.lost { // once: an outage of an hour must not fill the log
			slog.Warn("server list lost, the last one is kept", "error", fmt.Errorf("discovery at %s: %w", url, err))
		}
		d.lost = true
		d.router.OnWatchLost()
		select {
		case <-ctx.Done():
		case <-d.router.FetchRequests():
			d.fetch(ctx, url)
		case <-time.After(wait):
		}
	}
}

// again is how long to wait after a watch that failed and had told nothing for as long as it was mute. What has changed since then has to be
// acted on in time: the gap and the whole next call fit into what is left. Discovery itself is asked by all, who lose their watches in
// the same instant: they spread over all of that time. A call that was given up or turned away took a place in a queue, and is served all the
// same though nobody waits for it any more: asked again within the first half of that time, by all, discovery would never be through with
// them. An agent on this machine has no others to serve, and what it has counts as told from the instant it has it: asleep through
// that instant, this balancer would send on to a server whose drain is told, so that one that fell silent is asked again at once and answers
// when it can.
func (d *Discovery) again(mute time.Duration, silent bool) time.Duration {
	longest := max(0, toldWithin-takingWithin-d.answer-mute)
	part := d.chance.Float64()
	switch {
	case !d.asked && silent:
		longest = 0
	case !d.asked && d.heard:
		longest = min(longest, reopenSoon)
	case !d.asked:
		longest = min(longest, max(reopenSoon, 2*mute)) // a call that waited may have left a queue there
	case !d.heard:
		part = (1 + part) / 2
	}
	return time.Duration(float64(longest) * part)
}

// watch is one watch from its opening to its end, and since when it had told nothing by then: its opening, its last sign of life, or
// the first byte of an object that did not come whole.
func (d *Discovery) watch(parent context.Context, at string) (since time.Time, err error) {
	d.heard = false
	ctx, cancel := context.WithCancelCause(parent)
	defer cancel(nil)
	opened, first := time.Now(), true
	since = opened
	silence := time.AfterFunc(d.answer, func() { cancel(errSilent) })
	defer silence.Stop()
	alive := func() {
		since = time.Now()
		silence.Reset(d.silent)
	}
	url := at + "?stream=1"
	if held := d.revision.Load(); held >= 0 {
		url += "&index=" + strconv.FormatInt(held, 10)
	}
	body, err := d.get(ctx, url)
	if err != nil {
		return since, because(ctx, err)
	}
	defer body.Close()
	alive()
	in := &heard{from: body, blank: func() {
		first = false
		d.back()
		d.router.OnDiscoveryContact()
		alive()
	}, begun: func() { // its other bytes are no sign of life: an object that trickles on for ever tells nothing
		d.heard = true
		if since = time.Now(); first && since.Sub(opened) < d.answer {
			since = opened
		}
		silence.Reset(d.answer - time.Since(since))
	}}
	for objects := json.NewDecoder(in); ; {
		in.left = longestList
		if err := d.read(objects, false); err != nil { // what it brought is missing now: a new watch brings it again
			return since, because(ctx, err)
		}
		in.blank()
		rest, _ := io.ReadAll(objects.Buffered()) // from memory: it can't fail
		if in.open = len(bytes.TrimSpace(rest)) > 0; in.open {
			in.begun()
		}
		select {
		case <-d.router.FetchRequests():
			d.fetch(ctx, at)
		default:
		}
	}
}

// back notes that discovery tells again.
func (d *Discovery) back() {
	d.heard = true
	if d.lost {
		slog.Info("server list is back")
		d.lost = false
	}
}

// because says why a call was ended, where it was ended from here.
func because(ctx context.Context, err error) error {
	if cause := context.Cause(ctx); cause != nil && !errors.Is(err, cause) {
		return fmt.Errorf("%w: %w", cause, err)
	}
	return err
}

var errLong = fmt.Errorf("an object of more than %d bytes", longestList)

// heard tells what comes: blanks between two objects, or the first bytes of one. It bounds what may come before left is set anew.
type heard struct {
	from         io.Reader
	blank, begun func()
	open         bool // an object has begun
	left         int
}

func (h *heard) Read(p []byte) (int, error) {
	if h.left <= 0 {
		return 0, errLong
	}
	n, err := h.from.Read(p)
	h.left -= n
	if n > 0 && !h.open {
		if h.open = len(bytes.TrimSpace(p[:n])) > 0; h.open {
			h.begun()
		} else {
			h.blank()
		}
	}
	return n, err
}

// fetch brings the whole list once.
func (d *Discovery) fetch(ctx context.Context, at string) {
	ctx, cancel := context.WithTimeout(ctx, fetchWithin)
	defer cancel()
	body, err := d.get(ctx, at)
	if err == nil {
		defer body.Close()
		err = d.only(&heard{from: body, open: true, left: longestList}, false)
	}
	if err != nil {
		slog.Warn("server list not fetched", "error", fmt.Errorf("discovery at %s: %w", at, err))
		d.router.OnWatchLost()
	}
}

func (d *Discovery) get(ctx context.Context, url string) (io.ReadCloser, error) {
	q, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return nil, err
	}
	a, err := d.client.Do(q)
	if err != nil {
		return nil, err
	}
	if a.StatusCode != http.StatusOK {
		_ = a.Body.Close() // the status says all there is
		if to := a.Header.Get("Location"); to != "" {
			return nil, fmt.Errorf("answered %s to %q, which is not followed", a.Status, to)
		}
		return nil, fmt.Errorf("answered %s", a.Status)
	}
	return a.Body, nil
}
