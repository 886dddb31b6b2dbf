package transport

import (
	"net"

	"golang.org/x/sys/unix"
)

const (
	tcpFlagsOffset = 13 // of the flags in a segment's header
	tcpSYN         = 0x02
	dropSegment    = 0
	acceptSegment  = 1 << 18 // bytes to accept: more than any segment has
)

// dropNewConnections has the kernel drop the segments that request a new connection from a listener. Connections
// that are being established, or wait in the queue, are not touched: with nothing new behind them the queue can be
// emptied, and the listener closed without a reset. A client whose segment was dropped sends it again a second
// later, and finds the listener closed. Where the kernel has no such filter everything is as without it.
func dropNewConnections(l *net.TCPListener) {
	raw, err := l.SyscallConn()
	if err != nil {
		return // it is closed
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
		// No filter, as said above.
		_ = unix.SetsockoptSockFprog(int(fd), unix.SOL_SOCKET, unix.SO_ATTACH_FILTER, program)
	})
}
