package membership

import (
	"errors"
	"net/netip"
	"time"

	"github.com/fxamacker/cbor/v2"
)

// Kinds of frames between the balancer and its engine. A frame is a CBOR array of its kind, followed by the fields
// that are listed below for each kind. Both processes are of the same build.
const (
	// FrameStart is the first frame to the engine: name, label, bind address, advertised address, seeds.
	FrameStart uint64 = iota + 1
	// FramePublish broadcasts a message to the other members: key, message.
	FramePublish
	// FrameFullState sets the full state that is sent to other members on request: state.
	FrameFullState
	// FrameHeartbeat tells the engine that the balancer is running.
	FrameHeartbeat
	// FrameLeave has the engine announce that it leaves, and exit.
	FrameLeave
	// FrameReceive delivers a message from another member: message.
	FrameReceive
	// FrameRemoteState delivers the full state of another member: state.
	FrameRemoteState
	// FrameMembers reports all members and all drop counts: an array as EncodeMembers returns it.
	FrameMembers
	// FrameSuspended reports that the engine or the balancer was suspended: the measured gap or HeartbeatTimeout, in
	// nanoseconds.
	FrameSuspended
)

const (
	startFields  = 4 // number of fields of FrameStart without kind and seeds
	memberFields = 4 // number of fields of an item of FrameMembers
)

// frameDecoding accepts names that are not valid UTF-8: they come from the network, and one that is invalid must not
// break the link to the engine.
var frameDecoding, _ = cbor.DecOptions{UTF8: cbor.UTF8DecodeInvalid}.DecMode() // never fails: the options are valid

// encodeStart returns the FrameStart for an instance.
func encodeStart(instance Instance) []any {
	frame := []any{FrameStart, string(instance.Name), instance.Label, instance.Bind.String(), instance.Advertise.String()}
	for _, seed := range instance.Seeds {
		frame = append(frame, seed)
	}
	return frame
}

// DecodeStart returns the instance of a FrameStart. The frame must not be empty. Errors are of type *Error.
func DecodeStart(frame []any) (Instance, error) {
	const remedy = "don't start this program by hand: yardwinch serve starts it"
	var fields []string
	for _, field := range frame[1:] {
		text, _ := field.(string)
		fields = append(fields, text)
	}
	if kind, _ := frame[0].(uint64); kind != FrameStart || len(fields) < startFields {
		return Instance{}, &Error{Where: "peers", What: "missing or incomplete start frame", Remedy: remedy}
	}
	bind, bindErr := netip.ParseAddrPort(fields[2])
	advertise, advertiseErr := netip.ParseAddrPort(fields[3])
	if err := errors.Join(bindErr, advertiseErr); err != nil {
		return Instance{}, &Error{Where: "peers", What: "invalid bind or advertised address", Remedy: remedy, Err: err}
	}
	return Instance{
		Name:      Name(fields[0]),
		Label:     fields[1],
		Bind:      bind,
		Advertise: advertise,
		Seeds:     fields[startFields:],
	}, nil
}

// EncodeMembers returns the content of a FrameMembers: an item for each member (name, address, state, nanoseconds in
// this state) and one for each kind of drop (empty name, kind, empty state, count).
func EncodeMembers(members []Member, dropped map[string]int) []any {
	items := []any{}
	for _, member := range members {
		items = append(items, []any{string(member.Name), member.Addr, string(member.State), uint64(member.Since)})
	}
	for kind, count := range dropped {
		items = append(items, []any{"", kind, "", uint64(count)})
	}
	return items
}

// decodeMembers reads the content of a FrameMembers and skips malformed items.
func decodeMembers(items []any) (members []Member, dropped map[string]int) {
	dropped = map[string]int{}
	for _, item := range items {
		fields, ok := item.([]any)
		if !ok || len(fields) != memberFields {
			continue
		}
		name, _ := fields[0].(string)
		addr, _ := fields[1].(string)
		state, _ := fields[2].(string)
		number, _ := fields[3].(uint64)
		if name == "" {
			dropped[addr] = int(number) // the address field holds the kind of drop
		} else {
			members = append(members, Member{Name: Name(name), Addr: addr, State: State(state), Since: time.Duration(number)})
		}
	}
	return members, dropped
}
