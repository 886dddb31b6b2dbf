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

	minClientDescriptors = 8 // for clients and their servers, if the platform gives no more
)

const readTimeout = 3 * time.Second // at the start, for a configuration that can't be read for a moment

// reservedForProcess adds up what this process may need.
func (p *Daemon) reservedForProcess() int {
	n := standardDescriptors + runtimeDescriptors + clientDescriptors + watchDescriptors + fileDescriptors + closingDescriptors
	if p.healthChecks {
		n += protocol.HealthCheckDescriptors
	}
	if p.adminAddress != "" {
		n += admin.Descriptors + handoverDescriptors
	}
	if p.options.ExplainSocket() != "" {
		n += explain.Descriptors
	}
	if p.gossip != nil {
		n += gossipDescriptors
	}
	return n
}

func newDaemon(path, options string, env func(string) string) *Daemon {
	return &Daemon{configPath: path, optionsPath: options, environment: env, phase: loading, ctx: context.Background(), leave: func() {}, started: make(chan struct{}),
		handoverLinks: handoverLinks{relisten: make(chan struct{}, 1)}}
}

// prepare takes all that the balancer is told, and opens nothing. A fault of the configuration names its key.
func prepare(path, options string, env func(string) string) (*Daemon, error) {
	p := newDaemon(path, options, env)
	g, known, err := config.Load(path, env)
	if err != nil {
		return nil, err
	}
	if err := p.configure(g, known); err != nil {
		return nil, err
	}
	return p, nil
}

// configure goes through all that a configuration says.
func (p *Daemon) configure(g config.Values, known []byte) (err error) {
	s := g.DecisionSettings()
	p.values, p.listenAddress, p.discoveryAddress, p.adminAddress = g, g.Addr("listen"), g.Addr("discovery"), config.AdminAddress(g)
	seed := config.Seed(g)
	p.connectTimeout = config.ConnectTimeout(s)
	p.cores, p.memoryLimit, p.descriptorLimit = config.ResourceLimits(g)
	p.maxClientTimeout, p.healthChecks = config.MaxClientTimeout(s), config.HealthChecksEnabled(s)
	tellLoad, tellLag := config.ServerMetrics(s)
	if p.options, err = config.ReadOptions(p.optionsPath); err != nil {
		return err
	}
	if p.options.Peers() != nil {
		p.options.EnableSignals(s, revision(), digest(s, p.options.SharedText()), uint64(time.Now().UnixMilli()))
	}
	p.router = routing.New(seed, config.MessageTarget(s)/3, tellLoad, tellLag, p.options.Constraints(s, seed),
		func(b *decide.Balancer) (map[string]decide.ServiceID, map[string]decide.CustomerID) {
			return config.ConfigureBalancer(s, b)
		})
	if err := g.Err(); err != nil {
		return err
	}
	p.discovery = protocol.NewDiscovery(p.router, p.discoveryAddress, seed, config.DiscoveryIsPolled(s))
	if p.cachedListError = p.discovery.LoadCached(known); p.cachedListError != nil {
		p.cachedListError = fmt.Errorf("known: %w", p.cachedListError)
	}
	if c := config.UnknownColumns(s); len(c) > 0 {
		slog.Info("columns of load reports that nobody knows are passed over", "columns", c)
	}
	p.frontend = protocol.NewFrontend(p.router, p.connectTimeout, config.RetryAfter(s))
	return nil
}

// Check tells whether a configuration can be served.
func Check(path, options string, env func(string) string) error {
	p, err := prepare(path, options, env)
	if err != nil {
		return err
	}
	return p.cachedListError
}

// checkText is Check for a configuration that is not written yet.
func checkText(path string, text []byte, env func(string) string) error {
	g, known, err := config.Parse(path, text, env)
	if err != nil {
		return err
	}
	p := newDaemon(path, "", env)
	if err := p.configure(g, known); err != nil {
		return err
	}
	return p.cachedListError
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
	if p.cachedListError != nil {
		slog.Warn("old list not taken", "error", p.cachedListError) // discovery brings a better one
	}
	runtime.GOMAXPROCS(p.cores)
	p.setMemoryGoal(oneProcess)
	p.gossip = newGossip(p.options, p.router)
	p.reservedDescriptors = p.reservedForProcess()
	if least := p.reservedDescriptors + minClientDescriptors; p.descriptorLimit < least {
		slog.Warn("limits.sockets: too few; some of what the process does for itself may find none", "are", p.descriptorLimit, "needs", least)
		p.reservedDescriptors = max(0, p.descriptorLimit-minClientDescriptors)
	}
	p.descriptorBudget = transport.NewDescriptorBudget(p.descriptorLimit-p.reservedDescriptors, protocol.BusyReply)
	if p.adminAddress == "" {
		return p, nil
	}
	if p.directory, err = handover.Open(env("TMPDIR"), p.listenAddress); err != nil {
		slog.Warn("no hand-over to or from another process, and who is out by hand is forgotten at the end", "error", err)
		return p, nil
	}
	p.disabled = newDisabledStore(p.directory, p.router.DisabledServers)
	return p, nil
}
