package signals

import (
	"errors"
	"fmt"
	"math"
	"reflect"
	"testing"
	"time"

	"yardwinch/decide"
)

var exampleRecord = Record{
	Origin:      "b3",
	Incarnation: 17,
	Sequence:    4,
	Build:       "abc",
	Settings:    "12",
	Rate:        3.5,
	Reports: []Report{
		{Server: 7, Fault: Late, Connections: 3, Age: 1500 * time.Millisecond},
		{Server: 8, Fault: Healthy, Connections: 12},
	},
	LoadReports: []LoadReport{{Server: 7, Load: 0.625, Epoch: 3, Age: 20 * time.Millisecond}},
}

func mustEncode(t testing.TB, record Record) []byte {
	t.Helper()
	encoded, err := Encode(record)
	if err != nil {
		t.Fatal(err)
	}
	return encoded
}

func mustDecode(t testing.TB, encoded []byte) Record {
	t.Helper()
	record, err := Decode(encoded)
	if err != nil {
		t.Fatal(err)
	}
	return record
}

func TestRecordSurvivesEncoding(t *testing.T) {
	if got := mustDecode(t, mustEncode(t, exampleRecord)); !reflect.DeepEqual(got, exampleRecord) {
		t.Errorf("decoded %+v, want %+v", got, exampleRecord)
	}
}

func TestLargeRecordFitsIntoADatagram(t *testing.T) {
	large := exampleRecord
	for i := range 500 {
		id := decide.ServerID(1<<31 + i)
		large.LoadReports = append(large.LoadReports, LoadReport{Server: id, Load: 0.5, Epoch: 1 << 40, Age: time.Hour})
		large.Reports = append(large.Reports, Report{Server: id, Fault: Late, Connections: 1000, Age: time.Hour})
	}
	if encoded := mustEncode(t, large); len(encoded) > maxRecordBytes {
		t.Errorf("the encoded record has %d bytes, want at most %d", len(encoded), maxRecordBytes)
	}
}

// Messages of later builds are decoded as far as their keys are known, and malformed ones are rejected with advice for
// the operator.
func TestDecode(t *testing.T) {
	type fields = map[int]any
	withFields := func(changed fields) []byte {
		message := fields{keyVersion: Version, keyKind: kindRecord, keyOrigin: "b3", keyIncarnation: 1, keySequence: 1}
		for key, value := range changed {
			message[key] = value
			if value == nil {
				delete(message, key)
			}
		}
		encoded, err := encoder.Marshal(message)
		if err != nil {
			t.Fatal(err)
		}
		return encoded
	}
	encoded := mustEncode(t, exampleRecord)
	for _, c := range []struct {
		name    string
		encoded []byte
		want    error
	}{
		{"a later build's keys", withFields(fields{
			99:         map[string]int{"x": 1},
			keyReports: [][]int64{{7, 1, 1, 0, 55}, {7, 9, 1, 0}, {7}},
		}), nil},
		{"a later build's byte for each of many servers", withFields(fields{
			99:         make([]int64, 1024),
			keyReports: [][]int64{{7, 1, 1, 0}},
		}), nil},
		{"a later kind", withFields(fields{keyKind: 2}), ErrKind},
		{"a later version", withFields(fields{keyVersion: 2}), ErrVersion},
		{"no origin", withFields(fields{keyOrigin: nil}), ErrMalformed},
		{"an origin that is a number", withFields(fields{keyOrigin: 5}), ErrMalformed},
		{"the highest incarnation", withFields(fields{keyIncarnation: uint64(math.MaxUint64)}), ErrMalformed},
		{"truncated", encoded[:len(encoded)/2], ErrMalformed},
		{"empty", nil, ErrMalformed},
		{"a megabyte", make([]byte, 1<<20), ErrMalformed},
	} {
		t.Run(c.name, func(t *testing.T) {
			record, err := Decode(c.encoded)
			var rejection *Error
			if !errors.Is(err, c.want) || err != nil && (!errors.As(err, &rejection) || rejection.Advice() == "") {
				t.Errorf("%+v, %v; want %v with advice", record, err, c.want)
			}
			if err == nil && len(record.Reports) != 1 {
				t.Errorf("decoded reports %+v, want one", record.Reports)
			}
		})
	}
}

// In a fleet of 1,024 balancers and 1,024 servers all records are transferred: each as a message, and all of them in
// several full states, which hold a selection each.
func TestLargeFleet(t *testing.T) {
	const size = 1024
	exchange := newExchange("n0")
	servers := map[decide.ServerID]bool{}
	for i := 1; i < size; i++ {
		record := mustDecode(t, mustEncode(t, recordOfLargeFleet(i, size)))
		if len(record.Reports) != reportsOfLargeFleet || !exchange.Merge(record) {
			t.Fatalf("decoded %+v, want a new record with %d reports", record, reportsOfLargeFleet)
		}
		for _, report := range record.Reports {
			servers[report.Server] = true
		}
	}
	if records, _ := exchange.Records(); len(records) != size-1 || len(servers) != size {
		t.Errorf("%d origins and %d servers are known, want %d and %d", len(records), len(servers), size-1, size)
	}
	other := newExchange("other")
	// Each full state begins maxFullState/2 origins after the last, so that 2*size/maxFullState of them contain every record.
	// Twice as many are requested.
	for range 2 * size / maxFullState * 2 {
		other.mergeAll(sendFullState(t, exchange)...)
	}
	if records, _ := other.Records(); len(records) != size-1 {
		t.Errorf("%d origins are known to the receiver of the full states, want %d", len(records), size-1)
	}
}

const reportsOfLargeFleet = 20 // in each record

func recordOfLargeFleet(number, size int) Record {
	record := Record{Origin: Origin(fmt.Sprint("n", number)), Incarnation: 1, Sequence: 1}
	for i := range reportsOfLargeFleet {
		id := decide.ServerID((number*reportsOfLargeFleet + i) % size)
		record.Reports = append(record.Reports, Report{Server: id, Fault: Healthy, Connections: 1})
	}
	return record
}

// sendFullState returns the full state of an exchange after encoding and decoding it.
func sendFullState(t *testing.T, exchange *Exchange) (records []Record) {
	t.Helper()
	var messages [][]byte
	for _, record := range exchange.FullState() {
		messages = append(messages, mustEncode(t, record))
	}
	joined, err := EncodeFullState(messages)
	if err != nil {
		t.Fatal(err)
	}
	messages, err = DecodeFullState(joined)
	if err != nil {
		t.Fatal(err)
	}
	for _, message := range messages {
		records = append(records, mustDecode(t, message))
	}
	return records
}

func FuzzDecode(f *testing.F) {
	f.Add(mustEncode(f, Record{Origin: "b3", Incarnation: 17, Sequence: 4, Reports: []Report{{Server: 7, Fault: Late, Connections: 3}}}))
	f.Add([]byte{0xa1, 0x00, 0x01})
	f.Fuzz(func(t *testing.T, encoded []byte) {
		record, err := Decode(encoded)
		if err != nil {
			return
		}
		if reencoded, err := Encode(record); err != nil || len(reencoded) > maxRecordBytes {
			t.Fatalf("%+v: encoded again: %d bytes, error %v", record, len(reencoded), err)
		}
		exchange := newExchange("me")
		exchange.Merge(record)
		exchange.SetTime(start + time.Second)
		exchange.ServerCost("f", server)
	})
}
