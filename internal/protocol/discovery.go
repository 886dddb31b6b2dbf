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
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"yardwinch/internal/routing"
)

const (
	heartbeat    = 2 * time.Second
	silentAfter  = heartbeat + 800*time.Millisecond
	reopenAfter  = 250 * time.Millisecond // the first time
	reopenSoon   = 100 * time.Millisecond // each time, where nobody else asks there
	reopenWithin = 4 * time.Second        // what the list has to tell counts as told after 6 s
	refusedUntil = 16 * time.Second       // where discovery itself says no: it can't tell sooner
	longestList  = 8 << 20
	fetchWithin  = time.Second
	firstInBytes = 4096
)

var errSilent = errors.New("no word within the heartbeat")

// Discovery follows the server list.
type Discovery struct {
	router   *routing.Router
	client   *http.Client
	revision atomic.Int64 // of the list held; below nought: none
	lost     bool
	silent   time.Duration // a watch that says nothing for longer is dead, or will be
	gap      time.Duration // between the last watches that failed
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
	// One connection for the watch and none kept idle: each holds a descriptor.
	t := &http.Transport{Proxy: nil, DisableKeepAlives: true, DisableCompression: true, ReadBufferSize: firstInBytes}
	d := &Discovery{router: r, asked: asked, url: listAt(addr), client: &http.Client{Transport: t}, silent: silentAfter,
		chance: rand.New(rand.NewPCG(seed, 0)), leave: func() {}}
	d.revision.Store(-1)
	return d
}

func listAt(addr string) string { return "http://" + addr + "/discovery/hosts" }

