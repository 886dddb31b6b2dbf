package scale

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"sync"
	"time"

	"yardwinch/decide"
	"yardwinch/internal/protocol"
	"yardwinch/internal/routing"
)

const (
	applyTimeout      = 20 * time.Second
	applyPollInterval = 200 * time.Microsecond
	listHeartbeat     = 500 * time.Millisecond // keeps the watch open: a silent one is reopened
	headerTimeout     = 10 * time.Second
)

// listSubscriber runs a balancer's real handling of the endpoint list, and its decisions, with a watch on a discovery
// stub on loopback.
type listSubscriber struct {
	discovery *protocol.Discovery
	server    *http.Server
	updates   chan []byte
	cancel    context.CancelFunc
	running   sync.WaitGroup
}

func newListSubscriber(parent context.Context, seed uint64) (*listSubscriber, error) {
	listener, err := (&net.ListenConfig{}).Listen(parent, "tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithCancel(parent)
	t := &listSubscriber{updates: make(chan []byte), cancel: cancel}
	t.server = &http.Server{Handler: http.HandlerFunc(t.serveWatch), ReadHeaderTimeout: headerTimeout}
	router := routing.New(routing.Config{Seed: seed, LatencyThreshold: latencyObjective, Configure: configureDecisions})
	t.discovery = protocol.NewDiscovery(router, listener.Addr().String(), seed, false)
	t.running.Go(func() { _ = t.server.Serve(listener) }) // returns when close closes the server
	t.running.Go(func() { t.discovery.Run(ctx) })
	return t, nil
}

// configureDecisions applies settings that are typical of a deployment.
func configureDecisions(b *decide.Balancer) (map[string]decide.ServiceID, map[string]decide.CustomerID) {
	const (
		connectLimit     = 4
		retryWindow      = 2 * time.Second
		maxPollInterval  = 10 * time.Second
		messageObjective = 100 * time.Millisecond
		warmUp           = 20 * time.Second
		slowStartWindow  = 1500 * time.Millisecond
		balancers        = 8100
	)
	b.ConfigureFlows(connectLimit, 0)
	b.AddService(decide.ServiceType{
		Effect:        decide.Idempotent,
		Deduplication: decide.DeduplicatedByFleet,
		SetupTarget:   setupObjective,
		RetryWindow:   retryWindow,
		Value:         1,
	})
	b.ConfigureSlowStart(decide.SlowStart{
		InitialCapacity:  0.2,
		OverloadMultiple: 3,
		WarmUp:           warmUp,
		Window:           slowStartWindow,
		Balancers:        balancers,
	})
	b.ConfigurePlacement(0.08, 0.026, true)
	b.ConfigureEndpoints(decide.EndpointSettings{
		Zone:            "zone-00",
		Polled:          false,
		MaxPollInterval: maxPollInterval,
		MessageTarget:   messageObjective,
	})
	return map[string]decide.ServiceID{"chat": 0}, nil
}

// serveWatch answers a watch: it writes updates, and empty lines as heartbeats.
func (t *listSubscriber) serveWatch(w http.ResponseWriter, r *http.Request) {
	out := http.NewResponseController(w)
	heartbeat := time.NewTicker(listHeartbeat)
	defer heartbeat.Stop()
	for {
		text := []byte("\n")
		select {
		case <-r.Context().Done():
			return
		case text = <-t.updates:
		case <-heartbeat.C:
		}
		if _, err := w.Write(text); err != nil || out.Flush() != nil {
			return
		}
	}
}

// apply publishes objects and waits until the revision of the last one is in force.
func (t *listSubscriber) apply(ctx context.Context, objects [][]byte, revision int) error {
	ctx, cancel := context.WithTimeout(ctx, applyTimeout)
	defer cancel()
	for _, text := range objects {
		select {
		case t.updates <- text:
		case <-ctx.Done():
			return t.applyTimeoutError(revision)
		}
	}
	for {
		if _, held := t.discovery.Position(); held == int64(revision) {
			return nil
		}
		if pause(ctx, applyPollInterval) != nil {
			return t.applyTimeoutError(revision)
		}
	}
}

func (t *listSubscriber) applyTimeoutError(revision int) error {
	return &Error{Where: "server list", What: fmt.Sprintf("revision %d was not in force within %v", revision, applyTimeout),
		Remedy: "check the log for a rejected list, or run it when the machine is less busy"}
}

func (t *listSubscriber) close() {
	t.cancel()
	_ = t.server.Close() // the watch is no longer read
	t.running.Wait()
}
