package simulation

import (
	"time"
)

// Arrival is one client as a source of load tells it: when it comes, how long it wants its connection, and whose it is.
type Arrival struct {
	At            time.Duration
	Life          time.Duration
	Service       ServiceID
	Customer      CustomerID
	Group         GroupID
	Locality      LocalityID
	Load          float64 // usual, work a second
	Beyond        bool    // comes on top of its customer's share
	IsEstablished bool    // stands already when the day begins
}

// ArrivalSource tells visits in the order of their coming. It must not depend on what balancers do: arrivals never wait for
// answers, or a balancer that stops would lower its own load.
type ArrivalSource interface {
	Next() (Arrival, bool)
}

// StartLoad begins to draw visits from a source.
func (w *World) StartLoad(s ArrivalSource) {
	w.source = s
	w.scheduleNextArrival()
}

func (w *World) scheduleNextArrival() {
	v, ok := w.source.Next()
	if !ok || v.At >= w.Accounting.Length {
		return
	}
	w.Schedule.At(v.At, Arrive, func() {
		w.addClient(v)
		w.scheduleNextArrival()
	})
}

func (w *World) addClient(v Arrival) {
	c := &Client{ID: ClientID(w.Totals.Clients), Arrival: v, w: w, load: v.Load, until: v.At + v.Life, place: len(w.clients)}
	w.Totals.Clients++
	w.clients = append(w.clients, c)
	c.random = RandomSource(w.Seed, "client", int(c.ID))
	s := c.service()
	c.obeysRetryAfter = c.random.Float64() < s.ObeysRetryAfter
	w.Accounting.AddRequested(v.Service, v.Customer, v.Beyond, v.Locality, v.At, c.until, s.Value)
	w.Schedule.At(c.until, Arrive, c.leave)
	c.scheduleLoadChange()
	if v.IsEstablished {
		w.establishInitially(c)
		return
	}
	c.attempt()
}

// scheduleLoadChange lets a client's load change while it lasts.
func (c *Client) scheduleLoadChange() {
	s := c.service()
	if s.ChangeEvery <= 0 || s.Swing <= 0 {
		return
	}
	c.w.Schedule.After(time.Duration(c.random.ExpFloat64()*float64(s.ChangeEvery)), Arrive, func() {
		if c.state == Finished {
			return
		}
		to := c.Arrival.Load * LogNormal(c.random, s.Swing)
		if c.server != nil {
			c.server.addDemand(to - c.load)
		}
		c.load = to
		c.scheduleLoadChange()
	})
}
