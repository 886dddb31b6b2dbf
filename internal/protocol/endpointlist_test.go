package protocol

import (
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"yardwinch/decide"
	"yardwinch/internal/routing"
)

// member returns one member of a list, as JSON.
func member(id, phase string) string {
	const format = `{"id":"%s","host_port":"at-%s","locality":"z","cell":1,"phase":"%s","size":1,"up_since_ms":0}`
	return fmt.Sprintf(format, id, id, phase)
}

// object returns one update as discovery sends it.
func object(revision int, complete bool, members ...string) string {
	return fmt.Sprintf(`{"revision":%d,"complete":%v,"members":[%s]}`, revision, complete, strings.Join(members, ","))
}

// Flows are routed by the list, and an invalid update changes nothing.
func TestEndpointList(t *testing.T) {
	first := object(5, true, member("a", "SERVING"))
	longestID := strings.Repeat("x", routing.MaxServerNameLength)
	for _, c := range []struct {
		name         string
		update       string // after the first
		isGood       bool
		wantAddr     string
		wantRevision int64
	}{
		{"none", "", true, "at-a", 5},
		{"a change", object(6, false, member("a", "DRAINING"), member("b", "SERVING")), true, "at-b", 6},
		{"a complete list without the member", object(6, true, member("b", "SERVING")), true, "at-b", 6},
		{"deleted", object(6, false, member("a", "DELETED")), true, "", 6},
		{"not JSON", `{"revision":6,`, false, "at-a", 5},
		{"no list", `{"revision":6,"complete":true}`, false, "at-a", 5},
		{"one bad member", object(6, true, member("b", "SERVING"), `{"id":7}`), false, "at-a", 5},
		{"an unknown phase", object(6, false, member("a", "ASLEEP")), false, "at-a", 5},
		{"no id", object(6, true, member("", "SERVING")), false, "at-a", 5},
		{"an id too long", object(6, true, member("b", "SERVING"), member(longestID+"x", "SERVING")), false, "at-a", 5},
		{"the longest id", object(6, true, member(longestID, "DRAINING"), member("b", "SERVING")), true, "at-b", 6},
		{"not an object", `[1,2]`, false, "at-a", 5},
	} {
		t.Run(c.name, func(t *testing.T) {
			r := startBalancer(t, decide.Idempotent, 0).router
			d := NewDiscovery(r, "", 1, false)
			if err := d.LoadCached([]byte(first)); err != nil {
				t.Fatal(err)
			}
			if c.update != "" {
				if err := d.applyText(t.Context(), []byte(c.update), routing.DeltaUpdate); (err == nil) != c.isGood {
					t.Errorf("applied with error %v", err)
				}
			}
			f, err := r.OpenFlow(routing.FlowRequest{Service: "live", Timeout: sec})
			if err != nil {
				t.Fatal(err)
			}
			got, err := f.AwaitDecision(t.Context())
			if err != nil || got.Addr != c.wantAddr || d.revision.Load() != c.wantRevision {
				t.Errorf("flow goes to %q at revision %d, %v; want %q at %d", got.Addr, d.revision.Load(), err, c.wantAddr, c.wantRevision)
			}
		})
	}
}

// A list longer than maxListBytes fails with an error that contains the bound, and the current list is kept.
func TestListBeyondBound(t *testing.T) {
	agent := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		_, err := io.WriteString(w, `{"revision":9,"complete":true,"members":[`)
		for err == nil {
			_, err = io.WriteString(w, member("b", "SERVING")+",")
		}
	}))
	defer agent.Close()
	r := startBalancer(t, decide.Idempotent, 0).router
	d := NewDiscovery(r, "", 1, false)
	if err := d.LoadCached([]byte(object(5, true, member("a", "SERVING")))); err != nil {
		t.Fatal(err)
	}
	if _, err := d.watch(t.Context(), agent.URL); err == nil || !strings.Contains(err.Error(), fmt.Sprint(maxListBytes)) {
		t.Errorf("error %v, want one that contains the bound of %d bytes", err, maxListBytes)
	}
	if _, known := r.IsDisabled("b"); known || d.revision.Load() != 5 {
		t.Errorf("part of the list took effect: server b is known: %v, want false; revision %d, want 5", known, d.revision.Load())
	}
}

// A list that is indented over many lines is read as one object, wherever it is split between writes. If the response
// ends within an object, that object changes nothing.
func TestIndentedEndpointList(t *testing.T) {
	pretty := func(s string) string {
		return strings.ReplaceAll(strings.ReplaceAll(s, ",", ",\r\n\t"), "[", "[\n\n  ")
	}
	queries := make(chan string, 16)
	var calls atomic.Int32
	agent := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, q *http.Request) {
		queries <- q.URL.RawQuery
		write := func(s string) { writeAndFlush(w, s) }
		last := pretty(object(7, false, member("a", "DRAINING")))
		switch calls.Add(1) {
		case 1:
			write(pretty(object(5, true, member("a", "SERVING"))) + "\n\n" + pretty(object(6, false, member("b", "SERVING")))[:40])
			write(pretty(object(6, false, member("b", "SERVING")))[40:] + "\n" + last[:len(last)-9])
		case 2:
			write("\r\n" + last + "\r\n\r\n")
			<-q.Context().Done()
		}
	}))
	defer agent.Close()
	d := NewDiscovery(startBalancer(t, decide.Idempotent, 0).router, strings.TrimPrefix(agent.URL, "http://"), 1, false)
	defer runDiscovery(d)()
	for _, want := range []string{"stream=1", "stream=1&index=6"} {
		wantReceived(t, queries, want)
	}
	for end := time.Now().Add(hangTimeout); d.revision.Load() != 7; time.Sleep(ms) {
		if time.Now().After(end) {
			t.Fatalf("revision %d, want 7", d.revision.Load())
		}
	}
}
