package simulator

import (
	"fmt"
	"strings"
	"time"

	"yardwinch/decide"
	"yardwinch/internal/config"
)

// instance is one balancer, with the IDs of the service types and customers that its settings name. It implements
// decide.Actions.
type instance struct {
	host      *host
	id        int
	balancer  *decide.Balancer // nil: not started, or stopped
	start     int64            // host.now when it was started, which is time 0 of its balancer
	services  map[string]decide.ServiceID
	customers map[string]decide.CustomerID
	remaining map[decide.TimerID]time.Duration // time that is left of timers that are set in parts
}

// handle handles one message. A panic is reported by a message of the wire format.
func (in *instance) handle() {
	defer func() {
		if cause := recover(); cause != nil {
			in.writeAction(msgFault + "\t" + strings.Map(separatorToSpace, fmt.Sprint(cause)))
		}
	}()
	if in.host.messageType() == msgStart {
		in.handleStart()
		return
	}
	in.balancer.SetTime(time.Duration(in.host.now - in.start))
	in.handleEvent()
}

// separatorToSpace replaces a character that separates lines or fields by a space.
func separatorToSpace(r rune) rune {
	if r == '\n' || r == '\t' || r == '\r' {
		return ' '
	}
	return r
}

// handleStart starts the instance with its settings.
func (in *instance) handleStart() {
	h := in.host
	seed := h.requiredInteger(seedField)
	settings := make(map[string]string, len(h.fields))
	for _, field := range h.fields[min(settingsField, len(h.fields)):] {
		path, value, ok := strings.Cut(field, "=")
		switch {
		case ok:
			settings[path] = value
		case field != absentField:
			h.err = h.errorf("SPAWN: no path=value pair: %q", field)
			return
		}
	}
	in.start = h.now
	in.remaining = map[decide.TimerID]time.Duration{}
	in.balancer = decide.New(uint64(seed), in)
	values := config.FromPairs(settings)
	in.services, in.customers = config.ConfigureBalancer(values, in.balancer)
	if err := values.Err(); err != nil {
		h.fail("SPAWN: %v", err)
	}
}

func (in *instance) service(field int) decide.ServiceID {
	service, ok := in.services[in.host.required(field)]
	if !ok {
		in.host.fail("%s: unknown service type %q", in.host.messageType(), in.host.text(field))
	}
	return service
}

func (in *instance) customer(field int) decide.CustomerID {
	if customer, ok := in.customers[in.host.text(field)]; ok {
		return customer
	}
	return decide.NoCustomer
}
