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
	// heartbeatInterval is how often discovery sends a heartbeat on an open watch. A watch without any for
	// silenceTimeout is considered dead.
	heartbeatInterval = 2 * time.Second
	silenceTimeout    = heartbeatInterval + 800*time.Millisecond
	// responseTimeout bounds a request until its response is complete. Discovery may hold a request for 2 s.
	responseTimeout = 2200 * time.Millisecond
	// changeTimeout is the time within which a change must take effect, whatever failures preceded it. applyTime of it
	// is reserved for applying a response that has been received.
	changeTimeout = 6 * time.Second
	applyTime     = 200 * time.Millisecond
	// agentReopenDelay bounds the delay before a watch is reopened at an agent that sent a heartbeat or part of an
	// object on it. It is short, as no other balancer watches that agent. If the agent sent neither, a slow failure
	// raises the bound, see reopenDelay.
	agentReopenDelay = 100 * time.Millisecond

	maxHeaderBytes  = 64 << 10
	readBufferBytes = 4096
)

var errDiscoverySilent = errors.New("no response or heartbeat in time")

// Discovery watches the endpoint list and applies its changes to the router.
type Discovery struct {
	router *routing.Router
	client *http.Client
	// isDirect says that the address is that of discovery itself, which all balancers call. Otherwise it is that of
	// an agent on this machine, which has received the list before.
	isDirect        bool
	silenceTimeout  time.Duration
	responseTimeout time.Duration
	revision        atomic.Int64 // of the current list; negative if there is none

	// Only Run's goroutine uses these.
	random      *rand.Rand // spreads the balancers' requests over time
	watchIsLost bool       // the last watch failed, and no heartbeat or complete object has been received since
	hadContact  bool       // a heartbeat or part of an object was received on the last watch

	mu           sync.Mutex // guards the fields below
	url          string
	cancelFollow context.CancelFunc // ends the watch at the current URL
}

// NewDiscovery returns a Discovery for the list at a host and port. seed seeds the random delays that spread the
// balancers' requests over time. isDirect says that discovery itself is at the address, and not an agent on this
// machine.
func NewDiscovery(r *routing.Router, addr string, seed uint64, isDirect bool) *Discovery {
	d := &Discovery{
		router:          r,
		isDirect:        isDirect,
		silenceTimeout:  silenceTimeout,
		responseTimeout: responseTimeout,
		random:          rand.New(rand.NewPCG(seed, 0)),
		url:             listURL(addr),
		cancelFollow:    func() {},
	}
	d.client = &http.Client{Transport: d.newHTTPTransport(), CheckRedirect: refuseRedirect}
	d.revision.Store(unknownRevision)
	return d
}

// newHTTPTransport keeps no idle connections, as each holds a descriptor. So does a dial, which net/http detaches from
// the request that caused it: without a timeout, dials would go on for minutes after their requests were cancelled,
// and would accumulate with each new request.
func (d *Discovery) newHTTPTransport() *http.Transport {
	return &http.Transport{
		Proxy:                  nil,
		DisableKeepAlives:      true,
		DisableCompression:     true,
		ReadBufferSize:         readBufferBytes,
		MaxResponseHeaderBytes: maxHeaderBytes,
		DialContext: func(ctx context.Context, network, addr string) (net.Conn, error) {
			return (&net.Dialer{Timeout: d.responseTimeout}).DialContext(ctx, network, addr)
		},
	}
}

// refuseRedirect refuses all redirects: only the settings determine where the list is fetched.
func refuseRedirect(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }

const (
	unknownRevision = -1      // the complete list is requested
	maxRevision     = 1 << 53 // above it not every number is exact in JSON

	listScheme = "http://"
	listPath   = "/discovery/hosts"
)

func listURL(addr string) string { return listScheme + addr + listPath }

// SetAddress changes the host and port from which the list is fetched. It reports whether they differ from the current
// ones.
func (d *Discovery) SetAddress(addr string) (isChange bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.url == listURL(addr) {
		return false
	}
	d.url = listURL(addr)
	d.revision.Store(unknownRevision)
	d.cancelFollow()
	return true
}

