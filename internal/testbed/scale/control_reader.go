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
	takeWithin    = 20 * time.Second
	lookForTaken  = 200 * time.Microsecond
	listHeartbeat = 500 * time.Millisecond // a watch that says nothing is opened again
	firstBytes    = 10 * time.Second
)

// listReader is a balancer's real reading of the server list, with the real decisions behind it: one watch on loopback.
type listReader struct {
	discovery *protocol.Discovery
	server    *http.Server
	updates   chan []byte
	end       context.CancelFunc
	parts     sync.WaitGroup
}

func newListReader(parent context.Context, seed uint64) (*listReader, error) {
	listener, err := (&net.ListenConfig{}).Listen(parent, "tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithCancel(parent)
	t := &listReader{updates: make(chan []byte), end: cancel}
	t.server = &http.Server{Handler: http.HandlerFunc(t.watch), ReadHeaderTimeout: firstBytes}
	router := routing.New(routing.Config{Seed: seed, LatencyThreshold: lateFrom, Configure: startDecisions})
	t.discovery = protocol.NewDiscovery(router, listener.Addr().String(), seed, false)
	t.parts.Go(func() { _ = t.server.Serve(listener) }) // it ends when it is closed
	t.parts.Go(func() { t.discovery.Run(ctx) })
	return t, nil
}

// startDecisions tells the decisions what a deployment would.
func startDecisions(b *decide.Balancer) (map[string]decide.ServiceID, map[string]decide.CustomerID) {
	const (
		connects  = 4
		window    = 2 * time.Second
		within    = 10 * time.Second
		message   = 100 * time.Millisecond
		coldFor   = 20 * time.Second
		coldEvery = 1500 * time.Millisecond
		balancers = 8100
	)
	b.ConfigureFlows(connects, 0)
	b.AddService(decide.ServiceType{Effect: decide.Idempotent, Deduplication: decide.DeduplicatedByFleet, SetupTarget: setupTime, RetryWindow: window, Value: 1})
	b.ConfigureSlowStart(decide.SlowStart{InitialCapacity: 0.2, OverloadMultiple: 3, WarmUp: coldFor, Window: coldEvery, Balancers: balancers})
	b.ConfigurePlacement(0.08, 0.026, true)
	b.ConfigureEndpoints(decide.EndpointSettings{Zone: "zone-00", Polled: false, MaxPollInterval: within, MessageTarget: message})
	return map[string]decide.ServiceID{"chat": 0}, nil
}

// watch writes what there is to tell, and a sign of life now and then.
func (t *listReader) watch(w http.ResponseWriter, r *http.Request) {
	out := http.NewResponseController(w)
	beat := time.NewTicker(listHeartbeat)
	defer beat.Stop()
	for {
		text := []byte("\n")
		select {
		case <-r.Context().Done():
			return
		case text = <-t.updates:
		case <-beat.C:
		}
		if _, err := w.Write(text); err != nil || out.Flush() != nil {
			return
		}
	}
}

// take writes objects, and waits until the last one's revision is in force.
func (t *listReader) take(ctx context.Context, objects [][]byte, revision int) error {
	ctx, cancel := context.WithTimeout(ctx, takeWithin)
	defer cancel()
	for _, text := range objects {
		select {
		case t.updates <- text:
		case <-ctx.Done():
			return t.notTaken(revision)
		}
	}
	for {
		if _, held := t.discovery.Position(); held == int64(revision) {
			return nil
		}
		if pause(ctx, lookForTaken) != nil {
			return t.notTaken(revision)
		}
	}
}

func (t *listReader) notTaken(revision int) error {
	return &Error{Where: "server list", What: fmt.Sprintf("revision %d was not in force within %v", revision, takeWithin),
		Remedy: "see the log for a list that was refused, or run it when the machine is less busy"}
}

func (t *listReader) close() {
	t.end()
	_ = t.server.Close() // nobody reads any more
	t.parts.Wait()
}
