package simulation

import (
	"time"
)

// Visit is one client as a source of load tells it: when it comes, how long it wants its connection, and whose it is.
type Visit struct {
	At       time.Duration
	Life     time.Duration
	Service  ServiceID
	Customer CustomerID
	Group    GroupID
	Hall     HallID
	Load     float64 // usual, work a second
	Beyond   bool    // comes on top of its customer's share
	Standing bool    // stands already when the day begins
}

// Source tells visits in the order of their coming. It must not depend on what balancers do: arrivals never wait for
// answers, or a balancer that stops would lower its own load.
type Source interface {
	Next() (Visit, bool)
}

// StartLoad begins to draw visits from a source.
func (w *World) StartLoad(s Source) {
	w.source = s
	w.nextVisit()
}

func (w *World) nextVisit() {
	v, ok := w.source.Next()
	if !ok || v.At >= w.Books.Length {
		return
	}
	w.Agenda.At(v.At, Arrive, func() {
		w.come(v)
		w.nextVisit()
	})
}

func (w *World) come(v Visit) {
	c := &Client{ID: ClientID(w.Totals.Clients), Visit: v, w: w, load: v.Load, until: v.At + v.Life, place: len(w.clients)}
	w.Totals.Clients++
	w.clients = append(w.clients, c)
	c.chance = Chance(w.Seed, "client", int(c.ID))
	s := c.service()
	c.obeys = c.chance.Float64() < s.Obeys
	w.Books.Wanted(v.Service, v.Customer, v.Beyond, v.Hall, v.At, c.until, s.Value)
	w.Agenda.At(c.until, Arrive, c.leave)
	c.swing()
	if v.Standing {
		w.stand(c)
		return
	}
	c.ask()
}

// swing lets a client's load change while it lasts.
func (c *Client) swing() {
	s := c.service()
	if s.ChangeEvery <= 0 || s.Swing <= 0 {
		return
	}
	c.w.Agenda.After(time.Duration(c.chance.ExpFloat64()*float64(s.ChangeEvery)), Arrive, func() {
		if c.state == Done {
			return
		}
		to := c.Visit.Load * Scatter(c.chance, s.Swing)
		if c.at != nil {
			c.at.ask(to - c.load)
		}
		c.load = to
		c.swing()
	})
}
