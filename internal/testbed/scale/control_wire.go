package scale

import (
	"bytes"
	"fmt"
	"math"
	"time"

	"github.com/hashicorp/go-msgpack/v2/codec"

	"yardwinch/decide"
	"yardwinch/fleet/signals"
)

// The gossip engine's settings, as internal/membership/engine gives them to memberlist.
const (
	gossipEvery         = 200 * time.Millisecond
	gossipTo            = 3
	longestPacket       = 1400
	probeEvery          = 500 * time.Millisecond
	exchangeEvery       = 10 * time.Second
	recordRetransmits   = 3 // times the logarithm of the members
	stateRetransmits    = 4 // the same for what the engine itself tells; memberlist's default
	exchangeScaledFrom  = 32
	membersFrameEvery   = 100 * time.Millisecond // members as seen, from the engine to its balancer
	recordsWrittenEvery = 2 * time.Second        // all that is known, from the balancer to its engine
	publishInterval     = 250 * time.Millisecond
)

// What memberlist and the network put round messages, in bytes.
const (
	datagramHeaders   = 28
	segmentHeaders    = 52
	segmentBytes      = 1448
	streamSegments    = 8 // of a stream without data: opening, acknowledgements, end
	checksumBytes     = 5
	compoundHeader    = 2
	compoundPerEntry  = 2
	userMessageHeader = 1
	labelHeader       = 2
	fleetLabel        = "yard"
)

// The fields of memberlist's messages; its own types are not exported.
type (
	engineNode struct {
		Name        string
		Addr        []byte
		Port        uint16
		Meta        []byte
		Incarnation uint32
		State       int
		Vsn         []uint8
	}
	engineAlive struct {
		Incarnation uint32
		Node        string
		Addr        []byte
		Port        uint16
		Meta        []byte
		Vsn         []uint8
	}
	engineDead struct {
		Incarnation uint32
		Node, From  string
	}
	enginePing struct {
		SeqNo      uint32
		Node       string
		SourceAddr []byte
		SourcePort uint16
		SourceNode string
	}
	engineAck struct {
		SeqNo   uint32
		Payload []byte
	}
	engineExchange struct {
		Nodes        int
		UserStateLen int
		Join         bool
	}
)

var engineVersions = []uint8{1, 5, 2, 0, 0, 0}

// memberName is the name of a member, as long as those of docs/membership-use.md.
func memberName(i int) string { return fmt.Sprintf("balancer-%05d", i) }

// memberAddr is an address of its own for each.
func memberAddr(i int) []byte { return []byte{10, byte(i >> 16), byte(i >> 8), byte(i)} }

const memberPort = 7946

// packed is how memberlist writes a value, without the byte for its kind.
func packed(value any) []byte {
	var text bytes.Buffer
	if err := codec.NewEncoder(&text, &codec.MsgpackHandle{}).Encode(value); err != nil {
		panic(err) // a buffer takes all, and the types above can be written
	}
	return text.Bytes()
}

// engineSizes are the sizes of what the engine itself sends, in bytes.
type engineSizes struct {
	ping, ack, alive, dead int
}

func measureEngineSizes() engineSizes {
	const one = 4711
	name, addr := memberName(one), memberAddr(one)
	return engineSizes{
		ping:  1 + len(packed(enginePing{SeqNo: math.MaxUint16, Node: name, SourceAddr: addr, SourcePort: memberPort, SourceNode: name})),
		ack:   1 + len(packed(engineAck{SeqNo: math.MaxUint16})),
		alive: 1 + len(packed(engineAlive{Incarnation: 1, Node: name, Addr: addr, Port: memberPort, Vsn: engineVersions})),
		dead:  1 + len(packed(engineDead{Incarnation: 1, Node: name, From: name})),
	}
}

// exchangeMessage is what a member of so many sends to another when they tell each other all.
func exchangeMessage(members int) []byte {
	const exchangeKind = 6
	text := []byte{exchangeKind}
	text = append(text, packed(engineExchange{Nodes: members})...)
	for i := range members {
		text = append(text, packed(engineNode{Name: memberName(i), Addr: memberAddr(i), Port: memberPort, Incarnation: 1, Vsn: engineVersions})...)
	}
	return text
}

// exchangeInterval is how often a member of so many tells another all, as memberlist scales it.
func exchangeInterval(members int) time.Duration {
	if members <= exchangeScaledFrom {
		return exchangeEvery
	}
	steps := math.Ceil(math.Log2(float64(members))-math.Log2(exchangeScaledFrom)) + 1
	return time.Duration(steps) * exchangeEvery
}

// retransmits is how often memberlist sends a message on in a fleet of so many.
func retransmits(multiplier, members int) int {
	return multiplier * int(math.Ceil(math.Log10(float64(members+1))))
}

// onStream is what a message costs on a connection of its own, with headers of both ways' segments that this side sends.
func onStream(message int) int {
	segments := streamSegments + (message+segmentBytes-1)/segmentBytes
	return message + segments*segmentHeaders
}

// sampleRecord is a balancer's record that tells of so many servers, of which it holds connections on each.
func sampleRecord(origin int, sequence uint64, sights int) signals.Record {
	const heldOnEach = 8
	record := signals.Record{Origin: signals.Origin(memberName(origin)), Incarnation: 1764652800, Sequence: signals.Sequence(sequence),
		Build: "0123456789ab", Settings: "0123456789abcdef", Rate: 8}
	for i := range sights {
		record.Reports = append(record.Reports, signals.Report{Server: serverNumber(origin + i), Connections: heldOnEach})
	}
	return record
}

// serverNumber is a server's id as names give it: spread over all of its range.
func serverNumber(i int) decide.ServerID {
	const golden = 0x9e3779b1
	return decide.ServerID(uint32(i+1) * golden)
}
