package signals

import (
	"errors"
	"fmt"
	"reflect"
	"testing"
	"time"

	"pgregory.net/rapid"

	"yardwinch/decide"
)

const server = decide.ServerID(7)

func at(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }

func fresh(origin Origin) *Exchange {
	s := New(Config{
		Origin:      origin,
		Incarnation: 1,
		Build:       "b",
		Settings:    "s",
		DelayLimit:  80 * time.Millisecond,
		SetupLimit:  300 * time.Millisecond,
		Enabled:     true,
	})
	s.SetTime(at(100))
	return s
}

func reported(o Origin, seq Sequence, what Fault, held int) Record {
	return Record{Origin: o, Incarnation: 1, Sequence: seq, Reports: []Report{{server, what, held, 0}}}
}

// Who may have a server penalised by others, and who may not.
func TestWhoseReportsCount(t *testing.T) {
	for _, x := range []struct {
		name      string
		records   []Record
		own       func(*Exchange)
		penalised bool
	}{
		{"one that lies or sits behind a bad link", []Record{reported("a", 1, Late, 3)}, nil, false},
		{"two", []Record{reported("a", 1, Late, 3), reported("b", 1, Failing, 0)}, nil, true},
		{"two, and as many say that it is well", []Record{reported("a", 1, Late, 3), reported("b", 1, Late, 3), reported("c", 1, Healthy, 1), reported("d", 1, Healthy, 1)}, nil, true},
		{"two, and more say that it is well", []Record{reported("a", 1, Late, 3), reported("b", 1, Late, 3), reported("c", 1, Healthy, 1), reported("d", 1, Healthy, 1), reported("e", 1, Healthy, 9)}, nil, false},
		{"a claim to hold much is one report", []Record{reported("a", 1, Late, 1<<20), reported("c", 1, Healthy, 1), reported("d", 1, Healthy, 1)}, nil, false},
		{"one, and this balancer itself", []Record{reported("a", 1, Late, 3)}, func(s *Exchange) {
			s.OnEstablished("f", server, 10*time.Millisecond)
			s.OnLatencySample(server, time.Second)
		}, true},
		{"what is held here and is well is no matter of others'", []Record{reported("a", 1, Late, 3), reported("b", 1, Late, 3)}, func(s *Exchange) {
			s.OnEstablished("f", server, 10*time.Millisecond)
		}, false},
		{"own name", []Record{reported("me", 9, Late, 3), reported("b", 1, Late, 3)}, nil, false},
	} {
		t.Run(x.name, func(t *testing.T) {
			s := fresh("me")
			if x.own != nil {
				x.own(s)
			}
			for _, r := range x.records {
				s.Merge(r)
			}
			s.SetTime(at(100.3))
			cost, why := s.ServerCost("g", server)
			if (cost > 0) != x.penalised || why != "" {
				t.Errorf("cost %g, why %q, want it penalised: %v", cost, why, x.penalised)
			}
			if x.penalised && s.ExplainCost(server) == "" {
				t.Error("nothing explains it")
			}
			s.enabled = false
			if cost, _ := s.ServerCost("g", server); cost != 0 {
				t.Error("switched off it bounds")
			}
		})
	}
}

// Trouble fades, is let go by each at a time of its own, and is held for longer when it is found again.
func TestTroubleFadesAndIsHeldLonger(t *testing.T) {
	s := fresh("me")
	penaltyTime := func(from float64, seq Sequence) float64 {
		s.SetTime(at(from))
		s.Merge(reported("a", seq, Late, 1))
		s.Merge(reported("b", seq, Late, 1))
		for now := from; ; now += 0.05 {
			s.SetTime(at(now + 0.3))
			if cost, _ := s.ServerCost("g", server); cost == 0 {
				return now - from
			}
		}
	}
	first := penaltyTime(100, 1)
	second := penaltyTime(100+first+1, 2)
	if first < troubleValid.Seconds()+firstPenaltyTime.Seconds()-1 || first > troubleValid.Seconds()+firstPenaltyTime.Seconds()+3*releaseInterval.Seconds()+1 {
		t.Errorf("held for %.1f s", first)
	}
	if second < first+0.5*firstPenaltyTime.Seconds() {
		t.Errorf("held for %.1f s, then again for %.1f s: want longer", first, second)
	}
	// Two that hold connections there and say that all is well end it.
	s.SetTime(at(500))
	s.Merge(reported("a", 3, Late, 1))
	s.Merge(reported("b", 3, Late, 1))
	s.SetTime(at(500.3))
	if cost, _ := s.ServerCost("g", server); cost == 0 {
		t.Fatal("not found again")
	}
	s.Merge(reported("a", 4, Healthy, 1))
	s.Merge(reported("b", 4, Healthy, 1))
	s.SetTime(at(500.6))
	if cost, _ := s.ServerCost("g", server); cost != 0 {
		t.Error("penalised though those who are there say that it is well")
	}
}

