package main

import (
	"fmt"
	"math"
	"math/rand/v2"
	"os"
	"sync"
	"time"
)

func init() { cases["live"] = caseLive }

// The deployment of the case: cardiff-live, with lists whose sizes are `live`.
const (
	liveBalancers  = 3
	liveServers    = 12
	arrivalsPerS   = 8.3
	cores          = 3.0
	clientsPerCore = 30.0              // 22 to 41 fill one core
	meanLife       = 110 * time.Second // 25 to 200 s
	coldFrom       = 0.16
	warmAfter      = 23 * time.Second
	fallMultiple   = 3.0
	fallWindow     = 1500 * time.Millisecond
	listPeriod     = 250 * time.Millisecond // period_ms = [74, 270]
)

// coreSpeeds are those of the kinds large, medium and small; a third of the machines is of each.
var coreSpeeds = [...]float64{2, 1.2, 0.8}

const restarted = 5 // index of the server that restarts, a small one

func nominalSize(i int) float64 { return cores * coreSpeeds[i%len(coreSpeeds)] }

// fleetList keeps the sizes of a list as the wire page defines `live`: the size, divided by 1 + requests held per core.
type fleetList struct {
	d       *discovery
	servers []*server
}

func (l *fleetList) sizeOf(i int) float64 {
	size := nominalSize(i)
	if os.Getenv("WEIGHTS") == "nominal" {
		return size
	}
	return size / (1 + float64(l.servers[i].openCount())/cores)
}

// publish lists all servers with their present sizes.
func (l *fleetList) publish(changed map[int]time.Time) {
	for i := range l.servers {
		m := l.d.member(i)
		m.Size = math.Round(l.sizeOf(i)*1000) / 1000
		if at, ok := changed[i]; ok {
			m.UpSince = at.UnixMilli()
		}
		if m != l.d.member(i) {
			l.d.setQuietly(m)
		}
	}
	l.d.announce()
}

// visit is one client's stay: it comes again at once after a break, as long as its life lasts.
func (w *world) visit(balancers []*balancer, end time.Time, stop <-chan struct{}, wait *sync.WaitGroup) {
	defer wait.Done()
	for time.Now().Before(end) {
		c := w.open(balancers[rand.IntN(len(balancers))].listen, "live-config", 1800*time.Millisecond, "")
		c.await(2 * time.Second)
		if c.isUp() {
			go c.say(2 * time.Second)
			select {
			case <-c.ended:
			case <-stop:
			case <-time.After(time.Until(end)):
			}
		}
		c.leave()
		select {
		case <-stop:
			return
		case <-time.After(time.Duration(68+rand.IntN(612)) * time.Millisecond):
		}
	}
}

func life() time.Duration {
	return time.Duration(rand.ExpFloat64() * float64(meanLife))
}

// caseLive restarts one server of ten under the usual load and counts what it is sent while it is cold.
func caseLive(w *world) {
	var names []string
	for i := range liveServers {
		names = append(names, fmt.Sprintf("s%d", i+1))
	}
	servers, members := w.newFleet(names...)
	for i := range members {
		members[i].Size = nominalSize(i)
	}
	var balancers []*balancer
	list := &fleetList{servers: servers}
	list.d = w.newDiscovery(members)
	for i := range liveBalancers {
		s := settings(cardiff, map[string]any{"weights": "live", "peers-total": liveBalancers, "ordinal": i})
		s["family-info"].(map[string]any)["groups"] = false
		balancers = append(balancers, w.newBalancer(fmt.Sprintf("n%d", i+1), list.d.addr(), s))
	}
	for _, b := range balancers {
		b.start().awaitReady(10 * time.Second)
	}
	stop := make(chan struct{})
	var wait sync.WaitGroup
	arrive := func() {
		wait.Add(1)
		go w.visit(balancers, time.Now().Add(life()), stop, &wait)
	}
	go func() {
		for {
			select {
			case <-stop:
				return
			case <-time.After(listPeriod):
				list.publish(nil)
			}
		}
	}()
	standing := int(arrivalsPerS * meanLife.Seconds())
	for range standing { // the connections that are open at the start, within 30 s
		arrive()
		time.Sleep(30 * time.Second / time.Duration(standing))
	}
	end := time.Now().Add(12 * time.Second)
	restartAt := time.Now().Add(4 * time.Second)
	var started time.Time
	for time.Now().Before(end) {
		arrive()
		time.Sleep(time.Duration(rand.ExpFloat64() / arrivalsPerS * float64(time.Second)))
		if started.IsZero() && time.Now().After(restartAt) {
			started = time.Now()
			if w.trouble {
				w.note("server %s restarts with %d connections", servers[restarted].name, servers[restarted].openCount())
				servers[restarted].cutAll()
				list.publish(map[int]time.Time{restarted: started})
			}
		}
	}
	close(stop)
	wait.Wait()
	if w.trouble {
		w.checkFall(servers[restarted], started)
	}
}

// checkFall reports a breach if a server that started cold got more within the window than it bears: N + 3 x root of N +
// 3 for an N under 30, N + 2 x root of N + 2 above, N being what the settings allow at that time.
func (w *world) checkFall(s *server, started time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	capacity := nominalSize(restarted) * clientsPerCore / meanLife.Seconds() // new connections a second whose load fills all cores
	for i, from := range s.openedAt {
		if from.Before(started) {
			continue
		}
		sent := 0
		var last time.Time
		for _, at := range s.openedAt[i:] {
			if at.Sub(from) < fallWindow {
				sent++
				last = at
			}
		}
		share := min(1, coldFrom+(1-coldFrom)*last.Sub(started).Seconds()/warmAfter.Seconds())
		n := fallMultiple * share * capacity * fallWindow.Seconds()
		bound := n + 2*math.Sqrt(n) + 2
		if n < 30 {
			bound = n + 3*math.Sqrt(n) + 3
		}
		w.note("from %.3f s after its start server %s got %d in %v, it falls above %.1f", from.Sub(started).Seconds(), s.name, sent, fallWindow, bound)
		if float64(sent) > bound {
			w.breach("server %s, %.3f s after its start, got %d connections in %v; it falls above %.1f", s.name,
				from.Sub(started).Seconds(), sent, fallWindow, bound)
			return // the first fall is what the rule counts
		}
	}
}
