package routing

import (
	"context"
	"fmt"
	"log/slog"
	"strconv"
	"time"

	"yardwinch/decide"
)

// Flags of a flow as it arrives; they add up.
const (
	FlagLoadHint  = decide.FlagLoadHint  // the client's estimate of its load is valid
	FlagRetry     = decide.FlagRetry     // the client retries
	FlagReturning = decide.FlagReturning // the client was asked to reconnect
)

// Verdict says what is to be done with a flow.
type Verdict int

// The verdicts.
const (
	Connect Verdict = iota // attempt to connect to a server
	Reject                 // answer the client that it may retry
	Abort                  // answer the client without a promise
)

// String is a word for log lines.
func (v Verdict) String() string { return [...]string{"connect", "reject", "abort"}[v] }

// Decision is a verdict with what goes with it.
type Decision struct {
	Verdict    Verdict
	Addr       string        // with Connect: the server's address
	Deadline   time.Time     // with Connect: of the attempt
	RetryAfter time.Duration // with Reject: 0 says nothing
}

// FlowRequest describes a flow that a client opens.
type FlowRequest struct {
	ClientID string // what its client calls it, to be explained later by that name
	Service  string
	Customer string // empty: none
	Key      string
	Group    string        // of flows that belong together; empty: none
	Timeout  time.Duration // until the client gives up; of no meaning for a flow that is resumed or adopted
	Flags    int           // of the Flag constants
}

// Flow is one client's connection. Its methods report what becomes of it, in the order OpenFlow, AwaitDecision and
// OnEnded for each attempt, OnEstablished, OnEnded.
type Flow struct {
	router    *Router
	id        decide.FlowID
	decisions chan Decision // the one not yet picked up

	// The router's mutex guards all that follows.
	server    *server
	attemptAt time.Duration // when the last attempt began
	adopt     func()        // hands a resumed flow to the decisions once its connection is established; else nil

	isMigrating   bool // its client is to be asked to reconnect
	onMigrate     func()
	isAnswered    bool // the client has its answer, or left without one
	isEstablished bool
	awaitingSince time.Duration // when the oldest unanswered line came; 0: there is none
	lastRequestAt time.Duration // when the client last sent a line

	links       [linkCount]flowLink // in the latency tracker's lists
	serverIndex int                 // in server.established
}

// newFlow makes a flow and its request in the terms of the decisions.
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

// newFlowID numbers the flows: clients choose their own ids, and the decisions must not see the same one twice.
func (r *Router) newFlowID() decide.FlowID {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.lastFlowID++
	return decide.FlowID(strconv.FormatInt(r.lastFlowID, 10))
}

// OpenFlow takes a new flow. Its error is an ErrUnknownService.
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

// ResumeFlow takes a flow whose connection was open at a server before this balancer's start, and returns the server's
// address. The decisions get it once OnEstablished reports that the connection is up again.
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
	// The flow holds only these until it is adopted, and not the whole request.
	service, customer := decideRequest.Service, decideRequest.Customer
	key, group := decideRequest.Key, decideRequest.Group
	f.adopt = func() {
		r.flows[f.id] = f
		r.balancer.AdoptFlow(decide.FlowRequest{ID: f.id, Service: service, Customer: customer, Key: key, Group: group}, id)
	}
	return f, f.server.addr, nil
}

// AdoptFlow takes over a flow whose connection is established at a server, from another process.
func (r *Router) AdoptFlow(request FlowRequest, serverName string) (*Flow, error) {
	f, _, err := r.ResumeFlow(request, serverName)
	if err == nil {
		f.OnEstablished()
	}
	return f, err
}

// deliver leaves a decision to be picked up; the decisions give one at a time.
func (f *Flow) deliver(decision Decision) {
	select {
	case f.decisions <- decision:
	default: // the flow was abandoned before it picked the last one up
	}
}

// AwaitDecision waits for the next decision. Its error is the context's.
func (f *Flow) AwaitDecision(ctx context.Context) (Decision, error) {
	select {
	case decision := <-f.decisions: // before the context: where both are ready, the client still gets its answer
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

// onPickedUp forgets a flow whose decision is the client's final answer.
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

// StillAllowed reports, just before the first byte, whether the server still accepts the flow: it may have begun to
// drain while the connection was being established. A resumed flow is not new there.
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
	f.lastRequestAt = now
	f.router.latency.track(f)
	slog.Debug("flow established", "flow", f.id, "server", f.server.name, "duration_ms", milliseconds(now-f.attemptAt))
	if f.adopt != nil {
		f.adopt()
		return
	}
	f.router.balancer.OnEstablished(f.id, now-f.attemptAt)
}

// OnEnded reports how the attempt or the connection ended. Unless the client has its answer, the next decision follows.
func (f *Flow) OnEnded(outcome Outcome) {
	now := f.router.lockForEvent()
	defer f.router.mu.Unlock()
	slog.Debug("flow ended", "flow", f.id, "server", f.server.name, "outcome", outcome,
		"established", f.isEstablished, "duration_ms", milliseconds(now-f.attemptAt))
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
	f.router.balancer.OnEnded(f.id, outcome, now-f.attemptAt, isAnswered)
	if isAnswered {
		delete(f.router.flows, f.id)
	}
}

// Abandon reports that the client left, or that its time is over, before any decision was picked up.
func (f *Flow) Abandon() {
	f.router.lockForEvent()
	defer f.router.mu.Unlock()
	f.router.balancer.OnClientLeft(f.id)
	select {
	case decision := <-f.decisions:
		if decision.Verdict == Connect { // decided just now: the attempt will not be made
			f.router.balancer.OnEnded(f.id, decide.NeverSent, 0, true)
		}
	default:
	}
	delete(f.router.flows, f.id)
}

// OnClientLeft reports the same during an attempt, whose end is still to be reported.
func (f *Flow) OnClientLeft() {
	f.router.lockForEvent()
	defer f.router.mu.Unlock()
	f.isAnswered = true
	f.router.balancer.OnClientLeft(f.id)
}

// OnMigrate sets what asks the client to reconnect elsewhere. It is called at once, if that was requested already.
func (f *Flow) OnMigrate(migrate func()) {
	f.router.mu.Lock()
	f.onMigrate = migrate
	isMigrating := f.isMigrating
	f.router.mu.Unlock()
	if isMigrating {
		migrate()
	}
}

// Server names the server of the connection, and reports whether its client was asked to reconnect.
func (f *Flow) Server() (name string, isMigrating bool) {
	f.router.mu.Lock()
	defer f.router.mu.Unlock()
	return f.server.name, f.isMigrating
}

// RequestMigration has the client asked to reconnect, for reasons other than the decisions'.
func (f *Flow) RequestMigration() {
	f.router.mu.Lock()
	defer f.router.mu.Unlock()
	f.requestMigration()
}

// requestMigration asks the client to reconnect, once; the mutex is held.
func (f *Flow) requestMigration() {
	if f.isMigrating {
		return
	}
	f.isMigrating = true
	if f.onMigrate != nil {
		f.onMigrate()
	}
}