// The reports of whoever is no member do not count, under however many names they come.
func TestOnlyMembersReportsCount(t *testing.T) {
	s := fresh("me")
	s.SetReporters([]Origin{"me", "a"})
	for _, o := range []Origin{"a", "a-2", "a-3", "gone"} {
		s.Merge(reported(o, 1, Silent, 5))
	}
	s.SetTime(at(100.3))
	if cost, _ := s.ServerCost("g", server); cost != 0 {
		t.Error("one member and three strangers had it penalised")
	}
	s.SetReporters([]Origin{"me", "a", "gone"})
	s.SetTime(at(100.6))
	if cost, _ := s.ServerCost("g", server); cost == 0 {
		t.Error("two members did not")
	}
}

// Trouble of many is no matter of single servers: beyond a tenth of them, one at the least, none is left out.
func TestSharedTroubleLeavesNoneOut(t *testing.T) {
	for _, x := range []struct {
		servers, ill int
		penalised    bool
	}{{4, 1, true}, {4, 2, false}, {40, 4, true}, {40, 5, false}} {
		s := fresh("me")
		for i := range x.servers {
			s.OnEndpoint(decide.Endpoint{ID: decide.ServerID(i), Zone: "a", Size: 1, Readiness: decide.Ready})
		}
		for _, o := range []Origin{"a", "b"} {
			r := Record{Origin: o, Incarnation: 1, Sequence: 1}
			for i := range x.ill {
				r.Reports = append(r.Reports, Report{decide.ServerID(i), Late, 1, 0})
			}
			s.Merge(r)
		}
		s.SetTime(at(100.3))
		if cost, _ := s.ServerCost("f", 0); (cost > 0) != x.penalised {
			t.Errorf("%d of %d in trouble: cost %g, want it penalised: %v", x.ill, x.servers, cost, x.penalised)
		}
	}
}

func TestFirstHand(t *testing.T) {
	fail := func(o decide.Outcome) func(*Exchange) {
		return func(s *Exchange) {
			s.OnAttempt("f", server)
			s.OnEnded("f", server, o, false)
		}
	}
	up := func(took time.Duration) func(*Exchange) {
		return func(s *Exchange) { s.OnEstablished("f", server, took) }
	}
	for _, x := range []struct {
		name     string
		do       []func(*Exchange)
		want     Fault
		reported bool
	}{
		{"nothing", nil, Healthy, false},
		{"stands", []func(*Exchange){up(20 * time.Millisecond)}, Healthy, true},
		{"stands, set up late", []func(*Exchange){up(time.Second)}, Late, true},
		{"a late message", []func(*Exchange){up(20 * time.Millisecond), func(s *Exchange) { s.OnLatencySample(server, time.Second) }}, Late, true},
		{"late no more", []func(*Exchange){up(20 * time.Millisecond), func(s *Exchange) { s.OnLatencySample(server, time.Second) }, func(s *Exchange) { s.OnLatencySample(server, time.Millisecond) }}, Healthy, true},
		{"one failure is chance", []func(*Exchange){fail(decide.Error)}, Healthy, false},
		{"two failures", []func(*Exchange){fail(decide.Error), fail(decide.Reset)}, Failing, true},
		{"full is no trouble", []func(*Exchange){fail(decide.Full), fail(decide.Full)}, Healthy, false},
		{"nothing comes back", []func(*Exchange){fail(decide.TimedOut), fail(decide.Unreachable)}, Silent, true},
	} {
		t.Run(x.name, func(t *testing.T) {
			s := fresh("me")
			for _, do := range x.do {
				do(s)
			}
			s.SetTime(at(100.3))
			r, due := s.Publish(3)
			if !due || (len(r.Reports) == 1) != x.reported || x.reported && r.Reports[0].Fault != x.want {
				t.Errorf("published %v %+v, want %v", due, r.Reports, x.want)
			}
			// It was published: nothing new is due until something changes, or the rest is over.
			s.SetTime(at(100.6))
			if _, due := s.Publish(3); due {
				t.Error("published again at once")
			}
			s.SetTime(at(103))
			if _, due := s.Publish(3); !due {
				t.Error("not published again")
			}
			s.SetTime(at(106))
			if _, due := s.Publish(300); due {
				t.Error("a large fleet hears as often as a small one")
			}
		})
	}
}

