package signals

import (
	"errors"
	"fmt"
	"math"
	"time"

	"github.com/fxamacker/cbor/v2"

	"yardwinch/decide"
	"yardwinch/internal/advice"
)

// Version is the version of the message format. A later build may add keys and kinds, which earlier builds skip. In
// another version keys have another meaning, so that the whole message is rejected.
const Version = 1

// kindRecord is the kind of a message that holds a record.
const kindRecord = 1

// Keys of a message and of the record that it holds.
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

// Loads and rates are encoded as integers, multiplied by these factors.
const (
	loadScale = 1000
	rateScale = 10
)

const (
	maxRecordBytes = 1200 // fits into one datagram
	maxNameBytes   = 64
	maxAge         = time.Hour
	maxConnections = 1 << 20
	maxNesting     = 4
	maxMapPairs    = 64
	reportFields   = 4    // of a report and of a load report; a later build may add more
	shrinkFactor   = 0.75 // by which the fraction of the reports that are sent is reduced until a record fits
	minFraction    = 0.01 // of the reports, below which a record is encoded whatever its size
)

var (
	encoder, _ = cbor.CoreDetEncOptions().EncMode() // the options are valid
	// An element takes at least a byte, so the size of a message limits every list in it. A lower limit would reject
	// messages of a later build that adds a byte for each of many servers.
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

// Causes for which a message is rejected. The receiver counts rejected messages by cause.
var (
	// ErrMalformed: the message can't be decoded, or has a value that no member sends.
	ErrMalformed = errors.New("garbled")
	// ErrVersion: the message is of another version.
	ErrVersion = errors.New("another version")
	// ErrKind: the message is of an unknown kind.
	ErrKind = errors.New("an unknown kind")
)

// Error is the error for a rejected message. It wraps ErrMalformed, ErrVersion or ErrKind.
type Error = advice.Error

// rejectionError returns the Error for a rejected message.
func rejectionError(cause error, what string) *Error {
	remedy := "the message is ignored; if one member keeps sending such messages, check which build runs there"
	if errors.Is(cause, ErrVersion) || errors.Is(cause, ErrKind) {
		remedy = "expected while members are upgraded; afterwards run the same build on all members"
	}
	return &Error{Where: "signals", What: what, Remedy: remedy, Err: cause}
}

// Encode encodes a record as a map with integer keys. If a record does not fit into a datagram, an equal share of its
// reports and of its load reports is left out, from the end. The last reports are those of healthy servers, or of the least
// faults, with the fewest connections. A record with less than minFraction of its reports is encoded whatever its size.
func Encode(record Record) ([]byte, error) {
	for fraction := 1.0; ; fraction *= shrinkFactor {
		message, err := encoder.Marshal(messageFields(record, fraction))
		if err != nil {
			return nil, fmt.Errorf("encode the record of %s: %w", record.Origin, err)
		}
		if len(message) <= maxRecordBytes || fraction < minFraction {
			return message, nil
		}
	}
}

// messageFields returns the fields of a message, with the first fraction of the reports.
func messageFields(record Record, fraction float64) map[int]any {
	first := func(count int) int { return int(fraction * float64(count)) }
	reports := [][]int64{}
	for _, report := range record.Reports[:first(len(record.Reports))] {
		reports = append(reports, encodeReport(report))
	}
	loads := [][]int64{}
	for _, report := range record.LoadReports[:first(len(record.LoadReports))] {
		loads = append(loads, encodeLoadReport(report))
	}
	message := map[int]any{
		keyVersion:     Version,
		keyKind:        kindRecord,
		keyOrigin:      string(record.Origin),
		keyIncarnation: uint64(record.Incarnation),
		keySequence:    uint64(record.Sequence),
		keyBuild:       record.Build,
		keySettings:    record.Settings,
		keyRate:        int64(math.Round(record.Rate * rateScale)),
		keyReports:     reports,
	}
	if len(loads) > 0 {
		message[keyLoadReports] = loads
	}
	return message
}

func encodeReport(report Report) []int64 {
	return []int64{int64(report.Server), int64(report.Fault), int64(report.Connections), report.Age.Milliseconds()}
}

func encodeLoadReport(report LoadReport) []int64 {
	load := int64(math.Round(report.Load * loadScale))
	return []int64{int64(report.Server), load, int64(report.Epoch), report.Age.Milliseconds()}
}

// fieldReader decodes the fields of a message, and keeps the first error.
type fieldReader struct {
	raw map[int]cbor.RawMessage
	err error
}

// read decodes the value of a key if the key is present.
func (r *fieldReader) read(key int, value any) {
	raw, present := r.raw[key]
	if !present || r.err != nil {
		return
	}
	if err := decoder.Unmarshal(raw, value); err != nil {
		r.err = fmt.Errorf("%w: key %d: %w", ErrMalformed, key, err)
	}
}

// Decode decodes a record and skips unknown keys in it. An error is of type *Error.
func Decode(encoded []byte) (Record, error) {
	const undecodable = "a message that can't be decoded"
	if len(encoded) > maxRecordBytes {
		return Record{}, rejectionError(ErrMalformed, fmt.Sprintf("a message of %d bytes", len(encoded)))
	}
	var reader fieldReader
	if err := decoder.Unmarshal(encoded, &reader.raw); err != nil {
		return Record{}, rejectionError(fmt.Errorf("%w: %w", ErrMalformed, err), undecodable)
	}
	var version, kind int
	reader.read(keyVersion, &version)
	reader.read(keyKind, &kind)
	switch {
	case reader.err != nil:
		return Record{}, rejectionError(reader.err, undecodable)
	case version != Version:
		return Record{}, rejectionError(ErrVersion, fmt.Sprintf("a message of version %d", version))
	case kind != kindRecord:
		return Record{}, rejectionError(ErrKind, fmt.Sprintf("a message of kind %d", kind))
	}
	record := reader.record()
	if reader.err != nil {
		return Record{}, rejectionError(reader.err, undecodable)
	}
	return record, nil
}

// record decodes the fields of a record.
func (r *fieldReader) record() (record Record) {
	var rate int64
	var reports, loads [][]int64
	r.read(keyOrigin, (*string)(&record.Origin))
	r.read(keyIncarnation, (*uint64)(&record.Incarnation))
	r.read(keySequence, (*uint64)(&record.Sequence))
	r.read(keyBuild, &record.Build)
	r.read(keySettings, &record.Settings)
	r.read(keyRate, &rate)
	r.read(keyReports, &reports)
	r.read(keyLoadReports, &loads)
	if r.err == nil && !record.isPlausible() {
		r.err = fmt.Errorf("%w: no origin, or a value out of range", ErrMalformed)
	}
	record.Rate = float64(max(rate, 0)) / rateScale
	for _, values := range reports[:min(len(reports), MaxReports)] {
		if report, ok := decodeReport(values); ok {
			record.Reports = append(record.Reports, report)
		}
	}
	for _, values := range loads[:min(len(loads), MaxLoadReports)] {
		if load, ok := decodeLoadReport(values); ok {
			record.LoadReports = append(record.LoadReports, load)
		}
	}
	return record
}

// isPlausible reports whether a member may have sent a record: it has an origin, and its values are in their ranges.
func (r *Record) isPlausible() bool {
	switch {
	case r.Origin == "" || len(r.Origin) > maxNameBytes:
		return false
	case len(r.Build) > maxNameBytes || len(r.Settings) > maxNameBytes:
		return false
	}
	return r.Sequence != 0 && r.Incarnation < math.MaxUint64-1
}

// decodeReport decodes a report; ok is false if a value is out of range or the fault is one that a later build added.
func decodeReport(values []int64) (report Report, ok bool) {
	if len(values) < reportFields {
		return Report{}, false
	}
	server, fault, connections, age := values[0], values[1], values[2], values[3]
	if !isServerID(server) || fault < 0 || Fault(fault) > Silent || connections < 0 || connections > maxConnections || age < 0 {
		return Report{}, false
	}
	return Report{
		Server:      decide.ServerID(server),
		Fault:       Fault(fault),
		Connections: int(connections),
		Age:         decodeAge(age),
	}, true
}

// decodeLoadReport decodes a load report; ok is false if a value is out of range.
func decodeLoadReport(values []int64) (report LoadReport, ok bool) {
	if len(values) < reportFields {
		return LoadReport{}, false
	}
	server, load, epoch, age := values[0], values[1], values[2], values[3]
	if !isServerID(server) || load < 0 || epoch < 0 || age < 0 {
		return LoadReport{}, false
	}
	return LoadReport{
		Server: decide.ServerID(server),
		Load:   float64(load) / loadScale,
		Epoch:  uint64(epoch),
		Age:    decodeAge(age),
	}, true
}

func isServerID(number int64) bool { return number >= 0 && number <= math.MaxUint32 }

func decodeAge(milliseconds int64) time.Duration {
	return time.Duration(min(milliseconds, maxAge.Milliseconds())) * time.Millisecond
}

// EncodeFullState joins messages into one, for a member that asks for the full state.
func EncodeFullState(messages [][]byte) ([]byte, error) {
	joined, err := encoder.Marshal(messages)
	if err != nil {
		return nil, fmt.Errorf("encode the full state: %w", err)
	}
	return joined, nil
}

// DecodeFullState splits joined messages. An error is of type *Error.
func DecodeFullState(joined []byte) (messages [][]byte, err error) {
	if err := fullStateDecoder.Unmarshal(joined, &messages); err != nil {
		return nil, rejectionError(fmt.Errorf("%w: %w", ErrMalformed, err), "the full state of a member can't be decoded")
	}
	return messages, nil
}