// Position returns the host and port of the current list, and its revision.
func (d *Discovery) Position() (addr string, revision int64) {
	d.mu.Lock()
	defer d.mu.Unlock()
	return strings.TrimSuffix(strings.TrimPrefix(d.url, listScheme), listPath), d.revision.Load()
}

// Resume continues from the revision of a list that was taken over from the predecessor, unless it came from another
// address.
func (d *Discovery) Resume(addr string, revision int64) {
	if current, _ := d.Position(); current == addr {
		d.revision.Store(revision)
	}
}

// LoadCached applies the cached endpoint list of the configuration; an empty text means that there is none. The error
// says why the list is invalid.
func (d *Discovery) LoadCached(list []byte) error {
	if len(list) == 0 {
		return nil
	}
	return d.applyText(context.Background(), list, routing.CachedUpdate)
}

// Run watches until the context ends. A watch that fails or falls silent is reopened soon; until then the current list
// is kept. The list is also kept when the address changes. The new address may count revisions differently, so that
// the complete list is requested there: a delta relative to an old revision could omit servers that were removed.
func (d *Discovery) Run(ctx context.Context) {
	for ctx.Err() == nil {
		followCtx, cancelFollow := context.WithCancel(ctx)
		d.follow(followCtx, d.startFollow(cancelFollow))
		cancelFollow()
		d.revision.Store(unknownRevision)
	}
}

// startFollow returns the current URL. A change of the URL will call cancelFollow.
func (d *Discovery) startFollow(cancelFollow context.CancelFunc) (url string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.cancelFollow = cancelFollow
	return d.url
}

// follow watches one URL, reopening the watch after each failure, until the context ends.
func (d *Discovery) follow(ctx context.Context, url string) {
	for ctx.Err() == nil {
		silentSince, err := d.watch(ctx, url)
		if ctx.Err() != nil {
			return
		}
		delay := d.reopenDelay(time.Since(silentSince), errors.Is(err, errDiscoverySilent))
		if !d.watchIsLost { // logged once, so that a long outage does not flood the log
			slog.Warn("endpoint watch lost", "error", fmt.Errorf("discovery at %s: %w", url, err))
		}
		d.watchIsLost = true
		d.router.OnWatchLost()
		sleep(ctx, delay)
	}
}

// onContact records that a heartbeat or a complete object was received from discovery.
func (d *Discovery) onContact() {
	d.hadContact = true
	if d.watchIsLost {
		slog.Info("endpoint watch recovered")
		d.watchIsLost = false
	}
}

// reopenDelay returns how long to wait before reopening a watch that failed after the given silence. Changes since the
// silence began must take effect within changeTimeout, so the delay plus a complete next request must fit into the time
// that is left.
//
// Discovery itself serves all balancers, which lose their watches at the same moment, so their requests are spread over
// all of the time that is left. The request of a watch without any contact was cancelled or rejected, but it took a
// place in discovery's queue and is served although no balancer waits for it. The delay is then taken from the second
// half of the time: if all balancers retried within the first half, discovery would never get through these stale
// requests.
//
// An agent on this machine serves only this balancer, and a change counts as received as soon as the agent has it. A
// delay beyond that moment would send flows to a server that is known to drain, so an agent that fell silent is called
// again at once, and responds when it can.
func (d *Discovery) reopenDelay(silence time.Duration, fellSilent bool) time.Duration {
	longest := max(0, changeTimeout-applyTime-d.responseTimeout-silence)
	fraction := d.random.Float64()
	switch {
	case !d.isDirect && fellSilent:
		longest = 0
	case !d.isDirect && d.hadContact:
		longest = min(longest, agentReopenDelay)
	case !d.isDirect:
		longest = min(longest, max(agentReopenDelay, 2*silence)) // a request that waited may still be queued there
	case !d.hadContact:
		fraction = (1 + fraction) / 2
	}
	return time.Duration(float64(longest) * fraction)
}

// get sends a request to discovery and returns the response body if the status is OK.
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
		_ = response.Body.Close() // only the status is of interest
		if to := response.Header.Get("Location"); to != "" {
			return nil, fmt.Errorf("response %s to %q, which is not followed", response.Status, to)
		}
		return nil, fmt.Errorf("response %s", response.Status)
	}
	return response.Body, nil
}
