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

// upgradeClients runs clients during upgrades. Any failure that a client sees is a test error.
type upgradeClients struct {
	t       *testing.T
	address string
	stopped atomic.Bool  // tells the clients to stop
	opened  atomic.Int64 // short-lived flows
	lines   atomic.Int64 // echoed
	clients sync.WaitGroup
}

// open opens a flow; in is nil if it is not established.
func (c *upgradeClients) open(id string) (conn net.Conn, in *bufio.Reader) {
	conn, err := tryDial(c.t, c.address)
	if err != nil {
		c.t.Errorf("%s can't connect: %v", id, err)
		return nil, nil
	}
	_ = conn.SetDeadline(time.Now().Add(time.Minute))
	_, _ = fmt.Fprintf(conn, "OPEN %s 2 c=live,d=800\r\n", id) // an error shows when the reply is read
	in = bufio.NewReader(conn)
	if got, err := in.ReadString('\n'); got != "UP 1\r\n" {
		c.t.Errorf("%s is rejected: %q, %v", id, got, err)
		return conn, nil
	}
	return conn, in
}

// exchangeLines keeps one flow open and sends lines, each in two parts.
func (c *upgradeClients) exchangeLines(number int) {
	conn, in := c.open(fmt.Sprintf("talks-%d", number))
	if conn != nil {
		defer func() { _ = conn.Close() }()
	}
	for n := 0; in != nil && !c.stopped.Load(); n++ {
		line := fmt.Sprintf("M %d %s\r\n", n, strings.Repeat("x", 100*(number%8)))
		_, err := io.WriteString(conn, line[:len(line)/2])
		if number%2 == 0 {
			time.Sleep(time.Duration(number) * 100 * time.Microsecond) // so that an upgrade can happen within a line
		}
		if err == nil {
			_, err = io.WriteString(conn, line[len(line)/2:])
		}
		if got, errRead := in.ReadString('\n'); err != nil || errRead != nil || got != line {
			c.t.Errorf("talks-%d: line %d was echoed as %.40q, %v, %v", number, n, got, err, errRead)
			return
		}
		c.lines.Add(1)
	}
}

// openAndClose opens and closes flows, one after the other.
func (c *upgradeClients) openAndClose() {
	for !c.stopped.Load() {
		if conn, _ := c.open(fmt.Sprintf("comes-%d", c.opened.Add(1))); conn != nil {
			_ = conn.Close()
		}
		time.Sleep(time.Millisecond)
	}
}

// Consecutive upgrades with clients that exchange lines all the time, and others that open and close flows: no flow is
// rejected, and no established flow loses or duplicates data.
func TestConsecutiveUpgrades(t *testing.T) {
	const upgrades, exchangers = 20, 30
	environment := directoryEnvironment(t)
	current := newHarness(t).start(environment)
	c := &upgradeClients{t: t, address: current.listenAddress}
	for i := range exchangers {
		c.clients.Go(func() { c.exchangeLines(i) })
	}
	c.clients.Go(c.openAndClose)
	for i := range upgrades {
		next := current.successor().start(environment)
		current.end()
		next.awaitPredecessorGone()
		forClients := next.daemon.descriptorLimit - next.daemon.reservedDescriptors
		if free := next.daemon.descriptorBudget.Free(); free > forClients || free < 0 {
			t.Errorf("upgrade %d: %d descriptors are free", i, free)
		}
		current = next
	}
	c.stopped.Store(true)
	c.clients.Wait()
	current.end()
	if c.opened.Load() < upgrades || c.lines.Load() < upgrades*exchangers {
		t.Errorf("only %d flows were opened and %d lines were echoed", c.opened.Load(), c.lines.Load())
	}
	t.Logf("%d upgrades, %d flows were opened, %d lines were echoed", upgrades, c.opened.Load(), c.lines.Load())
}
