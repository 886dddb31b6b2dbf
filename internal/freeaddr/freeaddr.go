// Package freeaddr finds free addresses of the loopback network for processes that are told where to listen before they start.
package freeaddr

import (
	"context"
	"fmt"
	"net"
	"net/netip"
)

// UDP returns a UDP address of a loopback IP with a port that was free a moment ago. Another process may take the port before the caller
// does: where that matters, try again.
func UDP(ctx context.Context, ip string) (netip.AddrPort, error) {
	conn, err := (&net.ListenConfig{}).ListenPacket(ctx, "udp", net.JoinHostPort(ip, "0"))
	if err != nil {
		return netip.AddrPort{}, fmt.Errorf("find a free UDP port of %s: %w", ip, err)
	}
	address := conn.LocalAddr().(*net.UDPAddr).AddrPort()
	if err := conn.Close(); err != nil {
		return netip.AddrPort{}, fmt.Errorf("free the UDP port of %s: %w", address, err)
	}
	return address, nil
}
