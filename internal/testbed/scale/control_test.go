package scale

import (
	"context"
	"errors"
	"fmt"
	"math"
	"math/rand/v2"
	"reflect"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/hashicorp/memberlist"

	"yardwinch/fleet/signals"
)

// growth is the exponent of a quantity that goes from one value to another while a size does.
func growth(fromSize, toSize, from, to float64) float64 {
	return math.Log(to/from) / math.Log(toSize/fromSize)
}

// steeper fails the test where a quantity grows faster than its row of docs/CAPACITY.md says.
func steeper(t *testing.T, what string, fromSize, toSize, from, to, exponent float64) {
	t.Helper()
	const tolerance = 0.08
	if got := growth(fromSize, toSize, from, to); got > exponent+tolerance {
		t.Errorf("%s: grows with the power %.2f from %v to %v (%v to %v), want %.2f at the most", what, got, fromSize, toSize, from, to, exponent)
	}
}

func gossipAt(t *testing.T, members, sights int) gossipResult {
	t.Helper()
	size, err := recordBytesOf(sights)
	if err != nil {
		t.Fatal(err)
	}
	result, err := playGossip(context.Background(), gossipRun{members: members, recordBytes: size, replaced: 1, joined: true, seed: 1})
	if err != nil {
		t.Fatal(err)
	}
	return result
}

func TestGossipIsTheSameFromOneSeed(t *testing.T) {
	if a, b := gossipAt(t, 60, 4), gossipAt(t, 60, 4); a != b {
		t.Errorf("%+v\n%+v", a, b)
	}
}

func TestGossipOfAMemberIsBounded(t *testing.T) {
	few, many := gossipAt(t, 110, signals.MaxReports), gossipAt(t, 900, signals.MaxReports)
	steeper(t, "bytes of gossip and probes", 110, 900, few.bytes(), many.bytes(), 0)
	steeper(t, "datagrams", 110, 900, few.recordDatagrams+few.probeDatagrams, many.recordDatagrams+many.probeDatagrams, 0)
	const spare = 1 // answers a second more than the two that a member is asked for on average
	const most = (gossipTo/0.2 + 2/0.5 + spare) * (longestPacket + datagramHeaders + checksumBytes)
	if many.joinerBytes > most {
		t.Errorf("one that joined sends %.0f bytes a second, and %.0f is what the settings allow", many.joinerBytes, float64(most))
	}
	few, many = gossipAt(t, 110, fewReports), gossipAt(t, 900, fewReports)
	steeper(t, "records heard", 110, 900, few.records, many.records, 0.2) // as the logarithm of the members
	if few.reach < 0.99 || many.reach < 0.99 {
		t.Errorf("small records reach %.3f and %.3f of the others within 5 s", few.reach, many.reach)
	}
}

func TestMoreMembersThanRecordsAreNotAllReceived(t *testing.T) {
	m := newGossipModel(gossipRun{members: signals.MaxOrigins + 500, recordBytes: 100, seed: 1})
	for i := range 20 {
		if got := m.all[i].origins; got != signals.MaxOrigins {
			t.Fatalf("member %d knows %d origins, want %d", i, got, signals.MaxOrigins)
		}
	}
}

// queuedText is a message as memberlist's own queue has it.
type queuedText string

func (t queuedText) Invalidates(memberlist.Broadcast) bool { return false }
func (t queuedText) Message() []byte                       { return []byte(t) }
func (t queuedText) Finished()                             {}