// Move says that the list is to be had at another address from now on. It tells whether that is news.
func (d *Discovery) Move(addr string) bool {
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

// GoOn watches from a revision on whose list was taken over; one of another address counts for nothing.
func (d *Discovery) GoOn(addr string, revision int64) {
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

// Known takes the list as this balancer last had it.
func (d *Discovery) Known(list []byte) error {
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
		d.gap = 0
	}
}

// follow watches at one address, until the context ends.
func (d *Discovery) follow(ctx context.Context, url string) {
	for ctx.Err() == nil {
		began := time.Now()
		err := d.watch(ctx, url)
		if ctx.Err() != nil {
			return
		}
		wait := d.again(time.Since(began), errors.Is(err, errSilent))
		if !d.lost { // once: an outage of an hour must not fill the log
			slog.Warn("server list lost, the last one is kept", "error", err)
		}
		d.lost = true
		d.router.ListLost()
		select {
		case <-ctx.Done():
		case <-d.router.Fetch():
			d.fetch(ctx, url)
		case <-time.After(wait):
		}
	}
}

// again is how long to wait after a watch that failed. Discovery itself is asked again at any time of a gap that doubles, as all
// lose their watches in the same instant. An agent on this machine has no others to serve, and what it has counts as told from the instant
// it has it: asleep through that instant, this balancer would send on to a server whose drain is told, so that one that fell
// silent is asked again at once and answers when it can. A watch that was turned away without a word took a place in a queue
// for as long as it lasted, and is served all the same though nobody waits for it any more: asked again within less than that,
// by all, discovery would never be through with them.
func (d *Discovery) again(lasted time.Duration, silent bool) time.Duration {
	least, most := max(2*d.gap, reopenAfter), reopenWithin
	if !d.asked {
		if least = reopenSoon; silent {
			least = 0
		}
	}
	if !silent && !d.heard && (d.asked || lasted > reopenSoon) {
		least, most = max(least, 2*d.gap, 2*lasted), refusedUntil
	}
	d.gap = min(least, most)
	return time.Duration(float64(d.gap) * d.chance.Float64())
}

// watch is one watch from its opening to its end.
func (d *Discovery) watch(parent context.Context, at string) error {
	d.heard = false
	ctx, cancel := context.WithCancelCause(parent)
	defer cancel(nil)
	silence := time.AfterFunc(d.silent, func() { cancel(errSilent) })
	defer silence.Stop()
	url := at + "?stream=1"
	if held := d.revision.Load(); held >= 0 {
		url += "&index=" + strconv.FormatInt(held, 10)
	}
	body, err := d.get(ctx, url)
	if err != nil {
		return errors.Join(err, context.Cause(ctx))
	}
	defer body.Close()
	in := &heard{from: body, note: func(came []byte) {
		silence.Reset(d.silent)
		if d.heard = true; len(bytes.TrimSpace(came)) == 0 {
			d.gap = 0
		}
		if d.lost {
			slog.Info("server list is back")
			d.lost = false
		}
	}}
	for objects := json.NewDecoder(in); ; {
		in.left = longestList
		var one json.RawMessage // an object may be indented: the end of a line is not its end
		if err := objects.Decode(&one); err != nil {
			return errors.Join(err, context.Cause(ctx))
		}
		if err := d.take(one, false); err != nil {
			return err // what it brought is missing now: a new watch brings it again
		}
		d.gap = 0
		select {
		case <-d.router.Fetch():
			d.fetch(ctx, at)
		default:
		}
	}
}

var errLong = fmt.Errorf("a list of more than %d bytes", longestList)

// heard notes whenever something comes, and bounds what may come before left is set anew.
type heard struct {
	from io.Reader
	note func(came []byte)
	left int
}

func (h *heard) Read(p []byte) (int, error) {
	if h.left <= 0 {
		return 0, errLong
	}
	n, err := h.from.Read(p)
	if h.left -= n; n > 0 {
		h.note(p[:n])
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
		var all []byte
		if all, err = io.ReadAll(&heard{body, func([]byte) {}, longestList}); err == nil {
			err = d.take(all, false)
		}
	}
	if err != nil {
		slog.Warn("server list not fetched", "error", err)
		d.router.ListLost()
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
		return nil, fmt.Errorf("discovery answers %s", a.Status)
	}
	return a.Body, nil
}

// take reads one object of discovery and hands it on as a whole; if anything in it is wrong, nothing of it counts.
func (d *Discovery) take(text []byte, known bool) error {
	var o map[string]any
	if err := json.Unmarshal(text, &o); err != nil {
		return fmt.Errorf("server list: %w", err)
	}
	var bad error
	revision := value[float64](o, "revision", &bad)
	whole := value[bool](o, "complete", &bad)
	members := value[[]any](o, "members", &bad)
	list := d.router.List(whole, known)
	for _, x := range members {
		m, _ := x.(map[string]any) // a nil map has no fields, and says so
		phase := value[string](m, "phase", &bad)
		if phase != "SERVING" && phase != "DRAINING" && phase != "DELETED" && bad == nil {
			bad = fmt.Errorf("unknown phase %q", phase)
		}
		var since time.Time
		if up := optional(m, "up_since_ms", 0.0, &bad); up > 0 {
			since = time.UnixMilli(int64(up))
		}
		id := value[string](m, "id", &bad)
		if id == "" && bad == nil {
			bad = errors.New("an entry without an id")
		}
		if len(id) > routing.LongestID && bad == nil {
			bad = fmt.Errorf("an id of %d bytes, %d at most", len(id), routing.LongestID)
		}
		list.Server(id, optional(m, "host_port", "", &bad), optional(m, "locality", "", &bad),
			int(optional(m, "cell", 0.0, &bad)), optional(m, "size", 1.0, &bad), phase == "SERVING",
			phase == "DELETED", since)
	}
	if bad != nil {
		return fmt.Errorf("server list: %w", bad)
	}
	list.Done()
	d.revision.Store(int64(revision)) // after it: whoever reads both in between hears the same news twice, not never
	return nil
}

// value is a field that must be there; the first fault is kept.
func value[T any](o map[string]any, name string, bad *error) T {
	v, ok := o[name].(T)
	if !ok && *bad == nil {
		*bad = fmt.Errorf("%s is missing or of the wrong kind", name)
	}
	return v
}

func optional[T any](o map[string]any, name string, absent T, bad *error) T {
	if o[name] == nil {
		return absent
	}
	return value[T](o, name, bad)
}
