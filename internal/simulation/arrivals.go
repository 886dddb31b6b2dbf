package simulation

import "time"

// Arrival is one client as a source of load has it.
type Arrival struct {
	At            time.Duration
	Lifetime      time.Duration // for which it wants a connection
	Service       ServiceID
	Customer      CustomerID // below 0: none
	Group         GroupID
	Locality      LocalityID
	Load          float64 // usual, work a second
	IsBeyondShare bool    // it comes on top of its customer's share
	IsEstablished bool    // it has its connection when the day begins
}

// account says whose value its connection is.
func (a Arrival) account() Account {
	return Account{Service: a.Service, Customer: a.Customer, IsBeyondShare: a.IsBeyondShare, Locality: a.Locality}
}

// ArrivalSource has arrivals in the order of their times. It must not depend on what balancers do: arrivals never wait for answers, or a
// balancer that stops would lower its own load.
type ArrivalSource interface {
	Next() (Arrival, bool)
}

// StartLoad begins to draw arrivals from a source.
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
		ID:      id,
		Arrival: a,
		w:       w,
		random:  RandomSource(w.Seed, "client", int(id)),
		until:   a.At + a.Lifetime,
		place:   len(w.clients),
		load:    a.Load,
	}
	w.Totals.Clients++
	w.clients = append(w.clients, c)
	service := c.service()
	c.obeysRetryAfter = c.random.Float64() < service.ObeysRetryAfter
	w.Accounting.AddRequested(a.account(), a.At, c.until, service.Value)
	w.Schedule.At(c.until, Arrive, c.leave)
	c.scheduleLoadChange()
	if a.IsEstablished {
		w.establishInitially(c)
		return
	}
	c.attempt()
}

// scheduleLoadChange has a client's load change from time to time while it lasts.
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
