package protocol

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"
)

// Discovery serves 16 requests a second. It rejects those that have waited for 2 s, but spends the same time on them.
// Eighty balancers that start at the same moment must all get the list within 40 s; if they retried four times a
// second, none ever would.
func TestOverloadedDiscoveryAnswersAllEventually(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const balancers, answersPerSecond, maxWait = 80, 16, 2 * sec
		service := &overloadedDiscovery{serviceTime: sec / answersPerSecond, maxWait: maxWait}
		ctx, cancel := context.WithCancel(t.Context())
		var running sync.WaitGroup
		for i := range balancers {
			d := newTestDiscovery(uint64(i), "nowhere", true)
			d.client.Transport = service
			running.Go(func() { d.Run(ctx) })
			running.Go(func() { tick(ctx, d.router) }) // the router's timers for the list must not cause further requests
		}
		time.Sleep(40 * sec)
		cancel()
		running.Wait()
		if service.answered != balancers { // a balancer that has the list sends no more requests
			t.Errorf("%d of %d balancers got the list within 40 s", service.answered, balancers)
		}
	})
}

// overloadedDiscovery serves one request after another, including those that were cancelled.
type overloadedDiscovery struct {
	serviceTime, maxWait time.Duration

	mu       sync.Mutex
	freeAt   time.Time
	answered int
}

func (o *overloadedDiscovery) RoundTrip(q *http.Request) (*http.Response, error) {
	o.mu.Lock()
	wait := max(0, time.Until(o.freeAt))
	o.freeAt = time.Now().Add(wait + o.serviceTime)
	if wait <= o.maxWait {
		o.answered++
	}
	o.mu.Unlock()
	time.Sleep(min(wait, o.maxWait))
	if wait > o.maxWait {
		return &http.Response{StatusCode: http.StatusServiceUnavailable, Status: "503 Service Unavailable", Body: http.NoBody}, nil
	}
	body, w := io.Pipe()
	go func() {
		defer closeQuietly(w)
		for line := object(1, true, member("a", "SERVING")) + "\n"; q.Context().Err() == nil; line = "\n" {
			_, _ = io.WriteString(w, line) // fails once the context ended and the reader closed the pipe
			select {
			case <-q.Context().Done():
			case <-time.After(heartbeatInterval):
			}
		}
	}()
	return &http.Response{StatusCode: http.StatusOK, Body: body}, nil
}

// All balancers call one discovery, because all start at once or because it recovers after 8 s of silence. If it can
// serve all of them in 3.5 s, all get the list in time. If they called it at the same moment, or retried too soon, it
// would reject requests that it could have served. TestOverloadedDiscoveryAnswersAllEventually covers one that is
// slower.
func TestManyBalancersOnOneDiscovery(t *testing.T) {
	recordLogs(t)
	for _, balancers := range []int{80, 300} {
		for _, outage := range []time.Duration{0, 8 * sec} {
			t.Run(fmt.Sprintf("%d, an outage of %v", balancers, outage), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) { callOneDiscovery(t, balancers, outage) })
			})
		}
	}
}

func callOneDiscovery(t *testing.T, balancers int, outage time.Duration) {
	service := &overloadedDiscovery{serviceTime: 3500 * ms / time.Duration(balancers), maxWait: 2 * sec}
	outageEnd := time.Now().Add(outage)
	var answered atomic.Int32
	var stops []func()
	for i := range balancers {
		d := newTestDiscovery(uint64(i), "nowhere", true)
		d.client.Transport = roundTripFunc(func(q *http.Request) (*http.Response, error) {
			if time.Now().Before(outageEnd) {
				<-q.Context().Done()
				return nil, context.Cause(q.Context())
			}
			response, err := service.RoundTrip(q)
			if err == nil && response.StatusCode == http.StatusOK {
				answered.Add(1) // a balancer that has the list sends no more requests
			}
			return response, err
		})
		stops = append(stops, runDiscovery(d))
	}
	time.Sleep(outage + changeTimeout)
	if n := int(answered.Load()); n != balancers {
		t.Errorf("%d of %d balancers got the list within %v", n, balancers, changeTimeout)
	}
	for _, stop := range stops {
		stop()
	}
}

type roundTripFunc func(*http.Request) (*http.Response, error)

func (r roundTripFunc) RoundTrip(q *http.Request) (*http.Response, error) { return r(q) }
