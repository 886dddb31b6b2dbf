package scale

import (
	"errors"
	"io"
	"log"
	"net"
	"time"

	"github.com/hashicorp/memberlist"
)

// lonelyEngine is the real gossip engine with no network: it hears of members by exchanges that are handed to it, and
// does nothing by itself.
type lonelyEngine struct {
	list    *memberlist.Memberlist
	streams chan net.Conn
}

func newLonelyEngine() (*lonelyEngine, error) {
	e := &lonelyEngine{streams: make(chan net.Conn)}
	config := memberlist.DefaultLANConfig()
	config.Name = memberName(0)
	config.Transport = lonelyTransport{streams: e.streams, packets: make(chan *memberlist.Packet)}
	config.Logger = log.New(io.Discard, "", 0)
	config.GossipInterval, config.ProbeInterval, config.PushPullInterval = 0, 0, 0
	config.EnableCompression = false
	list, err := memberlist.Create(config)
	e.list = list
	return e, err
}

// exchange hands it what another member knows, and gives what it answers once it has taken that in.
func (e *lonelyEngine) exchange(message []byte) ([]byte, error) {
	here, there := net.Pipe()
	e.streams <- there
	written := make(chan error, 1)
	go func() {
		_, err := here.Write(message)
		written <- err
	}()
	answer, err := io.ReadAll(here) // it ends its side when all is taken in
	return answer, errors.Join(err, <-written, here.Close())
}

// joinedEngine is one that has heard of all members in one exchange.
func joinedEngine(message []byte) (*lonelyEngine, error) {
	e, err := newLonelyEngine()
	if err != nil {
		return nil, err
	}
	if _, err := e.exchange(message); err != nil {
		e.close()
		return nil, err
	}
	return e, nil
}

func (e *lonelyEngine) close() {
	_ = e.list.Shutdown() // its transport opens nothing that could fail to end
}

// lonelyTransport has no network.
type lonelyTransport struct {
	streams chan net.Conn
	packets chan *memberlist.Packet
}

var errNoNetwork = errors.New("no network here")

func (t lonelyTransport) FinalAdvertiseAddr(string, int) (net.IP, int, error) {
	return net.IP(memberAddr(0)), memberPort, nil
}
func (t lonelyTransport) WriteTo([]byte, string) (time.Time, error) { return time.Now(), nil }
func (t lonelyTransport) PacketCh() <-chan *memberlist.Packet       { return t.packets }
func (t lonelyTransport) StreamCh() <-chan net.Conn                 { return t.streams }
func (t lonelyTransport) Shutdown() error                           { return nil }
func (t lonelyTransport) DialTimeout(string, time.Duration) (net.Conn, error) {
	return nil, errNoNetwork
}
