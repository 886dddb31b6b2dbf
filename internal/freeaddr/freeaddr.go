// Package freeaddr finds free loopback addresses for processes whose listen address is configured before they start.
package freeaddr

import (
	"context"
	"fmt"
	"net"
	"net/netip"
)

// UDP returns a UDP address of a loopback IP with a port that was free a moment ago. Another process may bind the port before the caller
// does; callers for which that matters retry.
func UDP(ctx context.Context, ip string) (netip.AddrPort, error) {
	conn, err := (&net.ListenConfig{}).ListenPacket(ctx, "udp", net.JoinHostPort(ip, "0"))
	if err != nil {
		return netip.AddrPort{}, fmt.Errorf("find a free UDP port on %s: %w", ip, err)
	}
	address := conn.LocalAddr().(*net.UDPAddr).AddrPort()
	if err := conn.Close(); err != nil {
		return netip.AddrPort{}, fmt.Errorf("release the UDP port %s: %w", address, err)
	}
	return address, nil
}
