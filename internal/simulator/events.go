package simulator

import (
	"time"

	"yardwinch/decide"
	"yardwinch/internal/config"
)

// handleEvent decodes one event and passes it to the balancer, unless it is malformed.
func (in *instance) handleEvent() {
	switch in.host.messageType() {
	case msgStop:
		in.balancer = nil
	case msgUpdate:
		in.handleUpdate()
	case msgFlow, msgAdopt:
		in.handleFlow()
	case msgEstablished:
		in.handleEstablished()
	case msgSample:
		in.handleSample()
	case msgEnded:
		in.handleEnded()
	case msgClientLeft:
		if id := in.host.flow(); in.host.err == nil {
			in.balancer.OnClientLeft(id)
		}
	case msgTimer:
		in.handleTimer()
	case msgHealthResult:
		in.handleHealthResult()
	case msgGossip:
	default:
		in.host.err = in.host.errorf("unknown message %q", in.host.messageType())
	}
}

func (in *instance) handleFlow() {
	h := in.host
	request := decide.FlowRequest{
		ID:       h.flow(),
		Service:  in.service(arrivalServiceField),
		Customer: in.customer(arrivalCustomerField),
		Key:      decide.FlowKey(h.text(arrivalKeyField)),
		Group:    decide.GroupKey(h.text(arrivalGroupField)),
	}
	timeout := time.Duration(h.integer(arrivalTimeoutField))
	flags := int(h.integer(arrivalFlagsField))
	if h.messageType() == msgAdopt {
		server := h.server(arrivalServerField)
		if h.err == nil {
			in.balancer.AdoptFlow(request, server)
		}
		return
	}
	request.Timeout = timeout
	request.Flags = flags
	h.required(arrivalTimeoutField)
	if h.err == nil {
		in.balancer.OnFlow(request)
	}
}

func (in *instance) handleEstablished() {
	h := in.host
	id := h.flow()
	took := time.Duration(h.integer(establishedTookField))
	h.requiredInteger(attemptField) // must be an integer, and is not used
	if h.err == nil {
		in.balancer.OnEstablished(id, took)
	}
}

func (in *instance) handleSample() {
	h := in.host
	id := h.flow()
	kind := h.requiredInteger(sampleKindField)
	amount := h.float(sampleAmountField)
	h.required(sampleAmountField)
	if h.err != nil {
		return
	}
	switch kind {
	case loadSample:
		in.balancer.OnFlowLoad(id)
	case latencySample:
		in.balancer.OnLatencySample(id, time.Duration(amount*float64(time.Millisecond)))
	}
}

func (in *instance) handleEnded() {
	h := in.host
	id := h.flow()
	server := h.server(endedServerField)
	outcome := oneOf(&h.decoder, outcomes, endedOutcomeField)
	took := time.Duration(h.integer(endedTookField))
	isAnswered := h.integer(endedAnsweredField) != 0
	h.requiredInteger(attemptField) // must be an integer, and is not used
	if h.err != nil {
		return
	}
	in.reportLoad(server, h.text(endedReportField))
	in.balancer.OnEnded(id, outcome, took, isAnswered)
}

func (in *instance) handleTimer() {
	timer := decide.TimerID(in.host.requiredInteger(timerField))
	if remaining := in.remaining[timer]; remaining > 0 {
		delete(in.remaining, timer)
		in.SetTimer(timer, remaining)
	} else if in.host.err == nil {
		in.balancer.OnTimer(timer)
	}
}

func (in *instance) handleHealthResult() {
	h := in.host
	server := h.server(checkServerField)
	outcome := oneOf(&h.decoder, outcomes, checkOutcomeField)
	if h.err != nil {
		return
	}
	in.reportLoad(server, h.text(checkReportField))
	in.balancer.OnHealthCheck(server, outcome)
}

// reportLoad passes the load report of a server to the balancer, if there is one.
func (in *instance) reportLoad(server decide.ServerID, report string) {
	if load, ok := config.ParseLoadReport(report); ok {
		in.balancer.OnLoadReport(server, load)
	}
}
