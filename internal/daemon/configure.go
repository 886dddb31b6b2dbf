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

// readTimeout is for how long a configuration that can't be read is retried at startup.
const readTimeout = 3 * time.Second

// Source is where a balancer's configuration comes from.
type Source struct {
	ConfigPath  string                   // the configuration file, from the platform
	OptionsPath string                   // the operators' own file; empty: none
	Environment func(name string) string // like os.Getenv
}

// configuration is what the process was configured with at startup. A reload updates options and the components that
// support it; any other change needs a restart.
type configuration struct {
	source Source

	values  config.Values
	options *config.Options

	listenAddress    string // for clients
	adminAddress     string // for operators; empty: none
	discoveryAddress string
	seed             uint64
	cachedListError  error // why the endpoint list in the configuration could not be loaded; nil: it was

	cores            int
	memoryLimit      int64 // bytes
	descriptorLimit  int
	healthChecks     bool
	reportsLoad      bool          // servers report the load of their connections
	reportsLatency   bool          // servers report the latency of messages
	connectTimeout   time.Duration // for the handshake with a server
	maxClientTimeout time.Duration // the longest time that a client waits to be connected
}

// newDaemon returns a daemon that has not read its configuration yet.
func newDaemon(source Source) *Daemon {
	return &Daemon{
		configuration: configuration{source: source},
		relisten:      make(chan struct{}, 1),
	}
}

// prepare returns a daemon for a configuration. It opens and starts nothing: a reload prepares a second daemon and
// takes from it what can change. An error names the invalid key.
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

// configure creates the components of the daemon from a configuration and its endpoint list.
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
	if err := d.discovery.LoadCached(cachedList); err != nil { //nolint:contextcheck // doesn't block
		d.cachedListError = fmt.Errorf("known: %w", err)
	}
	if columns := config.UnknownColumns(settings); len(columns) > 0 {
		slog.InfoContext(ctx, "unknown columns of load reports ignored", "columns", columns)
	}
	d.frontend = protocol.NewFrontend(d.router, d.connectTimeout, config.RetryAfter(settings))
	d.lifecycle = newLifecycle(d.frontend)
	return nil
}

// readConfiguration reads the settings of the process itself. The order matters: of several invalid settings the
// first is reported.
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

// Check returns nil if a configuration can be served, else the reason why not.
func Check(ctx context.Context, source Source) error {
	d, err := prepare(ctx, source)
	if err != nil {
		return err
	}
	return d.cachedListError
}

// checkText is like Check for a configuration that is not written to its file yet.
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

// Load creates a balancer from its configuration. Serve opens its addresses, or takes them over.
func Load(ctx context.Context, source Source) (*Daemon, error) {
	d, err := prepareWithRetries(ctx, source)
	if err != nil {
		return nil, err
	}
	if d.cachedListError != nil {
		slog.Warn("cached endpoint list not loaded", "error", d.cachedListError) // discovery will provide a list
	}
	runtime.GOMAXPROCS(d.cores)
	d.setGoMemoryLimit(oneProcess)
	d.gossip = newGossip(d.options, d.router)
	d.reserveDescriptors()
	d.limitDescriptorsByMemory()
	d.descriptorBudget = transport.NewDescriptorBudget(d.connectionDescriptors(), protocol.BusyReply)
	if d.adminAddress != "" {
		d.useDirectory(source.Environment("TMPDIR"))
	}
	return d, nil
}

func prepareWithRetries(ctx context.Context, source Source) (d *Daemon, err error) {
	readCtx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	backoff := retry.Backoff{InitialDelay: firstReloadRetry, MaxDelay: longestReloadRetry}
	err = retry.Do(readCtx, backoff, func(err error) {
		slog.Warn("configuration not read yet", "error", err)
	}, func() (err error) {
		d, err = prepare(ctx, source)
		return err
	})
	return d, err
}

// useDirectory sets up the directory that this process shares with its predecessor and its successor.
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
