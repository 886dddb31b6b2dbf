package daemon

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"
)

// Upgrades in a row, with clients that stand and talk and others that come all the time: none is turned back unheard,
// none that stands notices anything.
func TestConsecutiveUpgrades(t *testing.T) {
	const upgrades, talkers = 20, 30
	env := directoryEnvironment(t)
	now := newHarness(t).start(env)
	addr := now.listenAddress
	var wrong []string
	var mu sync.Mutex
	note := func(format string, a ...any) {
		mu.Lock()
		defer mu.Unlock()
		wrong = append(wrong, fmt.Sprintf(format, a...))
	}
	var clients sync.WaitGroup
	var over atomic.Bool
	var came, lines atomic.Int64
	open := func(id string) (net.Conn, *bufio.Reader, bool) {
		c, err := net.Dial("tcp", addr)
		if err != nil {
			note("%s is not let in: %v", id, err)
			return nil, nil, false
		}
		_ = c.SetDeadline(time.Now().Add(60 * time.Second))
		_, _ = fmt.Fprintf(c, "OPEN %s 2 c=live,d=800\r\n", id)
		in := bufio.NewReader(c)
		if got, err := in.ReadString('\n'); got != "UP 1\r\n" {
			note("%s is turned back: %q, %v", id, got, err)
			return c, in, false
		}
		return c, in, true
	}
	for i := range talkers {
		clients.Go(func() {
			c, in, ok := open(fmt.Sprintf("talks-%d", i))
			if c != nil {
				defer c.Close()
			}
			for n := 0; ok && !over.Load(); n++ {
				line := fmt.Sprintf("M %d %s\r\n", n, strings.Repeat("x", 100*(i%8)))
				_, err := io.WriteString(c, line[:len(line)/2])
				if i%2 == 0 {
					time.Sleep(time.Duration(i) * 100 * time.Microsecond) // cut anywhere
				}
				if err == nil {
					_, err = io.WriteString(c, line[len(line)/2:])
				}
				if got, bad := in.ReadString('\n'); err != nil || bad != nil || got != line {
					note("talks-%d: line %d came back as %.40q, %v, %v", i, n, got, err, bad)
					return
				}
				lines.Add(1)
			}
		})
	}
	clients.Go(func() {
		for !over.Load() {
			c, _, _ := open(fmt.Sprintf("comes-%d", came.Add(1)))
			if c != nil {
				_ = c.Close()
			}
			time.Sleep(time.Millisecond)
		}
	})
	for i := range upgrades {
		fresh := now.successor().start(env)
		now.end()
		for fresh.hasPredecessor() {
			time.Sleep(time.Millisecond)
		}
		if n := fresh.daemon.descriptorBudget.Free(); n > fresh.daemon.descriptorLimit-fresh.daemon.reservedDescriptors || n < 0 {
			t.Errorf("upgrade %d: %d descriptors are free", i, n)
		}
		now = fresh
	}
	over.Store(true)
	clients.Wait()
	now.end()
	for _, w := range wrong {
		t.Error(w)
	}
	if came.Load() < upgrades || lines.Load() < upgrades*talkers {
		t.Errorf("only %d came and %d lines went", came.Load(), lines.Load())
	}
	t.Logf("%d upgrades, %d clients came, %d lines came back", upgrades, came.Load(), lines.Load())
}
