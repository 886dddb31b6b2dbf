package engine

import (
	"net"
	"net/netip"
	"time"

	"github.com/hashicorp/memberlist"
)

// boundTransport dials streams from the address that the member listens on, so that receivers can filter by source
// address. The library's own transport lets the kernel choose the source address.
type boundTransport struct {
	*memberlist.NetTransport
	source netip.Addr
}

func (t boundTransport) DialTimeout(address string, timeout time.Duration) (net.Conn, error) {
	dialer := net.Dialer{Timeout: timeout, LocalAddr: &net.TCPAddr{IP: t.source.AsSlice()}}
	return dialer.Dial("tcp", address) // not wrapped: the library checks the type of the error
}

func (t boundTransport) DialAddressTimeout(address memberlist.Address, timeout time.Duration) (net.Conn, error) {
	return t.DialTimeout(address.Addr, timeout)
}

var _ memberlist.NodeAwareTransport = boundTransport{}
