package transport

import (
	"net"

	"golang.org/x/sys/unix"
)

const (
	tcpFlagsOffset = 13 // of the flags in the TCP header
	tcpSYN         = 0x02
	dropSegment    = 0
	acceptSegment  = 1 << 18 // bytes to accept: more than any segment has
)

// acceptNewConnections ends what dropNewConnections began, in this process or in another one that shares the socket: the
// filter belongs to the socket, and stays when a process closes its descriptor.
func acceptNewConnections(l *net.TCPListener) {
	raw, err := l.SyscallConn()
	if err != nil {
		return // the listener is closed
	}
	// Control fails on a closed listener only.
	_ = raw.Control(func(fd uintptr) {
		_ = unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_DETACH_FILTER, 0) // fails if there is no filter
	})
}

// dropNewConnections makes the kernel drop SYN segments to a listener. Connections that are being established or wait
// in the queue are not affected: as no new ones follow, the queue can be emptied and the listener closed without
// resetting a connection. A client whose SYN was dropped sends it again after a second, and finds the listener closed.
// A kernel without socket filters keeps accepting new connections.
func dropNewConnections(l *net.TCPListener) {
	raw, err := l.SyscallConn()
	if err != nil {
		return // the listener is closed
	}
	filter := []unix.SockFilter{
		{Code: unix.BPF_LD | unix.BPF_B | unix.BPF_ABS, K: tcpFlagsOffset},
		{Code: unix.BPF_JMP | unix.BPF_JSET | unix.BPF_K, K: tcpSYN, Jt: 0, Jf: 1},
		{Code: unix.BPF_RET | unix.BPF_K, K: dropSegment},
		{Code: unix.BPF_RET | unix.BPF_K, K: acceptSegment},
	}
	program := &unix.SockFprog{Len: uint16(len(filter)), Filter: &filter[0]}
	// Control fails on a closed listener only.
	_ = raw.Control(func(fd uintptr) {
		// An error leaves the listener without the filter.
		_ = unix.SetsockoptSockFprog(int(fd), unix.SOL_SOCKET, unix.SO_ATTACH_FILTER, program)
	})
}
