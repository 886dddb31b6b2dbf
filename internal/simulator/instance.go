package simulator

import (
	"fmt"
	"strings"
	"time"

	"yardwinch/decide"
	"yardwinch/internal/config"
)

// instance is one balancer, and what its names stand for.
type instance struct {
	host      *host
	id        int
	balancer  *decide.Balancer // nil: not started, or stopped
	start     int64            // host.now when it was started: 0 of its balancer's clock
	services  map[string]decide.ServiceID
	customers map[string]decide.CustomerID
	remaining map[decide.TimerID]time.Duration // of timers that are set in parts
}

// handle handles one message. A panic of the decisions becomes the wire's own message for it.
func (in *instance) handle() {
	defer func() {
		if cause := recover(); cause != nil {
			in.act(msgFault + "\t" + strings.Map(toPlain, fmt.Sprint(cause)))
		}
	}()
	if in.host.messageType() == msgStart {
		in.startUp()
		return
	}
	in.balancer.SetTime(time.Duration(in.host.now - in.start))
	in.event()
}

// toPlain replaces what separates lines and fields.
func toPlain(r rune) rune {
	if r == '\n' || r == '\t' || r == '\r' {
		return ' '
	}
	return r
}

// startUp starts the instance with its settings.
func (in *instance) startUp() {
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
