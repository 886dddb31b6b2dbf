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
	portAttempts      = 20 // to find a port that is free for datagrams and for streams
	dialTimeout       = time.Second
)

// Proxy forwards what members of a group send to each other, datagrams and streams, though members tell each other their addresses. Each
// process is bound to an address of its own and advertises another one, which is the proxy's: the proxy knows the sender by the address
// that a packet comes from, and the receiver by the address that it came to.
type Proxy struct {
	network *Network
	ctx     context.Context // ends with Close
	cancel  context.CancelFunc
	workers sync.WaitGroup

	mu      sync.Mutex
	members map[Endpoint]*member
	byBound map[netip.Addr]*member
}

type member struct {
	name  Endpoint
	bound netip.AddrPort // of its process
	udp   *net.UDPConn   // of the address that it advertises
	tcp   net.Listener
}

// NewProxy makes a proxy without members. The context bounds its connections to them.
func NewProxy(ctx context.Context, n *Network) *Proxy {
	ctx, cancel := context.WithCancel(ctx)
	return &Proxy{network: n, ctx: ctx, cancel: cancel, members: map[Endpoint]*member{}, byBound: map[netip.Addr]*member{}}
}

// Add opens the address that a member advertises, with one port for datagrams and streams, and returns it. bound is where the member's
// process is: no other member may have that IP address.
func (p *Proxy) Add(name Endpoint, advertised netip.Addr, bound netip.AddrPort) (netip.AddrPort, error) {
	m := &member{name: name, bound: bound}
	if err := m.listen(p.ctx, advertised); err != nil {
		return netip.AddrPort{}, fmt.Errorf("open the advertised address %s of %s: %w", advertised, name, err)
	}
	p.mu.Lock()
	p.members[name], p.byBound[bound.Addr()] = m, m
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
			_ = m.udp.SetReadBuffer(socketBufferBytes) // with the system's default a burst may lose datagrams
			return nil
		}
		_ = m.udp.Close() // the port is taken for streams: another one
	}
	return err
}

// sender is the member whose process is at an address; nil where there is none.
func (p *Proxy) sender(a netip.Addr) *member {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.byBound[a.Unmap()]
}

func (p *Proxy) forwardDatagrams(to *member) {
	buffer := make([]byte, maxDatagramBytes)
	for {
		size, source, err := to.udp.ReadFromUDPAddrPort(buffer)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			continue // an ICMP error of an earlier write to a process that is down
		}
		if from := p.sender(source.Addr()); from != nil {
			p.forwardDatagram(from, to, buffer[:size])
		}
	}
}

func (p *Proxy) forwardDatagram(from, to *member, bytes []byte) {
	fate := p.network.direction(from.name, to.name).datagram(len(bytes), time.Now())
	if fate.copies == 0 {
		return
	}
	message := append([]byte(nil), bytes...)
	if fate.corrupted {
		corrupt(message)
	}
	send := func() {
		for range fate.copies {
			from.send(to, message)
		}
	}
	if remaining := time.Until(fate.due); remaining > 0 {
		time.AfterFunc(remaining, send)
	} else {
		send()
	}
}

// send sends from the address that the sender advertises, which is where answers are to go. A datagram that can't be sent is lost, as
// datagrams may be.
func (m *member) send(to *member, message []byte) {
	_, _ = m.udp.WriteToUDPAddrPort(message, to.bound)
}

func (p *Proxy) forwardStream(to *member, near net.Conn) {
	source, err := netip.ParseAddrPort(near.RemoteAddr().String())
	from := p.sender(source.Addr())
	if err != nil || from == nil {
		_ = near.Close() // of no member
		return
	}
	far, err := (&net.Dialer{Timeout: dialTimeout}).DialContext(p.ctx, "tcp", to.bound.String())
	if err != nil { // the process is down: its peer sees a reset
		resetOnClose(near)
		_ = near.Close()
		return
	}
	p.network.Forward(from.name, to.name, near, far, Tap{})
}

// Inject sends a datagram in the name of a member. Where either is no member, nothing is sent.
func (p *Proxy) Inject(as, to Endpoint, message []byte) {
	p.mu.Lock()
	from, receiver := p.members[as], p.members[to]
	p.mu.Unlock()
	if from != nil && receiver != nil {
		from.send(receiver, message)
	}
}

// Close closes the advertised addresses. Streams go on until Network.Close.
func (p *Proxy) Close() {
	p.cancel()
	p.mu.Lock()
	for _, m := range p.members {
		_ = m.udp.Close() // its reader sees the end
		_ = m.tcp.Close()
	}
	p.mu.Unlock()
	p.workers.Wait()
}
