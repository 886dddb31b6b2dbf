package freeaddr

import (
	"net"
	"testing"
)

func TestUDP(t *testing.T) {
	address, err := UDP(t.Context(), "127.77.0.1")
	if err != nil || address.Addr().String() != "127.77.0.1" || address.Port() == 0 {
		t.Fatalf("got %v, %v, want a port on 127.77.0.1", address, err)
	}
	conn, err := (&net.ListenConfig{}).ListenPacket(t.Context(), "udp", address.String())
	if err != nil {
		t.Fatalf("the port is not free: %v", err)
	}
	_ = conn.Close()
	if address, err := UDP(t.Context(), "192.0.2.1"); err == nil {
		t.Errorf("got %v, want an error for an IP that is not local", address)
	}
}
