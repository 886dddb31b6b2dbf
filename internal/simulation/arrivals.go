package simulation

import "time"

// Arrival describes one client that an arrival source produces.
type Arrival struct {
	At            time.Duration
	Lifetime      time.Duration // how long it wants a connection
	Service       ServiceID
	Customer      CustomerID // negative: none
	Group         GroupID
	Locality      LocalityID
	Load          float64 // usual work per second
	IsBeyondShare bool    // its connection is beyond its customer's share
	IsEstablished bool    // its connection is established when the day begins
}

// account identifies what the value of the client's connection is attributed to.
func (a Arrival) account() Account {
	return Account{Service: a.Service, Customer: a.Customer, IsBeyondShare: a.IsBeyondShare, Locality: a.Locality}
}

// ArrivalSource produces arrivals in the order of their times. It must not depend on what balancers do (an open-loop source): if arrivals
// waited for answers, a balancer that stops would lower its own load.
type ArrivalSource interface {
	Next() (Arrival, bool)
}

// StartLoad starts the arrivals of a source.
func (w *World) StartLoad(s ArrivalSource) {
	w.source = s
	w.scheduleNextArrival()
}

func (w *World) scheduleNextArrival() {
	arrival, ok := w.source.Next()
	if !ok || arrival.At >= w.Accounting.Length {
		return
	}
	w.Schedule.At(arrival.At, Arrive, func() {
		w.addClient(arrival)
		w.scheduleNextArrival()
	})
}

func (w *World) addClient(a Arrival) {
	id := ClientID(w.Totals.Clients)
	c := &Client{
		ID:       id,
		Arrival:  a,
		w:        w,
		random:   RandomSource(w.Seed, "client", int(id)),
		leavesAt: a.At + a.Lifetime,
		index:    len(w.clients),
		load:     a.Load,
	}
	w.Totals.Clients++
	w.clients = append(w.clients, c)
	service := c.service()
	c.obeysRetryAfter = c.random.Float64() < service.ObeysRetryAfter
	w.Accounting.AddRequested(a.account(), a.At, c.leavesAt, service.Value)
	w.Schedule.At(c.leavesAt, Arrive, c.leave)
	c.scheduleLoadChange()
	if a.IsEstablished {
		w.establishInitially(c)
		return
	}
	c.attempt()
}

// scheduleLoadChange schedules the next random change of a client's load. Each change schedules the one after it, until the client leaves.
func (c *Client) scheduleLoadChange() {
	service := c.service()
	if service.ChangeEvery <= 0 || service.LoadChangeSpread <= 0 {
		return
	}
	delay := time.Duration(c.random.ExpFloat64() * float64(service.ChangeEvery))
	c.w.Schedule.After(delay, Arrive, func() {
		if c.state == Finished {
			return
		}
		load := c.Arrival.Load * LogNormal(c.random, service.LoadChangeSpread)
		if c.server != nil {
			c.server.addDemand(load - c.load)
		}
		c.load = load
		c.scheduleLoadChange()
	})
}
