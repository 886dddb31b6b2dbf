package signals

import (
	"errors"
	"fmt"
	"math"
	"time"

	"github.com/fxamacker/cbor/v2"

	"yardwinch/decide"
)

// Error is why something that came was not taken. Do says what an operator can do.
type Error struct {
	What, Remedy string
	Err          error
}

func (e *Error) Error() string {
	if e.Err != nil {
		return "signals: " + e.What + ": " + e.Err.Error()
	}
	return "signals: " + e.What
}
func (e *Error) Unwrap() error { return e.Err }

// Advice says what an operator can do.
func (e *Error) Advice() string { return e.Remedy }

// Version of the messages. A later one may add keys and kinds, which an earlier one passes over; another number here means that the
// old keys changed their meaning, and such a message is passed over whole.
const Version = 1

// Kinds of messages.
const kindRecord = 1

// Keys of a message, and of a record in it.
const (
	keyVersion     = 0
	keyKind        = 1
	keyOrigin      = 2
	keyIncarnation = 3
	keySequence    = 4
	keyBuild       = 5
	keySettings    = 6
	keyRate        = 7
	keyReports     = 8
	keyLoadReports = 9
)

// Fractions travel as whole numbers of these parts.
const (
	loadParts = 1000 // of a load
	rateParts = 10   // of a rate
)

const (
	maxRecordBytes = 1200 // one datagram
	maxNameBytes   = 64
	maxAge         = time.Hour
	maxHeld        = 1 << 20
	maxNesting     = 4
	maxMapPairs    = 64
	reportFields   = 4    // of a report, and of a load report
	shrinkFactor   = 0.75 // of the reports that are kept, until a record fits
	minPart        = 0.01 // of the reports, below which a record is sent as it is
)

var (
	encoder, _ = cbor.CoreDetEncOptions().EncMode() // the options are sound
	// The datagram itself bounds every list in it: an element is a byte at the least. What a later build adds may be one byte for each of many servers.
	decoder, _ = cbor.DecOptions{
		MaxNestedLevels:  maxNesting,
		MaxArrayElements: maxRecordBytes,
		MaxMapPairs:      maxMapPairs,
	}.DecMode()
	fullStateDecoder, _ = cbor.DecOptions{
		MaxNestedLevels:  maxNesting,
		MaxArrayElements: 2 * MaxOrigins,
	}.DecMode()
)

// Why a message is passed over; each is counted by the one who receives it.
var (
	ErrMalformed = errors.New("garbled")
	ErrVersion   = errors.New("another version")
	ErrKind      = errors.New("an unknown kind")
)

// Encode writes a record as a map of small numbers. Of one that would not fit into a datagram it leaves out reports, those of healthy
// servers first.
func Encode(r Record) ([]byte, error) {
	for part := 1.0; ; part *= shrinkFactor {
		message, err := encoder.Marshal(fields(r, part))
		if err != nil || len(message) <= maxRecordBytes || part < minPart {
			return message, err
		}
	}
}

// fields is what goes into a message, with the first part of the reports.
func fields(r Record, part float64) map[int]any {
	kept := func(n int) int { return int(part * float64(n)) }
	reports := [][]int64{}
	for _, x := range r.Reports[:kept(len(r.Reports))] {
		reports = append(reports, []int64{int64(x.Server), int64(x.Fault), int64(x.Connections), x.Age.Milliseconds()})
	}
	message := map[int]any{
		keyVersion:     Version,
		keyKind:        kindRecord,
		keyOrigin:      string(r.Origin),
		keyIncarnation: uint64(r.Incarnation),
		keySequence:    uint64(r.Sequence),
		keyBuild:       r.Build,
		keySettings:    r.Settings,
		keyRate:        int64(math.Round(r.Rate * rateParts)),
		keyReports:     reports,
	}
	loads := [][]int64{}
	for _, x := range r.LoadReports[:kept(len(r.LoadReports))] {
		loads = append(loads, []int64{int64(x.Server), int64(math.Round(x.Load * loadParts)), int64(x.Epoch), x.Age.Milliseconds()})
	}
	if len(loads) > 0 {
		message[keyLoadReports] = loads
	}
	return message
}

// passedOver is the Error of a message that is not taken.
func passedOver(why error, what string) *Error {
	advice := "it is passed over; if one member goes on sending such, see what runs there"
	if errors.Is(why, ErrVersion) || errors.Is(why, ErrKind) {
		advice = "usual while builds are changed; afterwards bring all members to one build"
	}
	return &Error{What: what, Remedy: advice, Err: why}
}

// message is one that is being read, with the first fault that was met.
type message struct {
	raw map[int]cbor.RawMessage
	err error
}

