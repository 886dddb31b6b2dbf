package protocol

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"time"

	"yardwinch/internal/routing"
)

const (
	// maxServers bounds a list: a process has little memory, and a list can be wrong.
	maxServers   = 16_384
	maxListBytes = maxServers * 256
)

var errNotAnObject = errors.New("not a JSON object")

// applyText applies a text that is one object of discovery, with nothing behind it.
func (d *Discovery) applyText(ctx context.Context, text []byte, kind routing.UpdateKind) error {
	objects := json.NewDecoder(bytes.NewReader(text))
	list, err := d.parseList(objects, kind)
	if err != nil {
		return err
	}
	if extra, err := objects.Token(); err == nil {
		return fmt.Errorf("server list: %v after its end", extra)
	} else if !errors.Is(err, io.EOF) {
		return fmt.Errorf("server list: %w", err)
	}
	d.commit(ctx, list)
	return nil
}

// applyNext applies the next of several objects; io.EOF says that there is none.
func (d *Discovery) applyNext(ctx context.Context, objects *json.Decoder) error {
	list, err := d.parseList(objects, routing.DeltaUpdate)
	if err == nil {
		d.commit(ctx, list)
	}
	return err
}

func (d *Discovery) commit(ctx context.Context, list *endpointList) {
	list.update.Commit(ctx)
	// Last: a snapshot taken in between leads to the same changes twice, not to missed ones.
	d.revision.Store(list.revision)
}

// endpointList is one object of discovery.
type endpointList struct {
	update      *routing.EndpointUpdate
	revision    int64
	memberCount int
	memberFault error // the first one
}

// parseList reads one object, member by member, so that a long one is never in memory as text. Nothing of it takes
// effect yet, and if anything in it is wrong nothing ever will. An object may be indented: the end of a line is not its
// end.
func (d *Discovery) parseList(objects *json.Decoder, kind routing.UpdateKind) (*endpointList, error) {
	opening, err := objects.Token()
	if err != nil {
		return nil, err
	}
	if opening != json.Delim('{') {
		return nil, fmt.Errorf("server list: %w", errNotAnObject)
	}
	list := &endpointList{update: d.router.BeginUpdate(kind)}
	fields, err := list.parseFields(objects)
	if err != nil {
		return nil, unexpectedEOF(err)
	}
	if err := list.setHead(fields); err != nil {
		return nil, fmt.Errorf("server list: %w", err)
	}
	return list, nil
}

// parseFields reads an object that has been opened. In its result a list of members is replaced by whether there
// is one.
func (l *endpointList) parseFields(objects *json.Decoder) (map[string]any, error) {
	fields := map[string]any{}
	for objects.More() {
		key, err := objects.Token()
		if err != nil {
			return nil, err
		}
		name := key.(string) // the key of an object is a string
		if name == "members" {
			fields[name], err = l.parseMembers(objects)
		} else {
			fields[name], err = decodeValue(objects)
		}
		if err != nil {
			return nil, err
		}
	}
	_, err := objects.Token()
	return fields, err
}

// setHead takes over the fields other than the members, once all of them have been read.
func (l *endpointList) setHead(fields map[string]any) error {
	var fault error
	revision := required[float64](fields, "revision", &fault)
	isComplete := required[bool](fields, "complete", &fault)
	required[bool](fields, "members", &fault)
	switch {
	case l.memberCount > maxServers:
		return fmt.Errorf("%d members, %d at most", l.memberCount, maxServers)
	case fault != nil:
		return fault
	case l.memberFault != nil:
		return l.memberFault
	}
	l.revision = int64(revision)
	if isComplete {
		l.update.MarkComplete()
	}
	return nil
}

// unexpectedEOF says of an end of the input that it came too early.
func unexpectedEOF(err error) error {
	if errors.Is(err, io.EOF) {
		return io.ErrUnexpectedEOF
	}
	return err
}

func decodeValue(objects *json.Decoder) (v any, err error) {
	err = objects.Decode(&v)
	return v, err
}

// parseMembers adds the members of a list. It returns true where there is a list. Members past the bound are
// counted and not kept.
func (l *endpointList) parseMembers(objects *json.Decoder) (any, error) {
	opening, err := objects.Token()
	if err != nil {
		return nil, err
	}
	switch opening {
	case json.Delim('['):
	case json.Delim('{'):
		return nil, skipObject(objects)
	default:
		return nil, nil
	}
	for objects.More() {
		member, err := decodeValue(objects)
		if err != nil {
			return nil, err
		}
		l.memberCount++
		if l.memberCount <= maxServers && l.memberFault == nil {
			l.memberFault = l.addMember(member)
		}
	}
	_, err = objects.Token()
	return true, err
}

// skipObject reads to the end of an object that has been opened.
func skipObject(objects *json.Decoder) error {
	for objects.More() {
		if _, err := objects.Token(); err != nil {
			return err
		}
		if _, err := decodeValue(objects); err != nil {
			return err
		}
	}
	_, err := objects.Token()
	return err
}

// addMember adds one member to the update.
func (l *endpointList) addMember(member any) (fault error) {
	fields, _ := member.(map[string]any) // a nil map has no fields, and is reported for that
	phase := required[string](fields, "phase", &fault)
	readiness, isKnown := phaseReadiness(phase)
	if !isKnown && fault == nil {
		fault = fmt.Errorf("unknown phase %q", phase)
	}
	var startedAt time.Time
	if milliseconds := optional(fields, "up_since_ms", 0.0, &fault); milliseconds > 0 {
		startedAt = time.UnixMilli(int64(milliseconds))
	}
	id := required[string](fields, "id", &fault)
	if id == "" && fault == nil {
		fault = errors.New("an entry without an id")
	}
	if len(id) > routing.MaxIDLength && fault == nil {
		fault = fmt.Errorf("an id of %d bytes, %d at most", len(id), routing.MaxIDLength)
	}
	l.update.AddEndpoint(routing.Endpoint{
		Name:      id,
		Addr:      optional(fields, "host_port", "", &fault),
		Zone:      optional(fields, "locality", "", &fault),
		Cell:      int(optional(fields, "cell", 0.0, &fault)),
		Size:      optional(fields, "size", 1.0, &fault),
		Readiness: readiness,
		StartedAt: startedAt,
	})
	return fault
}

// phaseReadiness maps discovery's phase of a member.
func phaseReadiness(phase string) (readiness routing.Readiness, isKnown bool) {
	switch phase {
	case "SERVING":
		return routing.Ready, true
	case "DRAINING":
		return routing.Draining, true
	case "DELETED":
		return routing.Gone, true
	}
	return routing.Draining, false
}

// required is a field that must be there. The first fault is kept.
func required[T any](fields map[string]any, name string, fault *error) T {
	value, ok := fields[name].(T)
	if !ok && *fault == nil {
		*fault = fmt.Errorf("%s is missing or of the wrong kind", name)
	}
	return value
}

// optional is a field that may be absent or null.
func optional[T any](fields map[string]any, name string, absent T, fault *error) T {
	if fields[name] == nil {
		return absent
	}
	return required[T](fields, name, fault)
}
