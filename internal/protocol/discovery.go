package protocol

import (
	"context"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"yardwinch/internal/routing"
)

const (
	// heartbeatInterval is how often an open watch shows a sign of life; without one for silenceTimeout it is dead.
	heartbeatInterval = 2 * time.Second
	silenceTimeout    = heartbeatInterval + 800*time.Millisecond
	// answerTimeout bounds a call until it is answered completely: discovery may let it wait for 2 s.
	answerTimeout = 2200 * time.Millisecond
	// changeTimeout is after how long a change must take effect, whatever came before; applyTime of it is kept for
	// applying an answer that is there.
	changeTimeout = 6 * time.Second
	applyTime     = 200 * time.Millisecond
	// agentReopenDelay bounds the wait before a watch is reopened at an agent, which no other balancer watches.
	agentReopenDelay = 100 * time.Millisecond

	maxHeaderBytes  = 64 << 10
	readBufferBytes = 4096
)

var errDiscoverySilent = errors.New("no answer or no sign of life in time")

// Discovery follows the endpoint list.
type Discovery struct {
	router *routing.Router
	client *http.Client
	// isPolled says that discovery itself is asked, by all balancers. Else it is an agent on this machine, which
	// received the list before.
	isPolled       bool
	silenceTimeout time.Duration
	answerTimeout  time.Duration
	revision       atomic.Int64 // of the list held; negative: none

	// Run's goroutine alone uses these.
	random      *rand.Rand // spreads the balancers' calls
	watchIsLost bool       // the last watch failed, and none has brought anything since
	hadContact  bool       // something came on the last watch

	mu       sync.Mutex // guards the fields below
	url      string
	endRound context.CancelFunc // ends the watch at the present URL
}

// NewDiscovery follows the list at a host and port. seed starts the random draws that spread the balancers' calls;
// isPolled says that discovery itself is there, and not an agent on this machine.
func NewDiscovery(r *routing.Router, addr string, seed uint64, isPolled bool) *Discovery {
	d := &Discovery{
		router:         r,
		isPolled:       isPolled,
		silenceTimeout: silenceTimeout,
		answerTimeout:  answerTimeout,
		random:         rand.New(rand.NewPCG(seed, 0)),
		url:            listURL(addr),
		endRound:       func() {},
	}
	d.client = &http.Client{Transport: d.newHTTPTransport(), CheckRedirect: refuseRedirect}
	d.revision.Store(-1)
	return d
}

// newHTTPTransport keeps no idle connection, as each holds a descriptor. So does a dial, which net/http detaches from
// the call that asked for it: without this timeout it would go on for minutes after the call was given up, and
// one more would join it at each call.
func (d *Discovery) newHTTPTransport() *http.Transport {
	return &http.Transport{
		Proxy:                  nil,
		DisableKeepAlives:      true,
		DisableCompression:     true,
		ReadBufferSize:         readBufferBytes,
		MaxResponseHeaderBytes: maxHeaderBytes,
		DialContext: func(ctx context.Context, network, addr string) (net.Conn, error) {
			return (&net.Dialer{Timeout: d.answerTimeout}).DialContext(ctx, network, addr)
		},
	}
}

// refuseRedirect makes the settings alone say where the list is, never an answer.
func refuseRedirect(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }

const (
	listScheme = "http://"
	listPath   = "/discovery/hosts"
)

func listURL(addr string) string { return listScheme + addr + listPath }

// SetAddress says that the list is at another host and port from now on. It reports whether that is a change.
func (d *Discovery) SetAddress(addr string) (isChange bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.url == listURL(addr) {
		return false
	}
	d.url = listURL(addr)
	d.revision.Store(-1)
	d.endRound()
	return true
}

// Position is the host and port of the list held, and its revision.
func (d *Discovery) Position() (addr string, revision int64) {
	d.mu.Lock()
	defer d.mu.Unlock()
	return strings.TrimSuffix(strings.TrimPrefix(d.url, listScheme), listPath), d.revision.Load()
}

