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
	// maxServers bounds the length of a list, as a faulty list could exhaust the process's memory.
	maxServers   = 16_384
	maxListBytes = maxServers * 256
)

var errNotAnObject = errors.New("not a JSON object")

// applyText applies a text that is exactly one object of discovery.
func (d *Discovery) applyText(ctx context.Context, text []byte, kind routing.UpdateKind) error {
	objects := json.NewDecoder(bytes.NewReader(text))
	list, err := d.parseList(objects, kind)
	if err != nil {
		return err
	}
	if extra, err := objects.Token(); err == nil {
		return fmt.Errorf("endpoint list: unexpected %v after its end", extra)
	} else if !errors.Is(err, io.EOF) {
		return fmt.Errorf("endpoint list: %w", err)
	}
	d.commit(ctx, list)
	return nil
}

// applyNext applies the next object of a stream. It returns io.EOF if there is none.
func (d *Discovery) applyNext(ctx context.Context, objects *json.Decoder) error {
	list, err := d.parseList(objects, routing.DeltaUpdate)
	if err == nil {
		d.commit(ctx, list)
	}
	return err
}

func (d *Discovery) commit(ctx context.Context, list *endpointList) {
	list.update.Commit(ctx)
	// The revision is stored last: after a snapshot taken in between, the same changes are applied twice instead of
	// being missed.
	d.revision.Store(list.revision)
}

// endpointList is one object of discovery: a complete list or a delta.
type endpointList struct {
	update      *routing.EndpointUpdate
	revision    int64
	memberCount int
	memberErr   error // the first one
}

// parseList reads one object, member by member, so that the text of a long one is never held in memory. The caller
// commits the result; if any part of the object is invalid there is none. An object may be indented: the end of a line
// does not end it.
func (d *Discovery) parseList(objects *json.Decoder, kind routing.UpdateKind) (*endpointList, error) {
	opening, err := objects.Token()
	if err != nil {
		return nil, err
	}
	if opening != json.Delim('{') {
		return nil, fmt.Errorf("endpoint list: %w", errNotAnObject)
	}
	list := &endpointList{update: d.router.BeginUpdate(kind)}
	fields, err := list.parseFields(objects)
	if err != nil {
		return nil, unexpectedEOF(err)
	}
	if err := list.setHeader(fields); err != nil {
		return nil, fmt.Errorf("endpoint list: %w", err)
	}
	return list, nil
}

// parseFields reads an object after its opening brace. In the result, the value of "members" is true if it is a list,
// and nil otherwise.
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

// setHeader validates the list and applies the fields other than the members, once all of them have been read.
func (l *endpointList) setHeader(fields map[string]any) error {
	var firstErr error
	revision := required[float64](fields, "revision", &firstErr)
	isComplete := required[bool](fields, "complete", &firstErr)
	required[bool](fields, "members", &firstErr)
	switch {
	case l.memberCount > maxServers:
		return fmt.Errorf("%d members, %d at most", l.memberCount, maxServers)
	case firstErr != nil:
		return firstErr
	case l.memberErr != nil:
		return l.memberErr
	}
	l.revision = revisionNumber(revision)
	if isComplete {
		l.update.MarkComplete()
	}
	return nil
}

// revisionNumber converts a revision. One that can be no revision becomes unknown, after which the complete list is
// requested.
func revisionNumber(revision float64) int64 {
	if revision < 0 || revision > maxRevision {
		return unknownRevision
	}
	return int64(revision)
}

// unexpectedEOF replaces io.EOF by io.ErrUnexpectedEOF.
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

// parseMembers adds the members of a list to the update. It returns true if there is a list, and nil otherwise. Members
// beyond maxServers are counted but not added.
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
		if l.memberCount <= maxServers && l.memberErr == nil {
			l.memberErr = l.addMember(member)
		}
	}
	_, err = objects.Token()
	return true, err
}

// skipObject reads an object, after its opening brace, to its end.
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
func (l *endpointList) addMember(member any) (firstErr error) {
	fields, _ := member.(map[string]any) // other kinds of value give a nil map, whose required fields are missing
	phase := required[string](fields, "phase", &firstErr)
	readiness, isKnown := phaseReadiness(phase)
	if !isKnown && firstErr == nil {
		firstErr = fmt.Errorf("unknown phase %q", phase)
	}
	var startedAt time.Time
	if milliseconds := optional(fields, "up_since_ms", 0.0, &firstErr); milliseconds > 0 {
		startedAt = time.UnixMilli(int64(milliseconds))
	}
	id := required[string](fields, "id", &firstErr)
	if id == "" && firstErr == nil {
		firstErr = errors.New("member without an id")
	}
	if len(id) > routing.MaxServerNameLength && firstErr == nil {
		firstErr = fmt.Errorf("member id of %d bytes, %d at most", len(id), routing.MaxServerNameLength)
	}
	l.update.AddEndpoint(routing.Endpoint{
		Name:      id,
		Addr:      optional(fields, "host_port", "", &firstErr),
		Zone:      optional(fields, "locality", "", &firstErr),
		Cell:      int(optional(fields, "cell", 0.0, &firstErr)),
		Size:      optional(fields, "size", 1.0, &firstErr),
		Readiness: readiness,
		StartedAt: startedAt,
	})
	return firstErr
}

// phaseReadiness maps a member's phase, as discovery has it, to a readiness.
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

// required returns a field that must be present. If it is not, it sets *firstErr, unless that is set already.
func required[T any](fields map[string]any, name string, firstErr *error) T {
	value, ok := fields[name].(T)
	if !ok && *firstErr == nil {
		*firstErr = fmt.Errorf("%s is missing or of the wrong type", name)
	}
	return value
}

// optional returns a field that may be absent or null.
func optional[T any](fields map[string]any, name string, absent T, firstErr *error) T {
	if fields[name] == nil {
		return absent
	}
	return required[T](fields, name, firstErr)
}