// For messages of one size the model's queue gives what memberlist's does.
func TestBroadcastQueueIsAsMemberlistsIs(t *testing.T) {
	const (
		members, multiplier = 200, 2
		overhead, length    = 3, 4
	)
	chance := rand.New(rand.NewPCG(1, 1))
	engine := memberlist.TransmitLimitedQueue{NumNodes: func() int { return members }, RetransmitMult: multiplier}
	model := newBroadcastQueue(retransmits(multiplier, members))
	size := func(broadcastID) int { return length }
	all := func(broadcastID) bool { return true }
	for step, next := 0, broadcastID(0); step < 2000; step++ {
		for range chance.IntN(3) {
			next++
			engine.QueueBroadcast(queuedText(fmt.Sprintf("%04d", next)))
			model.add(next)
		}
		room := chance.IntN(60)
		var want, got []string
		for _, text := range engine.GetBroadcasts(overhead, room) {
			want = append(want, string(text))
		}
		ids, free := model.take(nil, room, overhead, size, all)
		for _, id := range ids {
			got = append(got, fmt.Sprintf("%04d", id))
		}
		if !slices.Equal(got, want) || free != room-len(ids)*(overhead+length) {
			t.Fatalf("step %d, room for %d bytes: %v, memberlist %v; %d free", step, room, got, want, free)
		}
		if model.waiting != engine.NumQueued() {
			t.Fatalf("step %d: %d wait, at memberlist %d", step, model.waiting, engine.NumQueued())
		}
	}
}

func TestSupersededBroadcastIsDropped(t *testing.T) {
	q := newBroadcastQueue(2)
	q.add(4)
	ids, free := q.take(nil, 20, 0, func(broadcastID) int { return 10 }, func(broadcastID) bool { return false })
	if len(ids) > 0 || free != 20 || q.waiting != 0 {
		t.Errorf("what is superseded is sent: %v, %d free, %d wait", ids, free, q.waiting)
	}
}

// The sizes that the model reckons with are those that the engine itself writes.
func TestExchangeIsWrittenAsTheEngineDoes(t *testing.T) {
	const count = 40
	message := exchangeMessage(count)
	engine, err := joinedEngine(message)
	if err != nil {
		t.Fatal(err)
	}
	defer engine.close()
	answer, err := engine.exchange(message)
	if err != nil {
		t.Fatal(err)
	}
	if known := engine.list.NumMembers(); known != count || len(answer) != len(message) {
		t.Errorf("%d members are known, and the answer has %d bytes; want %d, and %d", known, len(answer), count, len(message))
	}
}

func TestControlBytesGrowAsTheirRowsClaim(t *testing.T) {
	at := func(n int) float64 { return float64(len(exchangeMessage(n))) }
	steeper(t, "bytes of an exchange", 200, 2000, at(200), at(2000), 1)
	frame := func(n int) float64 { return float64(len(newMemberView(n).frame())) }
	steeper(t, "bytes of a list of members", 200, 2000, frame(200), frame(2000), 1)
	few, many := measureListSizes(200), measureListSizes(2000)
	steeper(t, "bytes of a whole list", 200, 2000, float64(few.whole), float64(many.whole), 1)
	steeper(t, "bytes of a change", 200, 2000, float64(few.changes(1)), float64(many.changes(1)), 0)
	if read := readFrame(newMemberView(30).frame()); read != 30 {
		t.Errorf("%d members are read of a frame of 30", read)
	}
}

func TestReadingAListCostsAsItsRowClaims(t *testing.T) {
	made := func(servers int) (whole, one float64) {
		book := newControlBook(Settings{Sweep: "lists", Against: byServers, Rate: 0.2, Seed: 1}, roleList)
		if err := book.list(context.Background(), servers); err != nil {
			t.Fatal(err)
		}
		return book.series["whole-allocations"].Points[0].Value, book.series["change-allocations"].Points[0].Value
	}
	fewWhole, fewOne := made(200)
	manyWhole, manyOne := made(2000)
	steeper(t, "allocations of a whole list", 200, 2000, fewWhole, manyWhole, 1)
	steeper(t, "allocations of a change", 200, 2000, fewOne, manyOne, 0.05)
}