// Resume watches from the revision of a list that was taken over, unless it came from another address.
func (d *Discovery) Resume(addr string, revision int64) {
	if current, _ := d.Position(); current == addr {
		d.revision.Store(revision)
	}
}

// LoadCached takes the list as this balancer last had it; an empty text is none. The error says what is wrong with it.
func (d *Discovery) LoadCached(list []byte) error {
	if len(list) == 0 {
		return nil
	}
	return d.applyText(context.Background(), list, routing.CachedUpdate)
}

// Run watches until the context ends. A watch that breaks or falls silent is reopened soon, and the list stays as
// it was. So it does when the address changes. The revisions of the new address may be others, so that the next
// list is taken completely: one that counts from an old revision could leave out who is gone.
func (d *Discovery) Run(ctx context.Context) {
	for ctx.Err() == nil {
		round, endRound := context.WithCancel(ctx)
		d.follow(round, d.beginRound(endRound))
		endRound()
		d.revision.Store(-1)
	}
}

// beginRound returns the present URL, and has a change of it end the round.
func (d *Discovery) beginRound(endRound context.CancelFunc) (url string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.endRound = endRound
	return d.url
}

// follow watches at one URL until the context ends.
func (d *Discovery) follow(ctx context.Context, url string) {
	for ctx.Err() == nil {
		silentSince, err := d.watch(ctx, url)
		if ctx.Err() != nil {
			return
		}
		delay := d.reopenDelay(time.Since(silentSince), errors.Is(err, errDiscoverySilent))
		if !d.watchIsLost { // logged once: an outage of an hour must not fill the log
			slog.Warn("endpoint watch lost", "error", fmt.Errorf("discovery at %s: %w", url, err))
		}
		d.watchIsLost = true
		d.router.OnWatchLost()
		sleep(ctx, delay)
	}
}

// onContact records that discovery has shown a sign of life.
func (d *Discovery) onContact() {
	d.hadContact = true
	if d.watchIsLost {
		slog.Info("endpoint watch recovered")
		d.watchIsLost = false
	}
}

// reopenDelay is how long to wait after a watch that failed, and that had been silent for a time by then. What has
// changed since must take effect within changeTimeout: the wait and the complete next call fit into what is left.
//
// Discovery itself is asked by all balancers, which lose their watches at the same moment: they spread over all of
// the time that is left. A call that was given up or rejected has taken a place in discovery's queue, and is
// served though no balancer waits for it any more: if all asked again within the first half of the time, discovery
// would never be through with these calls.
//
// An agent on this machine serves this balancer alone, and a change counts as received from the moment the agent
// has it. Waiting through that moment would send flows to a server that is known to drain, so that an agent that
// fell silent is asked again at once, and answers when it can.
func (d *Discovery) reopenDelay(silence time.Duration, fellSilent bool) time.Duration {
	longest := max(0, changeTimeout-applyTime-d.answerTimeout-silence)
	part := d.random.Float64()
	switch {
	case !d.isPolled && fellSilent:
		longest = 0
	case !d.isPolled && d.hadContact:
		longest = min(longest, agentReopenDelay)
	case !d.isPolled:
		longest = min(longest, max(agentReopenDelay, 2*silence)) // a call that waited may have left a queue there
	case !d.hadContact:
		part = (1 + part) / 2
	}
	return time.Duration(float64(longest) * part)
}

// get calls discovery and returns the body of an answer that has a list.
func (d *Discovery) get(ctx context.Context, url string) (io.ReadCloser, error) {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return nil, err
	}
	response, err := d.client.Do(request)
	if err != nil {
		return nil, err
	}
	if response.StatusCode != http.StatusOK {
		_ = response.Body.Close() // the status says all there is
		if to := response.Header.Get("Location"); to != "" {
			return nil, fmt.Errorf("answered %s to %q, which is not followed", response.Status, to)
		}
		return nil, fmt.Errorf("answered %s", response.Status)
	}
	return response.Body, nil
}
