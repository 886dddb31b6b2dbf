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
	gossipInterval           = 200 * time.Millisecond
	gossipFanout             = 3
	maxPacketBytes           = 1400
	probeInterval            = 500 * time.Millisecond
	baseExchangeInterval     = 10 * time.Second
	recordRetransmits        = 3 // multiplied by the logarithm of the number of members
	stateRetransmits         = 4 // the same for the engine's own messages: memberlist's default
	exchangeScalingThreshold = 32
	membersFrameInterval     = 100 * time.Millisecond // between member lists that the engine sends to its balancer
	fullStateInterval        = 2 * time.Second        // between full states that the balancer sends to its engine
	publishCheckInterval     = 250 * time.Millisecond
)

// Sizes of what memberlist and the network add to messages, in bytes unless stated otherwise.
const (
	datagramHeaders   = 28
	segmentHeaders    = 52
	segmentBytes      = 1448
	streamSegments    = 8 // that a side sends on a stream besides its data: opening, acknowledgements, closing
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

// memberName returns the name of a member, of the same length as those in docs/membership-use.md.
func memberName(i int) string { return fmt.Sprintf("balancer-%05d", i) }

// memberAddr returns the address of a member.
func memberAddr(i int) []byte { return []byte{10, byte(i >> 16), byte(i >> 8), byte(i)} }

const memberPort = 7946

// encodeMsgpack encodes a message as memberlist does, without the leading type byte.
func encodeMsgpack(value any) []byte {
	var text bytes.Buffer
	if err := codec.NewEncoder(&text, &codec.MsgpackHandle{}).Encode(value); err != nil {
		panic(err) // neither the buffer nor the types above can fail
	}
	return text.Bytes()
}

// messageSizes are the sizes in bytes of the engine's own messages.
type messageSizes struct {
	ping, ack, alive, dead int
}

func measureMessageSizes() messageSizes {
	const sampleMember = 4711
	name, addr := memberName(sampleMember), memberAddr(sampleMember)
	return messageSizes{
		ping:  1 + len(encodeMsgpack(enginePing{SeqNo: math.MaxUint16, Node: name, SourceAddr: addr, SourcePort: memberPort, SourceNode: name})),
		ack:   1 + len(encodeMsgpack(engineAck{SeqNo: math.MaxUint16})),
		alive: 1 + len(encodeMsgpack(engineAlive{Incarnation: 1, Node: name, Addr: addr, Port: memberPort, Vsn: engineVersions})),
		dead:  1 + len(encodeMsgpack(engineDead{Incarnation: 1, Node: name, From: name})),
	}
}

// exchangeMessage returns the message with which a member of a fleet of this size sends all members that it knows in an
// exchange.
func exchangeMessage(members int) []byte {
	const exchangeMessageType = 6 // memberlist's type byte of a full state
	text := []byte{exchangeMessageType}
	text = append(text, encodeMsgpack(engineExchange{Nodes: members})...)
	for i := range members {
		node := engineNode{Name: memberName(i), Addr: memberAddr(i), Port: memberPort, Incarnation: 1, Vsn: engineVersions}
		text = append(text, encodeMsgpack(node)...)
	}
	return text
}

// exchangeInterval returns the time between two exchanges that a member starts, scaled with the fleet as memberlist
// does.
func exchangeInterval(members int) time.Duration {
	if members <= exchangeScalingThreshold {
		return baseExchangeInterval
	}
	steps := math.Ceil(math.Log2(float64(members))-math.Log2(exchangeScalingThreshold)) + 1
	return time.Duration(steps) * baseExchangeInterval
}

// retransmits returns how many times memberlist transmits a message in a fleet of this size.
func retransmits(multiplier, members int) int {
	return multiplier * int(math.Ceil(math.Log10(float64(members+1))))
}

// streamBytes returns the bytes that a member sends for a message on a connection of its own, including the headers of
// the segments that it sends.
func streamBytes(message int) int {
	segments := streamSegments + (message+segmentBytes-1)/segmentBytes
	return message + segments*segmentHeaders
}

// sampleRecord returns a record with the given number of reports, each about a server on which the reporter holds
// connections.
func sampleRecord(origin int, sequence uint64, reports int) signals.Record {
	const connectionsPerServer = 8
	record := signals.Record{Origin: signals.Origin(memberName(origin)), Incarnation: 1764652800, Sequence: signals.Sequence(sequence),
		Build: "0123456789ab", Settings: "0123456789abcdef", Rate: 8}
	for i := range reports {
		record.Reports = append(record.Reports, signals.Report{Server: serverIDOf(origin + i), Connections: connectionsPerServer})
	}
	return record
}

// serverIDOf returns the id of the i-th server. Ids are spread over the range of 32 bits, as hashed names are.
func serverIDOf(i int) decide.ServerID {
	const golden = 0x9e3779b1 // 2^32 divided by the golden ratio, as in multiplicative hashing
	return decide.ServerID(uint32(i+1) * golden)
}