// The merge's laws: order, repeats and grouping of what comes don't matter.
func TestMergeIsAJoin(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		record := rapid.Custom(func(t *rapid.T) Record {
			r := Record{Origin: Origin(rapid.SampledFrom([]string{"a", "b", "c", "me"}).Draw(t, "origin")), Incarnation: Incarnation(rapid.IntRange(1, 3).Draw(t, "inc")),
				Sequence: Sequence(rapid.IntRange(1, 4).Draw(t, "seq"))}
			r.Build = fmt.Sprint(r.Origin, r.Incarnation, r.Sequence) // one state of one origin has one content
			return r
		})
		list := rapid.SliceOfN(record, 0, 30).Draw(t, "records")
		other := rapid.Permutation(list).Draw(t, "order")
		if len(list) > 0 {
			other = append(other, rapid.SliceOfN(rapid.SampledFrom(list), 0, 5).Draw(t, "again")...)
		}
		one, two := NewStore("me"), NewStore("me")
		for _, r := range list {
			one.Merge(r, 0)
		}
		for _, r := range other {
			two.Merge(r, 0)
		}
		a, _ := one.All(0)
		b, _ := two.All(0)
		if !reflect.DeepEqual(a, b) {
			t.Fatalf("%v\n%v", a, b)
		}
		for _, r := range list {
			if one.Merge(r, 0) {
				t.Fatalf("%v was news twice", r)
			}
		}
	})
}

func TestWire(t *testing.T) {
	r := Record{Origin: "b3", Incarnation: 17, Sequence: 4, Build: "abc", Settings: "12", Rate: 3.5,
		Reports: []Report{{7, Late, 3, 1500 * time.Millisecond}, {8, Healthy, 12, 0}}, LoadReports: []LoadReport{{7, 0.625, 3, 20 * time.Millisecond}}}
	b, err := Encode(r)
	if err != nil {
		t.Fatal(err)
	}
	if got, err := Decode(b); err != nil || !reflect.DeepEqual(got, r) {
		t.Errorf("%+v, %v", got, err)
	}
	many := r
	for i := range 500 {
		many.LoadReports = append(many.LoadReports, LoadReport{decide.ServerID(1<<31 + i), 0.5, 1 << 40, time.Hour})
		many.Reports = append(many.Reports, Report{decide.ServerID(1<<31 + i), Late, 1000, time.Hour})
	}
	if b, err := Encode(many); err != nil || len(b) > maxRecordBytes {
		t.Errorf("%d bytes, %v", len(b), err)
	}
	later := func(change func(map[int]any)) []byte {
		m := map[int]any{keyVersion: Version, keyKind: kindRecord, keyOrigin: "b3", keyIncarnation: 1, keySequence: 1}
		change(m)
		b, err := encoder.Marshal(m)
		if err != nil {
			t.Fatal(err)
		}
		return b
	}
	for _, x := range []struct {
		name string
		b    []byte
		want error
	}{
		{"a later build's keys", later(func(m map[int]any) {
			m[99] = map[string]int{"x": 1}
			m[keyReports] = [][]int64{{7, 1, 1, 0, 55}, {7, 9, 1, 0}, {7}}
		}), nil},
		{"a later build's byte for each of many servers", later(func(m map[int]any) {
			m[99], m[keyReports] = make([]int64, 1024), [][]int64{{7, 1, 1, 0}}
		}), nil},
		{"a later kind", later(func(m map[int]any) { m[keyKind] = 2 }), ErrKind},
		{"a later version", later(func(m map[int]any) { m[keyVersion] = 2 }), ErrVersion},
		{"no origin", later(func(m map[int]any) { delete(m, keyOrigin) }), ErrMalformed},
		{"an origin that is a number", later(func(m map[int]any) { m[keyOrigin] = 5 }), ErrMalformed},
		{"an incarnation beyond all", later(func(m map[int]any) { m[keyIncarnation] = uint64(1<<64 - 1) }), ErrMalformed},
		{"cut", b[:len(b)/2], ErrMalformed},
		{"empty", nil, ErrMalformed},
		{"a megabyte", make([]byte, 1<<20), ErrMalformed},
	} {
		t.Run(x.name, func(t *testing.T) {
			r, err := Decode(x.b)
			var e *Error
			if !errors.Is(err, x.want) || err != nil && (!errors.As(err, &e) || e.Advice() == "") {
				t.Errorf("%+v, %v; want %v and what to do", r, err, x.want)
			}
			if err == nil && len(r.Reports) != 1 {
				t.Errorf("reports %+v", r.Reports)
			}
		})
	}
}

