package netfault

import (
	"net"
	"net/netip"
	"testing"
	"time"
)

// testMember is a member that advertises an address of the proxy.
type testMember struct {
	t          *testing.T
	conn       *net.UDPConn
	advertised netip.AddrPort
}

func newTestMember(t *testing.T, p *Proxy, name Endpoint, ip, advertisedIP string) *testMember {
	t.Helper()
	conn, err := net.ListenUDP("udp", &net.UDPAddr{IP: net.ParseIP(ip)})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = conn.Close() })
	advertised, err := p.Add(name, netip.MustParseAddr(advertisedIP), netip.MustParseAddrPort(conn.LocalAddr().String()))
	if err != nil {
		t.Fatal(err)
	}
	return &testMember{t, conn, advertised}
}

func (m *testMember) send(to *testMember, text string) {
	m.t.Helper()
	if _, err := m.conn.WriteToUDPAddrPort([]byte(text), to.advertised); err != nil {
		m.t.Fatal(err)
	}
}

func (m *testMember) receive(timeout time.Duration) (text string, from netip.AddrPort, err error) {
	buffer := make([]byte, 100)
	_ = m.conn.SetReadDeadline(time.Now().Add(timeout))
	size, from, err := m.conn.ReadFromUDPAddrPort(buffer)
	return string(buffer[:size]), from, err
}

// Two members know only each other's advertised addresses. Each receives datagrams from the address that the other advertises, and each
// direction has its own condition.
func TestProxyForwardsDatagramsBySender(t *testing.T) {
	n := New(1)
	p := NewProxy(t.Context(), n)
	defer p.Close()
	a := newTestMember(t, p, "a", "127.81.0.1", "127.82.0.1")
	b := newTestMember(t, p, "b", "127.81.0.2", "127.82.0.2")
	a.send(b, "one")
	if text, from, err := b.receive(testTimeout); text != "one" || from != a.advertised {
		t.Errorf("got %q from %v, %v; want \"one\" from %v", text, from, err, a.advertised)
	}
	n.SetCondition("a", "b", Condition{Cut: true})
	a.send(b, "two")
	if text, _, err := b.receive(100 * time.Millisecond); err == nil {
		t.Errorf("got %q over a cut path, want nothing", text)
	}
	b.send(a, "three")
	if text, _, err := a.receive(testTimeout); text != "three" {
		t.Errorf("the other direction is open, but got %q, %v; want \"three\"", text, err)
	}
	n.SetCondition("a", "b", Condition{Duplicate: 1})
	a.send(b, "four")
	for range 2 {
		if text, _, err := b.receive(testTimeout); text != "four" {
			t.Errorf("got %q, %v; want \"four\" twice", text, err)
		}
	}
	if all, lost := n.SentAndLost("a", "b"); all != 3 || lost != 1 {
		t.Errorf("%d datagrams sent and %d lost, want 3 and 1", all, lost)
	}
}