func TestListLongerThanIsTakenIsACheckThatFails(t *testing.T) {
	if testing.Short() {
		t.Skip("waits until the list was not taken")
	}
	book := newControlBook(Settings{Sweep: "lists", Against: byServers, Rate: 0.2, Seed: 1}, roleList)
	if err := book.list(context.Background(), 20_000); err != nil {
		t.Fatal(err)
	}
	if len(book.checks) != 1 || book.checks[0].Held || book.series["memory"] != nil {
		t.Errorf("%+v", book.checks)
	}
}

func TestReceivedSignalsCostTheSameInAnyFleet(t *testing.T) {
	at := func(members int) map[string]*Series {
		book := newControlBook(Settings{Sweep: "signals", Against: byBalancers, Servers: 300, Seed: 1}, roleSignals)
		if err := book.signals(members, members, 2); err != nil {
			t.Fatal(err)
		}
		return book.series
	}
	value := func(s map[string]*Series, name string) float64 { return s[name].Points[0].Value }
	few, many := at(20), at(200)
	steeper(t, "allocations of a record heard", 20, 200, value(few, "hear-allocations"), value(many, "hear-allocations"), 0)
	steeper(t, "bytes of a record", 20, 200, value(few, "record-bytes"), value(many, "record-bytes"), 0)
	steeper(t, "sights walked", 20, 200, value(few, "sights-walked"), value(many, "sights-walked"), 1)
	if value(few, "avoided") != 1 || value(many, "avoided") != 1 {
		t.Error("servers that all see in trouble are not avoided")
	}
}

func TestLeasesOfASmallFleetHaveOneHolder(t *testing.T) {
	book := newControlBook(Settings{Sweep: "leases", Against: byBalancers, Servers: 100, Seed: 1}, roleLeases)
	book.holders(50, 50)
	book.holders(200, 200)
	points := book.series["holders"].Points
	if points[0].Value != 1 || points[1].Value > 4 {
		t.Errorf("%v: want one holder at 50 members, four at the most at 200", points)
	}
}

func TestPushOfChanges(t *testing.T) {
	play := func(plan pushPlan) pushResult {
		t.Helper()
		plan.balancers, plan.length, plan.seed = 405, 60*time.Second, 1
		result, err := playPush(context.Background(), plan)
		if err != nil {
			t.Fatal(err)
		}
		return result
	}
	const rate = 0.2
	few, many := play(pushPlan{servers: 1000, rate: rate}), play(pushPlan{servers: 10_000, rate: rate})
	if !reflect.DeepEqual(few, play(pushPlan{servers: 1000, rate: rate})) {
		t.Error("one seed gives two plays")
	}
	if len(few.times) == 0 || len(few.times)%405 != 0 {
		t.Errorf("%d times in force, want each change at each of 405 balancers", len(few.times))
	}
	// The lists of those that start with nothing are all that grows with the servers.
	starts := float64(len(many.first)) * float64(measureListSizes(10_000).whole)
	steeper(t, "bytes of changes", 1000, 10_000, few.bytes-float64(len(few.first))*float64(measureListSizes(1000).whole), many.bytes-starts, 0)
	whole := play(pushPlan{servers: 10_000, rate: rate, whole: true})
	if whole.bytes < 100*many.bytes {
		t.Errorf("whole lists of 10,000 servers are %.0f bytes, changes %.0f", whole.bytes, many.bytes)
	}
	lost := play(pushPlan{servers: 10_000, rate: rate, lost: 405})
	if lost.recovery < noticeLost || len(lost.first) < 405 {
		t.Errorf("those whose machine is lost have their list after %v, %d of them", lost.recovery, len(lost.first))
	}
	missed := play(pushPlan{servers: 1000, missed: 700, missedBy: missedMerged})
	if missed.recovery <= 0 || len(missed.times) != 405*700 {
		t.Errorf("missed changes come in after %v, %d of them", missed.recovery, len(missed.times))
	}
}

