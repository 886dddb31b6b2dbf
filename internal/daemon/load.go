package daemon

import (
	"context"
	"fmt"
	"log/slog"
	"runtime"
	"time"

	"yardwinch/decide"
	"yardwinch/internal/admin"
	"yardwinch/internal/config"
	"yardwinch/internal/explain"
	"yardwinch/internal/handover"
	"yardwinch/internal/protocol"
	"yardwinch/internal/retry"
	"yardwinch/internal/routing"
	"yardwinch/internal/transport"
)

// Descriptors that the process has for itself, each at its most. They are kept from clients whatever there is: a crowd of idle ones would else
// take the watch's next one, or a caller's, and nothing says when one comes free again. Addresses are numbers: nothing is open to look names up.
const (
	standardDescriptors = 3 // input, output, and the log
	runtimeDescriptors  = 5 // the poller and its wake-up, the two files that tell its share of the core, one that is opened for a moment
	clientDescriptors   = 2 // their socket, and one taken from its queue that waits for room
	watchDescriptors    = 3 // the list's watch, the one before as it closes, and the list fetched beside it
	fileDescriptors     = 1 // the configuration as it is read anew
	closingDescriptors  = 8 // given back and not gone yet: one that is waited on goes once whoever waits has woken

	leastRoom = 8 // for clients and their servers, if the platform gives no more
)

const readTimeout = 3 * time.Second // at the start, for a configuration that can't be read for a moment

// owned adds up what this process may need.
func (p *Daemon) owned() int {
	n := standardDescriptors + runtimeDescriptors + clientDescriptors + watchDescriptors + fileDescriptors + closingDescriptors
	if p.probing {
		n += protocol.HealthCheckDescriptors
	}
	if p.calls != "" {
		n += admin.Descriptors + handoverDescriptors
	}
	if p.own.ExplainSocket() != "" {
		n += explain.Descriptors
	}
	if p.peers != nil {
		n += peersDescriptors
	}
	return n
}

func unread(path, options string, env func(string) string) *Daemon {
	return &Daemon{path: path, options: options, env: env, phase: loading, ctx: context.Background(), leave: func() {}, up: make(chan struct{}),
		handoverLinks: handoverLinks{relisten: make(chan struct{}, 1)}}
}

// prepare takes all that the balancer is told, and opens nothing. A fault of the configuration names its key.
func prepare(path, options string, env func(string) string) (*Daemon, error) {
	p := unread(path, options, env)
	g, known, err := config.Load(path, env)
	if err != nil {
		return nil, err
	}
	if err := p.take(g, known); err != nil {
		return nil, err
	}
	return p, nil
}

// take goes through all that a configuration says.
func (p *Daemon) take(g config.Values, known []byte) (err error) {
	s := g.DecisionSettings()
	p.told, p.listen, p.agent, p.calls = g, g.Addr("listen"), g.Addr("discovery"), config.AdminAddress(g)
	seed := config.Seed(g)
	p.handshake = config.ConnectTimeout(s)
	p.cores, p.memory, p.descriptors = config.ResourceLimits(g)
	p.longest, p.probing = config.MaxClientTimeout(s), config.HealthChecksEnabled(s)
	tellLoad, tellLag := config.ServerMetrics(s)
	if p.own, err = config.ReadOptions(p.options); err != nil {
		return err
	}
	if p.own.Peers() != nil {
		p.own.EnableSignals(s, revision(), digest(s, p.own.SharedText()), uint64(time.Now().UnixMilli()))
	}
	p.router = routing.New(routing.Config{Seed: seed, LatencyThreshold: config.MessageTarget(s) / 3,
		ServersReportLoad: tellLoad, ServersReportLatency: tellLag, Constraints: p.own.Constraints(s, seed),
		Configure: func(b *decide.Balancer) (map[string]decide.ServiceID, map[string]decide.CustomerID) {
			return config.ConfigureBalancer(s, b)
		}})
	if err := g.Err(); err != nil {
		return err
	}
	p.discovery = protocol.NewDiscovery(p.router, p.agent, seed, config.DiscoveryIsPolled(s))
	if p.known = p.discovery.LoadCached(known); p.known != nil {
		p.known = fmt.Errorf("known: %w", p.known)
	}
	if c := config.UnknownColumns(s); len(c) > 0 {
		slog.Info("columns of load reports that nobody knows are passed over", "columns", c)
	}
	p.front = protocol.NewFrontend(p.router, p.handshake, config.RetryAfter(s))
	return nil
}

// Check tells whether a configuration can be served.
func Check(path, options string, env func(string) string) error {
	p, err := prepare(path, options, env)
	if err != nil {
		return err
	}
	return p.known
}

// checkText is Check for a configuration that is not written yet.
func checkText(path string, text []byte, env func(string) string) error {
	g, known, err := config.Parse(path, text, env)
	if err != nil {
		return err
	}
	p := unread(path, "", env)
	if err := p.take(g, known); err != nil {
		return err
	}
	return p.known
}

// Load prepares the balancer. Its addresses are opened, or taken over, by Serve.
func Load(path, options string, env func(string) string) (p *Daemon, err error) {
	reading, done := context.WithTimeout(context.Background(), readTimeout)
	defer done()
	waits := retry.Backoff{First: firstReloadRetry, Longest: longestReloadRetry}
	err = retry.Do(reading, waits, func(err error) {
		slog.Warn("the configuration can't be read yet", "error", err)
	}, func() (err error) {
		p, err = prepare(path, options, env)
		return err
	})
	if err != nil {
		return nil, err
	}
	if p.known != nil {
		slog.Warn("old list not taken", "error", p.known) // discovery brings a better one
	}
	runtime.GOMAXPROCS(p.cores)
	p.goal(oneProcess)
	p.peers = newPeers(p.own, p.router)
	p.reservedDescriptors = p.owned()
	if least := p.reservedDescriptors + leastRoom; p.descriptors < least {
		slog.Warn("limits.sockets: too few; some of what the process does for itself may find none", "are", p.descriptors, "needs", least)
		p.reservedDescriptors = max(0, p.descriptors-leastRoom)
	}
	p.room = transport.NewDescriptorBudget(p.descriptors-p.reservedDescriptors, protocol.BusyReply)
	if p.calls == "" {
		return p, nil
	}
	if p.folder, err = handover.Open(env("TMPDIR"), p.listen); err != nil {
		slog.Warn("no hand-over to or from another process, and who is out by hand is forgotten at the end", "error", err)
		return p, nil
	}
	p.bans = newBanKeeper(p.folder, p.router.DisabledServers)
	return p, nil
}
