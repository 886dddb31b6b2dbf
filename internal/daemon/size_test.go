package daemon

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"os"
	"runtime"
	"strings"
	"testing"
	"time"
)

// configureFleet has a rig's configuration tell of so many servers, all but one of which nobody listens for, and of so many balancers.
func (g *harness) configureFleet(servers, balancers int) (names []string) {
	var known, peers []string
	for i := range servers {
		names = append(names, fmt.Sprintf("s-%08x", i*2654435761))
		known = append(known, fmt.Sprintf(`{"id":%q,"host_port":%q,"locality":"a","flavor":"m2","cell":%d,"phase":"SERVING","size":1.0,"up_since_ms":0}`,
			names[i], g.serverAddress, i%16))
	}
	for i := range balancers {
		peers = append(peers, fmt.Sprintf(`"n%d"`, i))
	}
	list := `{"revision":1,"complete":true,"members":[` + strings.Join(known, ",") + `]}`
	a, b := strings.Index(g.config, `{"revision"`), strings.Index(g.config, `"settings"`)
	g.config = g.config[:a] + list + "," + strings.TrimSpace(g.config[b:])
	g.config = strings.Replace(g.config, `"settings":{`, fmt.Sprintf(`"settings":{"peers-total":%d,"peers":[%s],`, balancers, strings.Join(peers, ",")), 1)
	if err := os.WriteFile(g.path, []byte(g.config), 0o600); err != nil {
		g.t.Fatal(err)
	}
	return names
}

// maxBytesPerServer is what each listed server may cost at rest: a list twice as long as any that runs still leaves control most of its 64 MB.
const maxBytesPerServer = 1 << 10

// A fleet of 12,800 servers and 1,024 balancers is taken whole, from the configuration and from discovery; what it costs at rest is bounded.
func TestMemoryPerServer(t *testing.T) {
	for _, servers := range []int{64, 256, 1024, 12_800} {
		t.Run(fmt.Sprint(servers), func(t *testing.T) {
			g := newHarness(t)
			names := g.configureFleet(servers, 1024)
			heap := func() int64 {
				var m runtime.MemStats
				runtime.GC()
				runtime.GC()
				runtime.ReadMemStats(&m)
				return int64(m.HeapAlloc)
			}
			before := heap()
			p, err := prepare(g.path, "", os.Getenv)
			if err != nil || p.cachedListError != nil {
				t.Fatalf("%v, %v", err, p.cachedListError)
			}
			kept := heap() - before
			t.Logf("%d servers: %d KB at rest", servers, kept>>10)
			if each := kept / int64(servers); each > maxBytesPerServer {
				t.Errorf("%d bytes a server, at most %d", each, maxBytesPerServer)
			}
			p.values.Each(func(key, _ string) {
				if strings.HasPrefix(key, "known") {
					t.Fatalf("%s is kept twice: the router has it", key)
				}
			})
			for _, name := range names {
				if _, known := p.router.IsDisabled(name); !known {
					t.Fatalf("%s is not known", name)
				}
			}
			runtime.KeepAlive(p)
			list := strings.ReplaceAll(g.config[strings.Index(g.config, `{"revision"`):strings.Index(g.config, `,"settings"`)], `"s-`, `"fresh-`)
			agent := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, q *http.Request) {
				_, _ = io.WriteString(w, list+"\n")
				w.(http.Flusher).Flush()
				<-q.Context().Done()
			}))
			defer agent.Close()
			p.discovery.SetAddress(strings.TrimPrefix(agent.URL, "http://"))
			ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second) // a test that hangs is to fail
			done := make(chan struct{})
			go func() { p.discovery.Run(ctx); close(done) }()
			defer func() { cancel(); <-done }()
			for _, name := range names {
				for name = strings.Replace(name, "s-", "fresh-", 1); ; time.Sleep(time.Millisecond) {
					if _, known := p.router.IsDisabled(name); known {
						break
					}
					if ctx.Err() != nil {
						t.Fatalf("%s did not come from discovery", name)
					}
				}
			}
		})
	}
}
