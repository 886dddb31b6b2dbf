package membership

import (
	"errors"
	"net/netip"
	"time"

	"github.com/fxamacker/cbor/v2"
)

// Frames pass between the balancer and its engine, each a CBOR list of a kind and its fields. Both processes are
// of one build. Each kind is documented with its fields.
const (
	// FrameStart is the first frame to the engine: name, label, bind address, advertised address, then the seeds.
	FrameStart uint64 = iota + 1
	// FramePublish spreads a message: key, message.
	FramePublish
	// FrameFullState sets what other members that ask are sent: the full state.
	FrameFullState
	// FrameHeartbeat tells the engine that the balancer runs.
	FrameHeartbeat
	// FrameLeave has the engine leave the other members and end.
	FrameLeave
	// FrameReceive is a message of another member: the message.
	FrameReceive
	// FrameRemoteState is the full state of another member: the state.
	FrameRemoteState
	// FrameMembers is all members and all drops: a list as EncodeMembers makes it.
	FrameMembers
	// FrameSuspended says that the engine or the balancer was suspended: nanoseconds.
	FrameSuspended
)

const (
	startFields  = 4 // of FrameStart, without kind and seeds
	memberFields = 4 // of an item of FrameMembers
)

// frameDecoding accepts names that are not valid UTF-8: they come from the network, and must not end the engine's link.
var frameDecoding, _ = cbor.DecOptions{UTF8: cbor.UTF8DecodeInvalid}.DecMode() // the options are valid

// encodeStart writes the FrameStart of an instance.
func encodeStart(instance Instance) []any {
	frame := []any{FrameStart, string(instance.Name), instance.Label, instance.Bind.String(), instance.Advertise.String()}
	for _, seed := range instance.Seeds {
		frame = append(frame, seed)
	}
	return frame
}

// DecodeStart reads the instance from a FrameStart; the frame has a kind at least. An error is of type *Error.
func DecodeStart(frame []any) (Instance, error) {
	const remedy = "it is started by yardwinch serve, not by hand"
	var fields []string
	for _, field := range frame[1:] {
		text, _ := field.(string)
		fields = append(fields, text)
	}
	if kind, _ := frame[0].(uint64); kind != FrameStart || len(fields) < startFields {
		return Instance{}, &Error{Where: "peers", What: "the engine was not told who it is", Remedy: remedy}
	}
	bind, bindErr := netip.ParseAddrPort(fields[2])
	advertise, advertiseErr := netip.ParseAddrPort(fields[3])
	if err := errors.Join(bindErr, advertiseErr); err != nil {
		return Instance{}, &Error{Where: "peers", What: "an address", Remedy: remedy, Err: err}
	}
	return Instance{
		Name:      Name(fields[0]),
		Label:     fields[1],
		Bind:      bind,
		Advertise: advertise,
		Seeds:     fields[startFields:],
	}, nil
}

// EncodeMembers is the content of a FrameMembers: an item for each member (name, address, state, nanoseconds in
// this state) and for each kind of drop (no name, kind, no state, count).
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

// decodeMembers reads the content of a FrameMembers; items of another form are skipped.
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
			dropped[addr] = int(number) // the address is the kind of drop
		} else {
			members = append(members, Member{Name: Name(name), Addr: addr, State: State(state), Since: time.Duration(number)})
		}
	}
	return members, dropped
}
