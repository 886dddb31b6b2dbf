package protocol

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"net"
	"net/netip"
	"time"

	"yardwinch/internal/routing"
)

const (
	longestTell  = 256
	receivePause = 10 * time.Millisecond
)

// Peers carries messages between balancers, one datagram each. A lost one is lost.
type Peers struct {
	router   *routing.Router
	told     func(from int, data []byte)
	conn     *net.UDPConn
	others   []netip.AddrPort // by number, as seen from here; this balancer stands among them
	everyone netip.AddrPort
	self     int
}

// ListenPeers opens the socket, or takes the one that is given. others has an address for each balancer by its number.
func ListenPeers(r *routing.Router, given *net.UDPConn, listen string, others []string, everyone string, self int) (*Peers, error) {
	p := &Peers{router: r, told: r.Told, self: self}
	for i, o := range others {
		a, err := netip.ParseAddrPort(o)
		if err != nil {
			return nil, fmt.Errorf("peers: number %d: %w", i, err)
		}
		p.others = append(p.others, a)
	}
	var err error
	if everyone != "" {
		if p.everyone, err = netip.ParseAddrPort(everyone); err != nil {
			return nil, fmt.Errorf("peers_all: %w", err)
		}
	}
	if p.conn = given; given != nil {
		return p, nil
	}
	at, err := netip.ParseAddrPort(listen)
	if err != nil {
		return nil, fmt.Errorf("peer_listen: %w", err)
	}
	if p.conn, err = net.ListenUDP("udp", net.UDPAddrFromAddrPort(at)); err != nil {
		return nil, fmt.Errorf("peer_listen: %w", err)
	}
	return p, nil
}

// Socket is the one that it uses.
func (p *Peers) Socket() *net.UDPConn { return p.conn }

// Receive hands on what others send, until the socket is closed.
func (p *Peers) Receive() {
	buf := make([]byte, longestTell+1)
	for {
		n, from, err := p.conn.ReadFromUDPAddrPort(buf)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			time.Sleep(receivePause) // a refused datagram comes back as an error of the next call; another may stay
			continue
		}
		if n > longestTell {
			continue
		}
		from = netip.AddrPortFrom(from.Addr().Unmap(), from.Port())
		for i, a := range p.others {
			if i != p.self && a == from {
				p.told(i, buf[:n])
			}
		}
	}
}

// Send sends what the module has to say, until the context ends; then the socket is closed.
func (p *Peers) Send(ctx context.Context) {
	defer p.conn.Close()
	for {
		to, data, err := p.router.NextTell(ctx)
		if err != nil {
			return
		}
		for _, a := range p.to(to) {
			if _, err := p.conn.WriteToUDPAddrPort(data[:min(len(data), longestTell)], a); err != nil {
				slog.Debug("message not sent", "to", a, "error", err)
			}
		}
	}
}

// to is where a message goes; below nought, to all.
func (p *Peers) to(n int) []netip.AddrPort {
	switch {
	case n >= 0 && n < len(p.others) && n != p.self:
		return p.others[n : n+1]
	case n >= 0:
		return nil
	case p.everyone.IsValid():
		return []netip.AddrPort{p.everyone}
	}
	var all []netip.AddrPort
	for i, a := range p.others {
		if i != p.self {
			all = append(all, a)
		}
	}
	return all
}
