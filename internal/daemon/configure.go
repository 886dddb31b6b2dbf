package daemon

import (
	"context"
	"fmt"
	"log/slog"
	"runtime"
	"time"

	"yardwinch/decide"
	"yardwinch/internal/config"
	"yardwinch/internal/handover"
	"yardwinch/internal/protocol"
	"yardwinch/internal/retry"
	"yardwinch/internal/routing"
	"yardwinch/internal/store"
	"yardwinch/internal/transport"
)

// readTimeout is for a configuration that can't be read for a moment as the process starts.
const readTimeout = 3 * time.Second

// Source is where a balancer's configuration comes from.
type Source struct {
	ConfigPath  string                   // of the file that the platform gives
	OptionsPath string                   // the operators' own file; empty: none
	Environment func(name string) string // as os.Getenv
}

// configuration is what a process was configured with as it started. A reload applies to options, and to the parts
// that it concerns; for all else a restart is needed.
type configuration struct {
	source Source

	values  config.Values
	options *config.Options

	listenAddress    string // for clients
	adminAddress     string // for operators; empty: none
	discoveryAddress string
	seed             uint64
	cachedListError  error // what is wrong with the endpoint list in the configuration; nil: nothing

	cores            int
	memoryLimit      int64 // bytes
	descriptorLimit  int
	healthChecks     bool
	reportsLoad      bool          // servers report the load of their connections
	reportsLatency   bool          // and the latency of messages
	connectTimeout   time.Duration // for the handshake with a server
	maxClientTimeout time.Duration // the longest that a client waits
}

// newDaemon is a daemon that has read no configuration yet.
func newDaemon(source Source) *Daemon {
	return &Daemon{
		configuration: configuration{source: source},
		relisten:      make(chan struct{}, 1),
	}
}

// prepare reads a configuration, and opens and starts nothing: a reload only takes from the result what can change. An
// error names the key at fault.
func prepare(ctx context.Context, source Source) (*Daemon, error) {
	d := newDaemon(source)
	values, cachedList, err := config.Load(source.ConfigPath, source.Environment)
	if err != nil {
		return nil, err
	}
	if err := d.configure(ctx, values, cachedList); err != nil {
		return nil, err
	}
	return d, nil
}

// configure makes the parts of the daemon from a configuration and the endpoint list in it.
func (d *Daemon) configure(ctx context.Context, values config.Values, cachedList []byte) (err error) {
	settings := values.DecisionSettings()
	d.readConfiguration(values, settings)
	if d.options, err = config.ReadOptions(d.source.OptionsPath); err != nil {
		return err
	}
	if d.options.Peers() != nil {
		incarnation := uint64(time.Now().UnixMilli())
		d.options.EnableSignals(settings, buildRevision(), settingsDigest(settings, d.options.SharedText()), incarnation)
	}
	d.router = d.newRouter(settings)
	if err := values.Err(); err != nil {
		return err
	}
	d.discovery = protocol.NewDiscovery(d.router, d.discoveryAddress, d.seed, config.DiscoveryIsPolled(settings))
	if err := d.discovery.LoadCached(cachedList); err != nil { //nolint:contextcheck // it waits for nothing
		d.cachedListError = fmt.Errorf("known: %w", err)
	}
	if columns := config.UnknownColumns(settings); len(columns) > 0 {
		slog.InfoContext(ctx, "unknown columns of load reports ignored", "columns", columns)
	}
	d.frontend = protocol.NewFrontend(d.router, d.connectTimeout, config.RetryAfter(settings))
	d.lifecycle = newLifecycle(d.frontend)
	return nil
}

// readConfiguration reads what the process itself needs of a configuration. The order matters: of several faults
// the first is reported.
func (d *Daemon) readConfiguration(values, settings config.Values) {
	d.values = values
	d.listenAddress = values.Addr("listen")
	d.discoveryAddress = values.Addr("discovery")
	d.adminAddress = config.AdminAddress(values)
	d.seed = config.Seed(values)
	d.connectTimeout = config.ConnectTimeout(settings)
	d.cores, d.memoryLimit, d.descriptorLimit = config.ResourceLimits(values)
	d.maxClientTimeout = config.MaxClientTimeout(settings)
	d.healthChecks = config.HealthChecksEnabled(settings)
	d.reportsLoad, d.reportsLatency = config.ServerMetrics(settings)
}

func (d *Daemon) newRouter(settings config.Values) *routing.Router {
	return routing.New(routing.Config{
		Seed:                 d.seed,
		LatencyThreshold:     config.LatencyThreshold(settings),
		ServersReportLoad:    d.reportsLoad,
		ServersReportLatency: d.reportsLatency,
		Constraints:          d.options.Constraints(settings, d.seed),
		Configure: func(balancer *decide.Balancer) (map[string]decide.ServiceID, map[string]decide.CustomerID) {
			return config.ConfigureBalancer(settings, balancer)
		},
	})
}

// Check returns what keeps a configuration from being served; nil: nothing.
func Check(ctx context.Context, source Source) error {
	d, err := prepare(ctx, source)
	if err != nil {
		return err
	}
	return d.cachedListError
}

// checkText is Check for a configuration that is not written yet.
func checkText(ctx context.Context, source Source, text []byte) error {
	values, cachedList, err := config.Parse(source.ConfigPath, text, source.Environment)
	if err != nil {
		return err
	}
	d := newDaemon(source)
	if err := d.configure(ctx, values, cachedList); err != nil {
		return err
	}
	return d.cachedListError
}

// Load prepares a balancer from its configuration. Its addresses are opened, or taken over, by Serve.
func Load(ctx context.Context, source Source) (*Daemon, error) {
	d, err := prepareWithRetries(ctx, source)
	if err != nil {
		return nil, err
	}
	if d.cachedListError != nil {
		slog.Warn("cached endpoint list not loaded", "error", d.cachedListError) // discovery brings a newer one
	}
	runtime.GOMAXPROCS(d.cores)
	d.setMemoryGoal(oneProcess)
	d.gossip = newGossip(d.options, d.router)
	d.reserveDescriptors()
	d.descriptorBudget = transport.NewDescriptorBudget(d.connectionDescriptors(), protocol.BusyReply)
	if d.adminAddress != "" {
		d.useDirectory(source.Environment("TMPDIR"))
	}
	return d, nil
}

func prepareWithRetries(ctx context.Context, source Source) (d *Daemon, err error) {
	readCtx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	backoff := retry.Backoff{First: firstReloadRetry, Longest: longestReloadRetry}
	err = retry.Do(readCtx, backoff, func(err error) {
		slog.Warn("configuration not read yet", "error", err)
	}, func() (err error) {
		d, err = prepare(ctx, source)
		return err
	})
	return d, err
}

// useDirectory names the directory that this process shares with its predecessor and its successor.
func (d *Daemon) useDirectory(root string) {
	directory, err := store.Open(root, d.listenAddress)
	if err != nil {
		slog.Warn("no hand-over, and disabled servers are not saved", "error", err)
		return
	}
	d.directory = directory
	d.socket = handover.NewSocket(directory)
	d.disabled = newDisabledStore(directory, d.router.DisabledServers)
}
