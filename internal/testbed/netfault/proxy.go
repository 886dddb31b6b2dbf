package netfault

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/netip"
	"sync"
	"time"
)

const (
	maxDatagramBytes  = 64 << 10
	socketBufferBytes = 1 << 20
	portAttempts      = 20 // attempts to find a port that is free for both UDP and TCP
	dialTimeout       = time.Second
)

// Proxy forwards datagrams and streams between members of a group that learn each other's addresses from the group itself. Each process
// binds its own address and advertises one that belongs to the proxy. The proxy identifies the sender by the source address, and the
// receiver by the advertised address to which the traffic was sent.
type Proxy struct {
	network *Network
	ctx     context.Context // canceled by Close
	cancel  context.CancelFunc
	workers sync.WaitGroup

	mu        sync.Mutex
	members   map[Endpoint]*member
	byBoundIP map[netip.Addr]*member
}

type member struct {
	name  Endpoint
	bound netip.AddrPort // address of the process
	udp   *net.UDPConn   // bound to the advertised address
	tcp   net.Listener
}

// NewProxy returns a proxy without members. Once the context has ended, the proxy dials no more connections to members.
func NewProxy(ctx context.Context, n *Network) *Proxy {
	ctx, cancel := context.WithCancel(ctx)
	return &Proxy{network: n, ctx: ctx, cancel: cancel, members: map[Endpoint]*member{}, byBoundIP: map[netip.Addr]*member{}}
}

// Add listens on the IP that a member advertises, with the same port for datagrams and streams, and returns the address. bound is the
// address of the member's process; no two members may share its IP.
func (p *Proxy) Add(name Endpoint, advertised netip.Addr, bound netip.AddrPort) (netip.AddrPort, error) {
	m := &member{name: name, bound: bound}
	if err := m.listen(p.ctx, advertised); err != nil {
		return netip.AddrPort{}, fmt.Errorf("open the advertised address %s of %s: %w", advertised, name, err)
	}
	p.mu.Lock()
	p.members[name], p.byBoundIP[bound.Addr()] = m, m
	p.mu.Unlock()
	p.workers.Go(func() { p.forwardDatagrams(m) })
	p.workers.Go(func() {
		Serve(m.tcp, func(conn net.Conn) { p.forwardStream(m, conn) })
	})
	return netip.MustParseAddrPort(m.udp.LocalAddr().String()), nil
}

func (m *member) listen(ctx context.Context, ip netip.Addr) (err error) {
	for range portAttempts {
		if m.udp, err = net.ListenUDP("udp", net.UDPAddrFromAddrPort(netip.AddrPortFrom(ip, 0))); err != nil {
			return err
		}
		if m.tcp, err = (&net.ListenConfig{}).Listen(ctx, "tcp", m.udp.LocalAddr().String()); err == nil {
			_ = m.udp.SetReadBuffer(socketBufferBytes) // the system's default may lose datagrams in a burst
			return nil
		}
		_ = m.udp.Close() // the port is not free for TCP: try another one
	}
	return err
}

// sender returns the member whose process has the IP, or nil if there is none.
func (p *Proxy) sender(a netip.Addr) *member {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.byBoundIP[a.Unmap()]
}

func (p *Proxy) forwardDatagrams(to *member) {
	buffer := make([]byte, maxDatagramBytes)
	for {
		size, source, err := to.udp.ReadFromUDPAddrPort(buffer)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			continue // ICMP error for an earlier write to a process that is down
		}
		if from := p.sender(source.Addr()); from != nil {
			p.forwardDatagram(from, to, buffer[:size])
		}
	}
}

func (p *Proxy) forwardDatagram(from, to *member, bytes []byte) {
	result := p.network.direction(from.name, to.name).datagram(len(bytes), time.Now())
	if result.copies == 0 {
		return
	}
	message := append([]byte(nil), bytes...)
	if result.corrupted {
		corrupt(message)
	}
	send := func() {
		for range result.copies {
			from.send(to, message)
		}
	}
	if remaining := time.Until(result.due); remaining > 0 {
		time.AfterFunc(remaining, send)
	} else {
		send()
	}
}

// send sends from the sender's advertised address, so that replies go through the proxy. Errors are ignored: datagrams may be lost.
func (m *member) send(to *member, message []byte) {
	_, _ = m.udp.WriteToUDPAddrPort(message, to.bound)
}

func (p *Proxy) forwardStream(to *member, near net.Conn) {
	source, err := netip.ParseAddrPort(near.RemoteAddr().String())
	from := p.sender(source.Addr())
	if err != nil || from == nil {
		_ = near.Close() // the source is not a member
		return
	}
	far, err := (&net.Dialer{Timeout: dialTimeout}).DialContext(p.ctx, "tcp", to.bound.String())
	if err != nil { // the process is down: the peer sees a reset
		resetOnClose(near)
		_ = near.Close()
		return
	}
	p.network.Forward(from.name, to.name, near, far, Tap{})
}

// Inject sends a datagram that seems to come from a member. Nothing is sent unless both endpoints are members.
func (p *Proxy) Inject(as, to Endpoint, message []byte) {
	p.mu.Lock()
	from, receiver := p.members[as], p.members[to]
	p.mu.Unlock()
	if from != nil && receiver != nil {
		from.send(receiver, message)
	}
}

// Close closes the advertised addresses. Established streams last until Network.Close.
func (p *Proxy) Close() {
	p.cancel()
	p.mu.Lock()
	for _, m := range p.members {
		_ = m.udp.Close() // ends forwardDatagrams
		_ = m.tcp.Close()
	}
	p.mu.Unlock()
	p.workers.Wait()
}
