package scale

import (
	"errors"
	"io"
	"log"
	"net"
	"time"

	"github.com/hashicorp/memberlist"
)

// isolatedEngine is memberlist, the real gossip engine, without a network and without periodic work: it learns of
// members only from the exchanges passed to it.
type isolatedEngine struct {
	list    *memberlist.Memberlist
	streams chan net.Conn
}

func newIsolatedEngine() (*isolatedEngine, error) {
	e := &isolatedEngine{streams: make(chan net.Conn)}
	config := memberlist.DefaultLANConfig()
	config.Name = memberName(0)
	config.Transport = isolatedTransport{streams: e.streams, packets: make(chan *memberlist.Packet)}
	config.Logger = log.New(io.Discard, "", 0)
	config.GossipInterval = 0
	config.ProbeInterval = 0
	config.PushPullInterval = 0
	config.EnableCompression = false
	list, err := memberlist.Create(config)
	e.list = list
	return e, err
}

// exchange passes another member's full state to the engine. It returns the engine's answer, with the members that the
// engine knew before, once the engine has applied the state.
func (e *isolatedEngine) exchange(message []byte) ([]byte, error) {
	local, remote := net.Pipe()
	e.streams <- remote
	written := make(chan error, 1)
	go func() {
		_, err := local.Write(message)
		written <- err
	}()
	answer, err := io.ReadAll(local) // the engine answers, applies the state, and then closes its side
	return answer, errors.Join(err, <-written, local.Close())
}

// joinedEngine returns an engine that has learned of all members in one exchange.
func joinedEngine(message []byte) (*isolatedEngine, error) {
	e, err := newIsolatedEngine()
	if err != nil {
		return nil, err
	}
	if _, err := e.exchange(message); err != nil {
		e.close()
		return nil, err
	}
	return e, nil
}

func (e *isolatedEngine) close() {
	_ = e.list.Shutdown() // the transport opens nothing that could fail to close
}

// isolatedTransport implements memberlist's transport without a network.
type isolatedTransport struct {
	streams chan net.Conn
	packets chan *memberlist.Packet
}

var errNoNetwork = errors.New("the isolated engine has no network")

func (t isolatedTransport) FinalAdvertiseAddr(string, int) (net.IP, int, error) {
	return net.IP(memberAddr(0)), memberPort, nil
}
func (t isolatedTransport) WriteTo([]byte, string) (time.Time, error) { return time.Now(), nil }
func (t isolatedTransport) PacketCh() <-chan *memberlist.Packet       { return t.packets }
func (t isolatedTransport) StreamCh() <-chan net.Conn                 { return t.streams }
func (t isolatedTransport) Shutdown() error                           { return nil }
func (t isolatedTransport) DialTimeout(string, time.Duration) (net.Conn, error) {
	return nil, errNoNetwork
}
