package routing

import (
	"context"
	"fmt"
	"log/slog"
	"strconv"
	"time"

	"yardwinch/decide"
)

// Flags of a new flow, combined with bitwise or.
const (
	FlagLoadHint  = decide.FlagLoadHint  // the client sent an estimate of its load, which is not used
	FlagRetry     = decide.FlagRetry     // the flow is a retry
	FlagReturning = decide.FlagReturning // the client reconnects after a disconnection or a migration
)

// Verdict says what a decision requires the caller to do with a flow.
type Verdict int

// The verdicts.
const (
	Connect Verdict = iota // attempt to connect to a server
	Reject                 // final answer after which a retry does no harm
	Abort                  // final answer that does not say whether a retry is safe: the flow may have run
)

// String returns the verdict's name for log lines.
func (v Verdict) String() string { return [...]string{"connect", "reject", "abort"}[v] }

// Decision is a verdict with its parameters.
type Decision struct {
	Verdict    Verdict
	Addr       string        // with Connect: the server's address
	Deadline   time.Time     // with Connect: when the attempt times out
	RetryAfter time.Duration // with Reject: when the client may retry; 0: unspecified
}

// FlowRequest describes a flow that a client opens.
type FlowRequest struct {
	ClientID string // the client's id of the flow, by which Explain finds it
	Service  string
	Customer string // empty: none
	Key      string
	Group    string        // shared by related flows; empty: none
	Timeout  time.Duration // time until the client gives up; ignored for a flow that is resumed or adopted
	Flags    int           // any of the Flag constants
}

// Flow is one attempt of a client to be connected, with its connection. The order of calls is OpenFlow, then
// AwaitDecision and OnEnded for each failed attempt, then AwaitDecision and OnEstablished for the successful one, and
// OnEnded once the connection has ended.
type Flow struct {
	router    *Router
	id        decide.FlowID
	decisions chan Decision // holds a decision that AwaitDecision has not yet returned

	// The router's mutex guards the fields below.
	server           *server
	attemptStartedAt time.Duration // when the last attempt started
	adopted          FlowTiming    // of a flow taken over from another process, at that time
	adopt            func()        // adopts a resumed flow once its connection is established; otherwise nil

	isMigrating   bool // its client was asked to reconnect, or will be once onMigrate is set
	onMigrate     func()
	isAnswered    bool // the client has its answer, or left without one
	isEstablished bool
	awaitingSince time.Duration // when the oldest unanswered request was sent; 0: there is none
	lastRequestAt time.Duration // when the client last sent a request

	links       [linkCount]flowLink // its positions in the latency tracker's lists
	serverIndex int                 // its index in server.established
}

// newFlow returns a flow and its request in the types of package decide.
func (r *Router) newFlow(request FlowRequest) (*Flow, decide.FlowRequest, error) {
	service, ok := r.services[request.Service]
	if !ok {
		return nil, decide.FlowRequest{}, fmt.Errorf("%w %q", ErrUnknownService, request.Service)
	}
	customer, ok := r.customers[request.Customer]
	if !ok {
		customer = decide.NoCustomer
	}
	f := &Flow{router: r, id: r.newFlowID(), decisions: make(chan Decision, 1)}
	return f, decide.FlowRequest{
		ID:       f.id,
		Service:  service,
		Customer: customer,
		Key:      decide.FlowKey(request.Key),
		Group:    decide.GroupKey(request.Group),
		Timeout:  request.Timeout,
		Flags:    request.Flags,
	}, nil
}

// newFlowID returns the next sequence number as a flow id: clients choose their own ids, which may not be unique, and
// the balancer must not see the same id twice.
func (r *Router) newFlowID() decide.FlowID {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.lastFlowID++
	return decide.FlowID(strconv.FormatInt(r.lastFlowID, 10))
}

