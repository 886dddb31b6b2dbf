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

// configureFleet sets the numbers of servers and balancers in the configuration of a harness. All servers have the
// address of its one server.
func (h *harness) configureFleet(servers, balancers int) (names []string) {
	var known, peers []string
	for i := range servers {
		names = append(names, fmt.Sprintf("s-%08x", i*2654435761))
		known = append(known, fmt.Sprintf(
			`{"id":%q,"host_port":%q,"locality":"a","flavor":"m2","cell":%d,"phase":"SERVING","size":1.0,"up_since_ms":0}`,
			names[i], h.serverAddress, i%16))
	}
	for i := range balancers {
		peers = append(peers, fmt.Sprintf(`"n%d"`, i))
	}
	list := `{"revision":1,"complete":true,"members":[` + strings.Join(known, ",") + `]}`
	listBegin, listEnd := strings.Index(h.config, `{"revision"`), strings.Index(h.config, `"settings"`)
	h.config = h.config[:listBegin] + list + "," + strings.TrimSpace(h.config[listEnd:])
	fleet := fmt.Sprintf(`"peers-total":%d,"peers":[%s],`, balancers, strings.Join(peers, ","))
	h.config = strings.Replace(h.config, `"settings":{`, `"settings":{`+fleet, 1)
	writeConfig(h.t, h.path, h.config)
	return names
}

// maxBytesPerServer is the limit on the heap memory per listed server without any flows. With it, a list twice as long
// as any in production leaves most of the 64 MB free.
const maxBytesPerServer = 1 << 10

// Fleets of up to 12,800 servers, with 1,024 balancers, are loaded completely from the configuration and from discovery,
// and the memory that they take without any flows is bounded.
func TestMemoryPerServer(t *testing.T) {
	for _, servers := range []int{64, 256, 1024, 12_800} {
		t.Run(fmt.Sprint(servers), func(t *testing.T) {
			h := newHarness(t)
			names := h.configureFleet(servers, 1024)
			before := heapBytes()
			d, err := prepare(t.Context(), Source{ConfigPath: h.path, Environment: os.Getenv})
			if err != nil || d.cachedListError != nil {
				t.Fatalf("configuration: %v; cached endpoint list: %v", err, d.cachedListError)
			}
			used := heapBytes() - before
			t.Logf("%d servers: %d KB without flows", servers, used>>10)
			if each := used / int64(servers); each > maxBytesPerServer {
				t.Errorf("%d bytes per server, want at most %d", each, maxBytesPerServer)
			}
			d.values.Each(func(key, _ string) {
				if strings.HasPrefix(key, "known") {
					t.Fatalf("%s is kept in the configuration values although the router has it", key)
				}
			})
			for _, name := range names {
				if _, known := d.router.IsDisabled(name); !known {
					t.Fatalf("%s is not known", name)
				}
			}
			runtime.KeepAlive(d)
			wantListFromDiscovery(t, d, h.config, names)
		})
	}
}

func heapBytes() int64 {
	var stats runtime.MemStats
	runtime.GC()
	runtime.GC()
	runtime.ReadMemStats(&stats)
	return int64(stats.HeapAlloc)
}

// wantListFromDiscovery has discovery send the same list with other names, and checks that the router knows all of its
// servers.
func wantListFromDiscovery(t *testing.T, d *Daemon, config string, names []string) {
	t.Helper()
	list := config[strings.Index(config, `{"revision"`):strings.Index(config, `,"settings"`)]
	list = strings.ReplaceAll(list, `"s-`, `"fresh-`)
	agent := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.WriteString(w, list+"\n")
		w.(http.Flusher).Flush()
		<-r.Context().Done()
	}))
	defer agent.Close()
	d.discovery.SetAddress(strings.TrimPrefix(agent.URL, "http://"))
	ctx, cancel := context.WithTimeout(t.Context(), testTimeout)
	done := make(chan struct{})
	go func() {
		d.discovery.Run(ctx)
		close(done)
	}()
	defer func() {
		cancel()
		<-done
	}()
	for _, name := range names {
		for fresh := strings.Replace(name, "s-", "fresh-", 1); ; time.Sleep(time.Millisecond) {
			if _, known := d.router.IsDisabled(fresh); known {
				break
			}
			if ctx.Err() != nil {
				t.Fatalf("%s did not come from discovery", fresh)
			}
		}
	}
}