// What is told of changes comes to the same list, however it is told.
func TestMissedChangesAreTheSameInEachForm(t *testing.T) {
	which := changedServers(newGossipModel(gossipRun{members: 1, seed: 3}).chance, 50, 200)
	last := map[string]string{}
	for _, o := range changesOneByOne(which, 1) {
		last[o.Members[0].ID] = o.Members[0].Phase
	}
	merged := changesMerged(which, 1)
	if merged.Revision != len(which) || len(merged.Members) != len(last) {
		t.Errorf("revision %d with %d servers, want %d with %d", merged.Revision, len(merged.Members), len(which), len(last))
	}
	for _, e := range merged.Members {
		if last[e.ID] != e.Phase {
			t.Errorf("%s is %s, one by one %s", e.ID, e.Phase, last[e.ID])
		}
	}
}

func TestControlExperimentsThatAreWrong(t *testing.T) {
	for _, c := range []struct{ text, want string }{
		{"sweep = \"members\"\nsizes = [10, 20]\n", "rate"},
		{"sweep = \"members\"\nsizes = [10, 20]\nrate = 1.0\nservers = 5\n", "servers"},
		{"sweep = \"members\"\nsizes = [0, 20]\nrate = 1.0\n", "sizes"},
		{"sweep = \"members-real\"\nsizes = [10]\nlength = \"-3s\"\n", "length"},
		{"sweep = \"changes\"\nsizes = [17000]\nservers = 100\n", "balancers"},
		{"sweep = \"cut\"\nsizes = [-7]\nservers = 100\nbalancers = 100\n", "sizes"},
		{"sweep = \"leases\"\nagainst = \"zones\"\nsizes = [7]\nservers = 100\n", "against"},
		{"sweep = \"lists\"\nsizes = [99999999]\nrate = 1.0\n", "sizes"},
		{"sweep = \"signals\"\nagainst = \"troubled\"\nsizes = [7]\nservers = 100\n", "balancers"},
		{"sweep = \"signals\"\nsizes = [7]\nservers = 100\nsights = 3\n", "sights"},
		{"sweep = \"signals\"\nagainst = \"troubled\"\nsizes = [20]\nservers = 10\nbalancers = 5\n", "sizes: want no more servers in trouble"},
		{"sweep = \"changes\"\nsizes = [17000]\nservers = 100\nbalancers = 19\n", "balancers: want 20"},
		{"sweep = \"cut\"\nsizes = [700]\nservers = 100\nbalancers = 1\n", "balancers: want 20"},
		{"sweep = \"members-real\"\nsizes = [5000]\nlength = \"1s\"\n", "sizes: want 200"},
		{"sweep = \"members-real\"\nsizes = [5]\nlength = \"soon\"\n", "length"},
	} {
		_, err := Read("x.toml", []byte(c.text))
		var fault *Error
		if !errors.As(err, &fault) || !strings.Contains(err.Error(), c.want) || !strings.HasPrefix(fault.Where, "x.toml") {
			t.Errorf("%q: %v, want a fault that names the file and %s", c.text, err, c.want)
		}
	}
}

func TestControlSweepsStopWithTheirContext(t *testing.T) {
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	for _, s := range []Settings{
		{Sweep: "members", Against: byBalancers, Sizes: []int{30}, Rate: 1},
		{Sweep: "members-replaced", Against: byReplacements, Sizes: []int{30}, Balancers: 30},
		{Sweep: "changes", Against: byChanges, Sizes: []int{17000}, Servers: 100, Balancers: 100},
		{Sweep: "signals", Against: byBalancers, Sizes: []int{30}, Servers: 30},
		{Sweep: "leases", Against: byBalancers, Sizes: []int{30}, Servers: 30},
	} {
		series, _, err := sweeps[s.Sweep](ctx, s, func(int, int) {})
		if err == nil || series != nil {
			t.Errorf("%s goes on: %v", s.Sweep, err)
		}
	}
}
