package transport

import (
	"net"
	"strings"
	"testing"
	"time"
)

// gatedConn accepts output only when the test lets it.
type gatedConn struct {
	net.Conn
	proceed chan struct{} // one value for each write
	written chan int
}

func (c *gatedConn) Write(p []byte) (int, error) {
	<-c.proceed
	c.written <- len(p)
	return len(p), nil
}

func (c *gatedConn) SetWriteDeadline(time.Time) error { return nil }

// Guards against lines of a client that are sent on after it has reset its connection, because they were still unread
// while its server was slow.
func TestUnreadInputOfResetClientIsDropped(t *testing.T) {
	l := listen(t)
	peer := dialPeer(t, l).(*net.TCPConn)
	raw, err := l.Accept()
	if err != nil {
		t.Fatal(err)
	}
	server := &gatedConn{proceed: make(chan struct{}), written: make(chan int, 1000)}
	if _, err := peer.Write([]byte(strings.Repeat("M 1\r\n", 20_000))); err != nil {
		t.Fatal(err)
	}
	client := NewConn(raw)
	client.DropUnreadOnReset()
	relayed := make(chan error, 1)
	go func() { relayed <- Relay(NewConn(server), client, func([]byte) {}) }()
	server.proceed <- struct{}{}
	first := <-server.written
	if err := peer.SetLinger(0); err != nil {
		t.Fatal(err)
	}
	if err := peer.Close(); err != nil {
		t.Fatal(err)
	}
	for end := time.Now().Add(10 * time.Second); !client.IsReset(); time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatal("the reset does not arrive")
		}
	}
	time.Sleep(2 * resetCheckInterval) // the server is slow
	close(server.proceed)
	err = <-relayed
	after := 0
	for len(server.written) > 0 {
		after += <-server.written
	}
	t.Logf("%d bytes before the reset, %d after it, %v", first, after, err)
	if after > maxLineBytes { // one write was under way
		t.Errorf("%d bytes were sent on after the client's reset, want at most %d", after, maxLineBytes)
	}
}
