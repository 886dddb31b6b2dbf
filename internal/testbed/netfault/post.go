package netfault

import (
	"context"
	"errors"
	"net"
	"net/netip"
	"sync"
	"time"
)

// Post leads what processes say to each other, datagrams and streams, though members tell each other addresses. Each process
// is bound to an address of its own (Bound) and tells the others another one (Told), which is the yard's: whoever speaks to a member
// speaks to the yard, which knows the speaker by the address it comes from and the hearer by the address it came to.
type Post struct {
	net   *Net
	mu    sync.Mutex
	ends  map[Name]*end
	from  map[netip.Addr]Name // by bound address
	parts sync.WaitGroup
}

type end struct {
	name  Name
	bound netip.AddrPort
	udp   *net.UDPConn
	tcp   net.Listener
}

// NewPost makes one without ends.
func NewPost(n *Net) *Post {
	return &Post{net: n, ends: map[Name]*end{}, from: map[netip.Addr]Name{}}
}

// Add opens what a member tells others. bound is where its process is, to be known there by that address alone; the same port serves
// datagrams and streams.
func (p *Post) Add(name Name, told netip.Addr, bound netip.AddrPort) (netip.AddrPort, error) {
	e := &end{name: name, bound: bound}
	var err error
	for range 20 { // a port may be free for one of the two only
		if e.udp, err = net.ListenUDP("udp", net.UDPAddrFromAddrPort(netip.AddrPortFrom(told, 0))); err != nil {
			return netip.AddrPort{}, err
		}
		if e.tcp, err = (&net.ListenConfig{}).Listen(context.Background(), "tcp", e.udp.LocalAddr().String()); err == nil {
			break
		}
		_ = e.udp.Close()
	}
	if err != nil {
		return netip.AddrPort{}, err
	}
	_ = e.udp.SetReadBuffer(1 << 20)
	p.mu.Lock()
	p.ends[name], p.from[bound.Addr()] = e, name
	p.mu.Unlock()
	p.parts.Go(func() { p.datagrams(e) })
	p.parts.Go(func() {
		Accept(e.tcp, func(c net.Conn) { p.lead(e, c) })
	})
	return netip.MustParseAddrPort(e.udp.LocalAddr().String()), nil
}

func (p *Post) speaker(a netip.Addr) (*end, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	name, ok := p.from[a.Unmap()]
	return p.ends[name], ok
}

func (p *Post) datagrams(to *end) {
	b := make([]byte, 64<<10)
	for {
		k, from, err := to.udp.ReadFromUDPAddrPort(b)
		if err != nil {
			if errors.Is(err, net.ErrClosed) {
				return
			}
			continue
		}
		e, known := p.speaker(from.Addr())
		if !known {
			continue // a stranger on loopback
		}
		due, copies, spoilt := p.net.side(e.name, to.name).pass(k, false, time.Now())
		if copies == 0 {
			continue
		}
		m := append([]byte(nil), b[:k]...)
		if spoilt {
			for i := range m {
				m[i] ^= 0x5a
			}
		}
		// It comes from the speaker's told address, which is where answers are to go.
		send := func() {
			for range copies {
				_, _ = e.udp.WriteToUDPAddrPort(m, to.bound) // lost, as datagrams may be
			}
		}
		if wait := time.Until(due); wait > 0 {
			time.AfterFunc(wait, send)
		} else {
			send()
		}
	}
}

func (p *Post) lead(to *end, near net.Conn) {
	a, err := netip.ParseAddrPort(near.RemoteAddr().String())
	e, known := p.speaker(a.Addr())
	if err != nil || !known {
		_ = near.Close()
		return
	}
	far, err := (&net.Dialer{Timeout: time.Second}).DialContext(context.Background(), "tcp", to.bound.String())
	if err != nil { // nobody is there
		setLinger(near)
		_ = near.Close()
		return
	}
	p.net.Lead(e.name, to.name, near, far, Tap{})
}

// Inject sends a datagram as if a member had; with no member of that name nothing is sent.
func (p *Post) Inject(as, to Name, m []byte) {
	p.mu.Lock()
	from, dest := p.ends[as], p.ends[to]
	p.mu.Unlock()
	if from != nil && dest != nil {
		_, _ = from.udp.WriteToUDPAddrPort(m, dest.bound)
	}
}

// Close ends all.
func (p *Post) Close() {
	p.mu.Lock()
	for _, e := range p.ends {
		_ = e.udp.Close()
		_ = e.tcp.Close()
	}
	p.mu.Unlock()
	p.parts.Wait()
}
