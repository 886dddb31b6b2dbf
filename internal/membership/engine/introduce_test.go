package engine

import (
	"context"
	"io"
	"net"
	"net/netip"
	"sync"
	"testing"
	"time"

	"yardwinch/internal/membership"
)

// forwardStreams returns an address from which streams are forwarded to another one until the test ends. Datagrams to it
// are lost.
func forwardStreams(t *testing.T, to netip.AddrPort) netip.AddrPort {
	t.Helper()
	var config net.ListenConfig
	listener, err := config.Listen(t.Context(), "tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	var forwarding sync.WaitGroup
	forwarding.Go(func() {
		for {
			near, err := listener.Accept()
			if err != nil {
				return
			}
			forwarding.Go(func() { forwardStream(t.Context(), near, to) })
		}
	})
	t.Cleanup(func() {
		_ = listener.Close()
		forwarding.Wait()
	})
	return netip.MustParseAddrPort(listener.Addr().String())
}

// forwardStream forwards in both directions until either end closes.
func forwardStream(ctx context.Context, near net.Conn, to netip.AddrPort) {
	defer func() { _ = near.Close() }()
	far, err := (&net.Dialer{}).DialContext(ctx, "tcp", to.String())
	if err != nil {
		return // the member has stopped
	}
	defer func() { _ = far.Close() }()
	var back sync.WaitGroup
	back.Go(func() {
		_, _ = io.Copy(near, far)
		_ = near.Close()
	})
	_, _ = io.Copy(far, near)
	_ = far.Close()
	back.Wait()
}

// A member that joins through one of the others soon becomes known to all, even if every datagram is lost: it exchanges
// full states with each of them over streams.
func TestJoinedMemberSyncsWithAllMembers(t *testing.T) {
	instance := func(name, ip string) membership.Instance {
		bind := freeAddress(t, ip)
		return membership.Instance{Name: membership.Name(name), Label: "one", Bind: bind, Advertise: forwardStreams(t, bind)}
	}
	first, second, third := instance("a", "127.83.1.1"), instance("b", "127.83.1.2"), instance("c", "127.83.1.3")
	second.Seeds = []string{first.Advertise.String()}
	third.Seeds = []string{first.Advertise.String()}
	a, _, _ := startInstance(t, first)
	eventually(t, 5*time.Second, "a has started", func() bool { return stateOf(a, "a") == membership.Alive })
	b, _, _ := startInstance(t, second)
	eventually(t, 5*time.Second, "a and b see each other", func() bool {
		return stateOf(a, "b") == membership.Alive && stateOf(b, "a") == membership.Alive
	})
	startInstance(t, third)
	eventually(t, 4*time.Second, "b sees c", func() bool { return stateOf(b, "c") == membership.Alive })
}