// OpenFlow opens a new flow. The only possible error is ErrUnknownService.
func (r *Router) OpenFlow(request FlowRequest) (*Flow, error) {
	f, decideRequest, err := r.newFlow(request)
	if err != nil {
		return nil, err
	}
	r.lockForEvent()
	defer r.mu.Unlock()
	r.flows[f.id] = f
	if r.constrained != nil {
		r.constrained.NameNextFlow(request.ClientID)
	}
	r.balancer.OnFlow(decideRequest)
	return f, nil
}

// ResumeFlow opens a flow that was connected to a server before this balancer started, and returns the server's
// address. The balancer adopts the flow once OnEstablished reports that the connection is up again.
func (r *Router) ResumeFlow(request FlowRequest, serverName string) (flow *Flow, addr string, err error) {
	f, decideRequest, err := r.newFlow(request)
	if err != nil {
		return nil, "", err
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	id, ok := r.serverIDs[serverName]
	if !ok {
		return nil, "", fmt.Errorf("unknown server %q", serverName)
	}
	f.server = r.servers[id]
	// The closure captures only these fields, to keep the whole request from being retained until the flow is adopted.
	service, customer := decideRequest.Service, decideRequest.Customer
	key, group := decideRequest.Key, decideRequest.Group
	f.adopt = func() {
		r.flows[f.id] = f
		r.balancer.AdoptFlow(decide.FlowRequest{ID: f.id, Service: service, Customer: customer, Key: key, Group: group}, id)
	}
	return f, f.server.addr, nil
}

// FlowTiming says for how long an established flow has waited, for the process that takes it over.
type FlowTiming struct {
	AwaitingReply time.Duration // since the oldest unanswered request; 0: there is none
	ClientSilent  time.Duration // since the client's last request
}

// Timing returns how long the flow has waited until now.
func (f *Flow) Timing() FlowTiming {
	f.router.mu.Lock()
	defer f.router.mu.Unlock()
	now := f.router.Now()
	timing := FlowTiming{ClientSilent: now - f.lastRequestAt}
	if f.awaitingSince != 0 {
		timing.AwaitingReply = max(now-f.awaitingSince, 1) // 0 means that there is no unanswered request
	}
	return timing
}

// AdoptFlow takes over a flow with its established connection from another process, where it has waited as timing says.
func (r *Router) AdoptFlow(request FlowRequest, serverName string, timing FlowTiming) (*Flow, error) {
	f, _, err := r.ResumeFlow(request, serverName)
	if err == nil {
		f.adopted = timing
		f.OnEstablished()
	}
	return f, err
}

// deliver passes a decision to AwaitDecision; at most one is pending at a time.
func (f *Flow) deliver(decision Decision) {
	select {
	case f.decisions <- decision:
	default: // the flow was abandoned before the previous decision was received
	}
}

// AwaitDecision waits for the next decision. It fails only when the context ends, with the context's error.
func (f *Flow) AwaitDecision(ctx context.Context) (Decision, error) {
	select {
	case decision := <-f.decisions: // checked first, so that the client gets its answer even if the context has ended
		f.onPickedUp(decision)
		return decision, nil
	default:
	}
	select {
	case <-ctx.Done():
		return Decision{}, ctx.Err()
	case decision := <-f.decisions:
		f.onPickedUp(decision)
		return decision, nil
	}
}

// onPickedUp removes a flow whose decision is the client's final answer.
func (f *Flow) onPickedUp(decision Decision) {
	f.router.mu.Lock()
	defer f.router.mu.Unlock()
	if decision.Verdict == Connect {
		return
	}
	slog.Debug("flow answered", "flow", f.id, "verdict", decision.Verdict,
		"retry_after_ms", milliseconds(decision.RetryAfter))
	delete(f.router.flows, f.id)
}

// StillAllowed reports whether the server still accepts the flow. It is checked just before the first byte is sent, as
// the server may have begun to drain while the connection was being established. A resumed flow is always allowed, as
// it is not new to the server.
func (f *Flow) StillAllowed() bool {
	f.router.mu.Lock()
	defer f.router.mu.Unlock()
	return f.server.acceptsFlows() || f.adopt != nil
}

// OnEstablished reports that the connection is established.
func (f *Flow) OnEstablished() {
	now := f.router.lockForEvent()
	defer f.router.mu.Unlock()
	f.isAnswered = true
	f.isEstablished = true
	f.lastRequestAt = now - f.adopted.ClientSilent
	if f.adopted.AwaitingReply > 0 {
		f.awaitingSince = max(now-f.adopted.AwaitingReply, 1) // 0 means that there is no unanswered request
	}
	f.router.latency.track(f)
	slog.Debug("flow established", "flow", f.id, "server", f.server.name, "duration_ms", milliseconds(now-f.attemptStartedAt))
	if f.adopt != nil {
		f.adopt()
		return
	}
	f.router.balancer.OnEstablished(f.id, now-f.attemptStartedAt)
}

// OnEnded reports how the attempt or the connection ended. Unless the client has its answer, another decision follows.
func (f *Flow) OnEnded(outcome Outcome) {
	now := f.router.lockForEvent()
	defer f.router.mu.Unlock()
	slog.Debug("flow ended", "flow", f.id, "server", f.server.name, "outcome", outcome,
		"established", f.isEstablished, "duration_ms", milliseconds(now-f.attemptStartedAt))
	f.server.metrics.onFlowEnded(f.id)
	if f.isEstablished {
		if outcome == Reset {
			f.server.metrics.lastResetAt = now
		}
		f.router.latency.untrack(f)
	}
	f.isEstablished = false
	f.awaitingSince = 0
	isAnswered := f.isAnswered
	f.router.balancer.OnEnded(f.id, outcome, now-f.attemptStartedAt, isAnswered)
	if isAnswered {
		delete(f.router.flows, f.id)
	}
}

// Abandon reports that the client left or timed out while a decision was awaited.
func (f *Flow) Abandon() {
	f.router.lockForEvent()
	defer f.router.mu.Unlock()
	f.router.balancer.OnClientLeft(f.id)
	select {
	case decision := <-f.decisions:
		if decision.Verdict == Connect { // decided concurrently: the attempt will not be made
			f.router.balancer.OnEnded(f.id, decide.NeverSent, 0, true)
		}
	default:
	}
	delete(f.router.flows, f.id)
}

// OnClientLeft reports that the client left or timed out during an attempt. The end of the attempt must still be
// reported with OnEnded.
func (f *Flow) OnClientLeft() {
	f.router.lockForEvent()
	defer f.router.mu.Unlock()
	f.isAnswered = true
	f.router.balancer.OnClientLeft(f.id)
}

// SetMigrationHandler sets the function that asks the client to reconnect elsewhere. It is called immediately if a
// migration was requested before.
func (f *Flow) SetMigrationHandler(migrate func()) {
	f.router.mu.Lock()
	f.onMigrate = migrate
	isMigrating := f.isMigrating
	f.router.mu.Unlock()
	if isMigrating {
		migrate()
	}
}

// Server returns the name of the server of the connection, and whether the client was asked to reconnect.
func (f *Flow) Server() (name string, isMigrating bool) {
	f.router.mu.Lock()
	defer f.router.mu.Unlock()
	return f.server.name, f.isMigrating
}

// RequestMigration asks the client to reconnect, for reasons other than a decision of the balancer.
func (f *Flow) RequestMigration() {
	f.router.mu.Lock()
	defer f.router.mu.Unlock()
	f.requestMigration()
}

// requestMigration asks the client to reconnect, at most once; the mutex must be held.
func (f *Flow) requestMigration() {
	if f.isMigrating {
		return
	}
	f.isMigrating = true
	if f.onMigrate != nil {
		f.onMigrate()
	}
}