// get reads the value of a key, where it is there.
func (m *message) get(key int, into any) {
	raw, there := m.raw[key]
	if !there || m.err != nil {
		return
	}
	if err := decoder.Unmarshal(raw, into); err != nil {
		m.err = fmt.Errorf("%w: key %d: %w", ErrMalformed, key, err)
	}
}

// Decode reads a record. What is not known in it is passed over; a message that can't be read is an Error.
func Decode(b []byte) (Record, error) {
	const unreadable = "a message that can't be read"
	if len(b) > maxRecordBytes {
		return Record{}, passedOver(ErrMalformed, fmt.Sprintf("a message of %d bytes", len(b)))
	}
	var m message
	if err := decoder.Unmarshal(b, &m.raw); err != nil {
		return Record{}, passedOver(fmt.Errorf("%w: %w", ErrMalformed, err), unreadable)
	}
	var version, kind int
	m.get(keyVersion, &version)
	m.get(keyKind, &kind)
	switch {
	case m.err != nil:
		return Record{}, passedOver(m.err, unreadable)
	case version != Version:
		return Record{}, passedOver(ErrVersion, fmt.Sprintf("a message of version %d", version))
	case kind != kindRecord:
		return Record{}, passedOver(ErrKind, fmt.Sprintf("a message of kind %d", kind))
	}
	record := m.record()
	if m.err != nil {
		return Record{}, passedOver(m.err, unreadable)
	}
	return record, nil
}

// record reads the fields of a record.
func (m *message) record() (r Record) {
	var rate int64
	var reports, loads [][]int64
	m.get(keyOrigin, (*string)(&r.Origin))
	m.get(keyIncarnation, (*uint64)(&r.Incarnation))
	m.get(keySequence, (*uint64)(&r.Sequence))
	m.get(keyBuild, &r.Build)
	m.get(keySettings, &r.Settings)
	m.get(keyRate, &rate)
	m.get(keyReports, &reports)
	m.get(keyLoadReports, &loads)
	if m.err == nil && !r.possible() {
		m.err = fmt.Errorf("%w: no origin, or a value that can't be", ErrMalformed)
	}
	r.Rate = float64(max(rate, 0)) / rateParts
	for _, x := range reports[:min(len(reports), MaxReports)] {
		if report, known := decodeReport(x); known {
			r.Reports = append(r.Reports, report)
		}
	}
	for _, x := range loads[:min(len(loads), MaxLoadReports)] {
		if load, known := decodeLoadReport(x); known {
			r.LoadReports = append(r.LoadReports, load)
		}
	}
	return r
}

// possible tells whether a record may come from a member: it has an origin, and no value that none sends.
func (r *Record) possible() bool {
	switch {
	case r.Origin == "" || len(r.Origin) > maxNameBytes:
		return false
	case len(r.Build) > maxNameBytes || len(r.Settings) > maxNameBytes:
		return false
	}
	return r.Sequence != 0 && r.Incarnation < math.MaxUint64-1
}

// decodeReport reads a report; one of a later build, or nonsense, is not known.
func decodeReport(x []int64) (report Report, known bool) {
	if len(x) < reportFields || !serverNumber(x[0]) || x[1] < 0 || x[2] < 0 || x[2] > maxHeld || x[3] < 0 {
		return Report{}, false
	}
	trouble := Fault(x[1])
	if trouble > Silent {
		return Report{}, false // a trouble that this build does not know
	}
	return Report{Server: decide.ServerID(x[0]), Fault: trouble, Connections: int(x[2]), Age: decodeAge(x[3])}, true
}

// decodeLoadReport reads a load report; one of a later build, or nonsense, is not known.
func decodeLoadReport(x []int64) (load LoadReport, known bool) {
	if len(x) < reportFields || !serverNumber(x[0]) || x[1] < 0 || x[2] < 0 || x[3] < 0 {
		return LoadReport{}, false
	}
	return LoadReport{Server: decide.ServerID(x[0]), Load: float64(x[1]) / loadParts, Epoch: uint64(x[2]), Age: decodeAge(x[3])}, true
}

func serverNumber(x int64) bool { return x >= 0 && x <= math.MaxUint32 }

func decodeAge(milliseconds int64) time.Duration {
	return time.Duration(min(milliseconds, maxAge.Milliseconds())) * time.Millisecond
}

// EncodeAll writes messages as one, for a member that asks for the full state.
func EncodeAll(messages [][]byte) ([]byte, error) { return encoder.Marshal(messages) }

// DecodeAll takes them apart; what is beyond the bound of origins is left out.
func DecodeAll(b []byte) (messages [][]byte, err error) {
	if err := fullStateDecoder.Unmarshal(b, &messages); err != nil {
		return nil, passedOver(fmt.Errorf("%w: %w", ErrMalformed, err), "what a member knows can't be read")
	}
	return messages, nil
}