// A fleet of 1,024 balancers before 1,024 servers passes whole: each one's record, and the full state, a part at a time.
func TestWireOfMany(t *testing.T) {
	const many = 1024
	s, asks := fresh("n0"), fresh("asks")
	all := map[decide.ServerID]bool{}
	for i := 1; i < many; i++ {
		r := Record{Origin: Origin(fmt.Sprint("n", i)), Incarnation: 1, Sequence: 1}
		for k := range 20 {
			r.Reports = append(r.Reports, Report{decide.ServerID((i*20 + k) % many), Healthy, 1, 0})
		}
		b, err := Encode(r)
		if err != nil {
			t.Fatal(err)
		}
		r, err = Decode(b)
		if err != nil || len(r.Reports) != 20 || !s.Merge(r) {
			t.Fatalf("%+v, %v", r, err)
		}
		for _, v := range r.Reports {
			all[v.Server] = true
		}
	}
	if list, _ := s.Records(); len(list) != many-1 || len(all) != many {
		t.Errorf("%d origins and %d servers are known", len(list), len(all))
	}
	for range 2 * many / maxFullState * 2 {
		var parts [][]byte
		for _, r := range s.FullState() {
			b, err := Encode(r)
			if err != nil {
				t.Fatal(err)
			}
			parts = append(parts, b)
		}
		whole, err := EncodeAll(parts)
		if err != nil {
			t.Fatal(err)
		}
		if parts, err = DecodeAll(whole); err != nil {
			t.Fatal(err)
		}
		for _, b := range parts {
			r, err := Decode(b)
			if err != nil {
				t.Fatal(err)
			}
			asks.Merge(r)
		}
	}
	if list, _ := asks.Records(); len(list) != many-1 {
		t.Errorf("%d origins are known to who asks", len(list))
	}
}

func FuzzDecode(f *testing.F) {
	b, _ := Encode(Record{Origin: "b3", Incarnation: 17, Sequence: 4, Reports: []Report{{7, Late, 3, 0}}})
	f.Add(b)
	f.Add([]byte{0xa1, 0x00, 0x01})
	f.Fuzz(func(t *testing.T, b []byte) {
		r, err := Decode(b)
		if err != nil {
			return
		}
		if again, err := Encode(r); err != nil || len(again) > maxRecordBytes {
			t.Fatalf("%+v: %d bytes, %v", r, len(again), err)
		}
		s := fresh("me")
		s.Merge(r)
		s.SetTime(at(101))
		s.ServerCost("f", server)
	})
}

// A restart whose clock went back, or that forgot, still publishes as the later one.
func TestOwnRecordFromBefore(t *testing.T) {
	s := fresh("me")
	s.Merge(reported("me", 9, Late, 1))
	r, due := s.Publish(3)
	if !due || r.Incarnation != 2 {
		t.Errorf("published %v as incarnation %d", due, r.Incarnation)
	}
}
