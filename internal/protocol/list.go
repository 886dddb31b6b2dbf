package protocol

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"time"

	"yardwinch/internal/routing"
)

const (
	mostServers = 16_384 // in a list: a process has little memory, and a list can be wrong
	longestList = mostServers * 256
)

var errNotObject = errors.New("not a JSON object")

// take reads the text of one object of discovery and hands it on as a whole.
func (d *Discovery) take(text []byte, known bool) error {
	return d.only(bytes.NewReader(text), known)
}

// only reads one object with nothing behind it.
func (d *Discovery) only(from io.Reader, known bool) error {
	objects := json.NewDecoder(from)
	list, revision, err := d.list(objects, known)
	if err != nil {
		return err
	}
	if extra, err := objects.Token(); err == nil {
		return fmt.Errorf("server list: %v after its end", extra)
	} else if !errors.Is(err, io.EOF) {
		return fmt.Errorf("server list: %w", err)
	}
	d.accept(list, revision)
	return nil
}

// read takes the next of several objects and hands it on as a whole; io.EOF says that there is none.
func (d *Discovery) read(objects *json.Decoder, known bool) error {
	list, revision, err := d.list(objects, known)
	if err == nil {
		d.accept(list, revision)
	}
	return err
}

func (d *Discovery) accept(list *routing.EndpointUpdate, revision float64) {
	list.Commit()
	d.revision.Store(int64(revision)) // after it: whoever reads both in between hears the same news twice, not never
}

// list reads one object, member by member, so that a long one is never in memory as text. Nothing of it counts yet, and if
// anything in it is wrong nothing of it will. An object may be indented: the end of a line is not its end.
func (d *Discovery) list(objects *json.Decoder, known bool) (*routing.EndpointUpdate, float64, error) {
	if opening, err := objects.Token(); err != nil {
		return nil, 0, err
	} else if opening != json.Delim('{') {
		return nil, 0, fmt.Errorf("server list: %w", errNotObject)
	}
	list, head := d.router.BeginUpdate(kindOf(known)), map[string]any{}
	var members int
	var bad error
	for objects.More() {
		key, err := objects.Token()
		if err != nil {
			return nil, 0, cut(err)
		}
		if key == "members" {
			head["members"], err = readMembers(objects, list, &members, &bad)
		} else {
			head[key.(string)], err = readAny(objects) // the key of an object is a string
		}
		if err != nil {
			return nil, 0, cut(err)
		}
	}
	if _, err := objects.Token(); err != nil {
		return nil, 0, cut(err)
	}
	var missing error
	revision := value[float64](head, "revision", &missing)
	whole := value[bool](head, "complete", &missing)
	value[bool](head, "members", &missing)
	if members > mostServers {
		return nil, 0, fmt.Errorf("server list: %d members, %d at most", members, mostServers)
	}
	if missing != nil {
		bad = missing
	}
	if bad != nil {
		return nil, 0, fmt.Errorf("server list: %w", bad)
	}
	if whole {
		list.MarkComplete()
	}
	return list, revision, nil
}

// cut says of an end of the input that it came too early.
func cut(err error) error {
	if errors.Is(err, io.EOF) {
		err = io.ErrUnexpectedEOF
	}
	return err
}

func readAny(objects *json.Decoder) (v any, err error) {
	err = objects.Decode(&v)
	return v, err
}

// readMembers gathers the members of a list. What comes back stands for the list in place of its members: true where there
// is one. Those past the bound are counted and not kept.
func readMembers(objects *json.Decoder, list *routing.EndpointUpdate, count *int, bad *error) (any, error) {
	opening, err := objects.Token()
	if err != nil {
		return nil, err
	}
	if opening == json.Delim('{') {
		return nil, skipObject(objects)
	}
	if opening != json.Delim('[') {
		return nil, nil
	}
	for objects.More() {
		member, err := readAny(objects)
		if err != nil {
			return nil, err
		}
		if *count++; *count <= mostServers && *bad == nil {
			*bad = gather(list, member)
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
		if _, err := readAny(objects); err != nil {
			return err
		}
	}
	_, err := objects.Token()
	return err
}

func kindOf(known bool) routing.UpdateKind {
	if known {
		return routing.CachedUpdate
	}
	return routing.DeltaUpdate
}

// gather adds one member to the news.
func gather(list *routing.EndpointUpdate, member any) (bad error) {
	m, _ := member.(map[string]any) // a nil map has no fields, and says so
	phase := value[string](m, "phase", &bad)
	if phase != "SERVING" && phase != "DRAINING" && phase != "DELETED" && bad == nil {
		bad = fmt.Errorf("unknown phase %q", phase)
	}
	var since time.Time
	if up := optional(m, "up_since_ms", 0.0, &bad); up > 0 {
		since = time.UnixMilli(int64(up))
	}
	id := value[string](m, "id", &bad)
	if id == "" && bad == nil {
		bad = errors.New("an entry without an id")
	}
	if len(id) > routing.MaxIDLength && bad == nil {
		bad = fmt.Errorf("an id of %d bytes, %d at most", len(id), routing.MaxIDLength)
	}
	readiness := routing.Draining
	switch phase {
	case "SERVING":
		readiness = routing.Ready
	case "DELETED":
		readiness = routing.Gone
	}
	list.AddEndpoint(routing.Endpoint{Name: id, Addr: optional(m, "host_port", "", &bad), Zone: optional(m, "locality", "", &bad),
		Cell: int(optional(m, "cell", 0.0, &bad)), Size: optional(m, "size", 1.0, &bad), Readiness: readiness, StartedAt: since})
	return bad
}

// value is a field that must be there; the first fault is kept.
func value[T any](o map[string]any, name string, bad *error) T {
	v, ok := o[name].(T)
	if !ok && *bad == nil {
		*bad = fmt.Errorf("%s is missing or of the wrong kind", name)
	}
	return v
}

func optional[T any](o map[string]any, name string, absent T, bad *error) T {
	if o[name] == nil {
		return absent
	}
	return value[T](o, name, bad)
}
