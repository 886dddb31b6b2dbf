package scale

import (
	"context"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"math"
	"math/rand/v2"
	"reflect"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/hashicorp/memberlist"

	"yardwinch/fleet/signals"
	"yardwinch/internal/membership"
)

// checkGrowth fails the test if a quantity grows faster than the size to the given exponent.
func checkGrowth(t *testing.T, quantity string, from, to Point, exponent float64) {
	t.Helper()
	const tolerance = 0.08
	if got := math.Log(to.Value/from.Value) / math.Log(to.Size/from.Size); got > exponent+tolerance {
		t.Errorf("%s: grows with exponent %.2f from size %v to %v (%v to %v), want at most %.2f",
			quantity, got, from.Size, to.Size, from.Value, to.Value, exponent)
	}
}

func gossipAt(t *testing.T, members, reports int) gossipResult {
	t.Helper()
	size, err := recordBytesOf(reports)
	if err != nil {
		t.Fatal(err)
	}
	result, err := simulateGossip(t.Context(), gossipRun{
		members:         members,
		recordBytes:     size,
		replaced:        1,
		firstJustJoined: true,
		seed:            1,
	})
	if err != nil {
		t.Fatal(err)
	}
	return result
}

func TestGossipIsDeterministic(t *testing.T) {
	if a, b := gossipAt(t, 60, 4), gossipAt(t, 60, 4); a != b {
		t.Errorf("two runs with one seed yielded %+v and %+v", a, b)
	}
}

func TestGossipTrafficIsBounded(t *testing.T) {
	few, many := gossipAt(t, 110, signals.MaxReports), gossipAt(t, 900, signals.MaxReports)
	checkGrowth(t, "bytes of gossip and pings", Point{Size: 110, Value: few.totalBytes()}, Point{Size: 900, Value: many.totalBytes()}, 0)
	checkGrowth(t, "datagrams", Point{Size: 110, Value: few.gossipDatagrams + few.probeDatagrams},
		Point{Size: 900, Value: many.gossipDatagrams + many.probeDatagrams}, 0)
	const spare = 1 // acks a second beyond the two that a member is asked for on average
	const most = (gossipFanout/0.2 + 2/0.5 + spare) * (maxPacketBytes + datagramHeaders + checksumBytes)
	if many.joinerBytes > most {
		t.Errorf("a joining member sends %.0f bytes/s, want at most the %.0f that the settings allow", many.joinerBytes, float64(most))
	}
	few, many = gossipAt(t, 110, fewReports), gossipAt(t, 900, fewReports)
	const logarithmic = 0.2
	checkGrowth(t, "records received", Point{Size: 110, Value: few.records}, Point{Size: 900, Value: many.records}, logarithmic)
	if few.reachedShare < 0.99 || many.reachedShare < 0.99 {
		t.Errorf("small records reach shares of %.3f and %.3f of the other members within 5 s, want at least 0.99",
			few.reachedShare, many.reachedShare)
	}
}

func TestKnownOriginsAreBounded(t *testing.T) {
	m := newGossipModel(gossipRun{members: signals.MaxOrigins + 500, recordBytes: 100, seed: 1})
	for i := range 20 {
		if got := m.members[i].origins; got != signals.MaxOrigins {
			t.Fatalf("member %d knows %d origins, want %d", i, got, signals.MaxOrigins)
		}
	}
}

// queuedText is a message for memberlist's own queue.
type queuedText string

func (t queuedText) Invalidates(memberlist.Broadcast) bool { return false }
func (t queuedText) Message() []byte                       { return []byte(t) }
func (t queuedText) Finished()                             {}

// For messages of one size the model's queue returns the same messages as memberlist's.
func TestBroadcastQueueMatchesMemberlist(t *testing.T) {
	const (
		members, multiplier = 200, 2
		overhead, length    = 3, 4
	)
	random := rand.New(rand.NewPCG(1, 1))
	engine := memberlist.TransmitLimitedQueue{NumNodes: func() int { return members }, RetransmitMult: multiplier}
	model := newBroadcastQueue(retransmits(multiplier, members))
	size := func(broadcastID) int { return length }
	all := func(broadcastID) bool { return true }
	for step, next := 0, broadcastID(0); step < 2000; step++ {
		for range random.IntN(3) {
			next++
			engine.QueueBroadcast(queuedText(fmt.Sprintf("%04d", next)))
			model.add(next)
		}
		capacity := random.IntN(60)
		var want, got []string
		for _, text := range engine.GetBroadcasts(overhead, capacity) {
			want = append(want, string(text))
		}
		ids, free := model.take(nil, capacity, overhead, size, all)
		for _, id := range ids {
			got = append(got, fmt.Sprintf("%04d", id))
		}
		if !slices.Equal(got, want) || free != capacity-len(ids)*(overhead+length) {
			t.Fatalf("step %d, packet of %d bytes: got %v, memberlist has %v; %d bytes free", step, capacity, got, want, free)
		}
		if model.length != engine.NumQueued() {
			t.Fatalf("step %d: %d messages queued, memberlist has %d", step, model.length, engine.NumQueued())
		}
	}
}

func TestSupersededBroadcastIsDropped(t *testing.T) {
	q := newBroadcastQueue(2)
	q.add(4)
	ids, free := q.take(nil, 20, 0, func(broadcastID) int { return 10 }, func(broadcastID) bool { return false })
	if len(ids) > 0 || free != 20 || q.length != 0 {
		t.Errorf("a superseded message was sent or kept: sent %v, %d bytes free, %d queued", ids, free, q.length)
	}
}

// The model's exchange message is accepted by the engine and has the size of the engine's own.
func TestExchangeMessageMatchesTheEngine(t *testing.T) {
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
		t.Errorf("%d members known after an answer of %d bytes, want %d members and %d bytes", known, len(answer), count, len(message))
	}
}

func TestControlBytesGrowth(t *testing.T) {
	at := func(n int) float64 { return float64(len(exchangeMessage(n))) }
	checkGrowth(t, "bytes of an exchange", Point{Size: 200, Value: at(200)}, Point{Size: 2000, Value: at(2000)}, 1)
	frame := func(n int) float64 { return float64(len(newMemberView(n).frame())) }
	checkGrowth(t, "bytes of a list of members", Point{Size: 200, Value: frame(200)}, Point{Size: 2000, Value: frame(2000)}, 1)
	few, many := measureListSizes(200), measureListSizes(2000)
	checkGrowth(t, "bytes of a full list", Point{Size: 200, Value: float64(few.full)}, Point{Size: 2000, Value: float64(many.full)}, 1)
	checkGrowth(t, "bytes of a change", Point{Size: 200, Value: float64(few.changes(1))},
		Point{Size: 2000, Value: float64(many.changes(1))}, 0)
	if read := readFrame(newMemberView(30).frame()); read != 30 {
		t.Errorf("%d members decoded from a frame of 30", read)
	}
}

func TestListUpdateAllocationsGrowth(t *testing.T) {
	allocations := func(servers int) (fullList, change float64) {
		measurements := newControlMeasurements(Settings{Sweep: "lists", Against: keyServers, Rate: 0.2, Seed: 1}, roleList)
		if err := measurements.measureList(t.Context(), servers); err != nil {
			t.Fatal(err)
		}
		return measurements.series["whole-allocations"].Points[0].Value, measurements.series["change-allocations"].Points[0].Value
	}
	smallFullList, smallChange := allocations(200)
	largeFullList, largeChange := allocations(2000)
	checkGrowth(t, "allocations of a full list", Point{Size: 200, Value: smallFullList}, Point{Size: 2000, Value: largeFullList}, 1)
	checkGrowth(t, "allocations of a change", Point{Size: 200, Value: smallChange}, Point{Size: 2000, Value: largeChange}, 0.05)
}

func TestOversizedListFailsItsCheck(t *testing.T) {
	if testing.Short() {
		t.Skip("waits for the timeout of a rejected list")
	}
	measurements := newControlMeasurements(Settings{Sweep: "lists", Against: keyServers, Rate: 0.2, Seed: 1}, roleList)
	if err := measurements.measureList(t.Context(), 20_000); err != nil {
		t.Fatal(err)
	}
	if len(measurements.checks) != 1 || measurements.checks[0].Passed || measurements.series["memory"] != nil {
		t.Errorf("checks %+v, want one check that failed, and no point for the memory", measurements.checks)
	}
}

func TestSignalCostGrowth(t *testing.T) {
	at := func(members int) map[string]*Series {
		measurements := newControlMeasurements(Settings{Sweep: "signals", Against: keyBalancers, Servers: 300, Seed: 1}, roleSignals)
		if err := measurements.measureSignals(members, members, 2); err != nil {
			t.Fatal(err)
		}
		return measurements.series
	}
	value := func(s map[string]*Series, name string) float64 { return s[name].Points[0].Value }
	few, many := at(20), at(200)
	checkGrowth(t, "allocations of a received record", Point{Size: 20, Value: value(few, "hear-allocations")},
		Point{Size: 200, Value: value(many, "hear-allocations")}, 0)
	checkGrowth(t, "bytes of a record", Point{Size: 20, Value: value(few, "record-bytes")},
		Point{Size: 200, Value: value(many, "record-bytes")}, 0)
	checkGrowth(t, "observations visited", Point{Size: 20, Value: value(few, "sights-walked")},
		Point{Size: 200, Value: value(many, "sights-walked")}, 1)
	if value(few, "avoided") != 1 || value(many, "avoided") != 1 {
		t.Error("servers that all members observe as faulty are not avoided")
	}
}

func TestSmallFleetsHaveFewLeaseHolders(t *testing.T) {
	measurements := newControlMeasurements(Settings{Sweep: "leases", Against: keyBalancers, Servers: 100, Seed: 1}, roleLeases)
	measurements.countHolders(50, 50)
	measurements.countHolders(200, 200)
	points := measurements.series["holders"].Points
	if points[0].Value != 1 || points[1].Value > 4 {
		t.Errorf("mean numbers of lease holders %v, want one at 50 members and at most four at 200", points)
	}
}

func TestPushSimulation(t *testing.T) {
	simulate := func(plan pushPlan) pushResult {
		t.Helper()
		plan.balancers, plan.duration, plan.seed = 405, 60*time.Second, 1
		result, err := simulatePush(t.Context(), plan)
		if err != nil {
			t.Fatal(err)
		}
		return result
	}
	const rate = 0.2
	few, many := simulate(pushPlan{servers: 1000, rate: rate}), simulate(pushPlan{servers: 10_000, rate: rate})
	if !reflect.DeepEqual(few, simulate(pushPlan{servers: 1000, rate: rate})) {
		t.Error("two runs with one seed differ")
	}
	if len(few.changeLatencies) == 0 || len(few.changeLatencies)%405 != 0 {
		t.Errorf("%d change latencies, want one for each change and each of 405 balancers", len(few.changeLatencies))
	}
	// Bytes that grow with the servers are only those of the lists for balancers that start without state.
	starts := float64(len(many.fullListLatencies)) * float64(measureListSizes(10_000).full)
	fewStarts := float64(len(few.fullListLatencies)) * float64(measureListSizes(1000).full)
	checkGrowth(t, "bytes of changes", Point{Size: 1000, Value: few.bytes - fewStarts}, Point{Size: 10_000, Value: many.bytes - starts}, 0)
	fullLists := simulate(pushPlan{servers: 10_000, rate: rate, fullLists: true})
	if fullLists.bytes < 100*many.bytes {
		t.Errorf("full lists of 10,000 servers take %.0f bytes, changes %.0f; want at least 100 times as many", fullLists.bytes, many.bytes)
	}
	lost := simulate(pushPlan{servers: 10_000, rate: rate, takenOver: 405})
	if lost.recovery < lossDetection || len(lost.fullListLatencies) < 405 {
		t.Errorf("balancers of a lost machine have their list after %v, %d lists sent; want at least %v and 405 lists",
			lost.recovery, len(lost.fullListLatencies), lossDetection)
	}
	missed := simulate(pushPlan{servers: 1000, missed: 700, missedMode: catchUpMerged})
	if missed.recovery <= 0 || len(missed.changeLatencies) != 405*700 {
		t.Errorf("missed changes are in force after %v, %d latencies; want more than 0, and 405*700 latencies",
			missed.recovery, len(missed.changeLatencies))
	}
}

// The same changes lead to the same list whether they are sent one by one or merged.
func TestCatchUpFormsAgree(t *testing.T) {
	changed := changedServers(newGossipModel(gossipRun{members: 1, seed: 3}).random, 50, 200)
	last := map[string]string{}
	for _, o := range changesOneByOne(changed, 1) {
		last[o.Members[0].ID] = o.Members[0].Phase
	}
	merged := changesMerged(changed, 1)
	if merged.Revision != len(changed) || len(merged.Members) != len(last) {
		t.Errorf("the merged object has revision %d and %d servers, want %d and %d", merged.Revision, len(merged.Members), len(changed), len(last))
	}
	for _, e := range merged.Members {
		if last[e.ID] != e.Phase {
			t.Errorf("%s is %s in the merged object, want %s as after the changes one by one", e.ID, e.Phase, last[e.ID])
		}
	}
}

// stateCounter reads the messages that internal/membership/engine logs about the states of members.
func TestStateCounterReadsTheEnginesLog(t *testing.T) {
	counter := &stateCounter{Handler: slog.NewTextHandler(io.Discard, nil), state: membership.Left}
	previous := slog.Default()
	slog.SetDefault(slog.New(counter))
	defer slog.SetDefault(previous)
	fleet, err := startRealFleet(t.Context(), 2, 100)
	if err != nil {
		t.Fatal(err)
	}
	err = fleet.awaitMembership(t.Context())
	fleet.stop() // each leaves, which the other or the engine itself logs
	if err != nil {
		t.Fatal(err)
	}
	if counter.count.Load() == 0 {
		t.Error("two engines left, but no departure was counted")
	}
}

func TestInvalidControlExperiments(t *testing.T) {
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
		{"sweep = \"signals\"\nagainst = \"troubled\"\nsizes = [20]\nservers = 10\nbalancers = 5\n",
			"sizes: want no more faulty servers"},
		{"sweep = \"changes\"\nsizes = [17000]\nservers = 100\nbalancers = 19\n", "balancers: want at least 20"},
		{"sweep = \"cut\"\nsizes = [700]\nservers = 100\nbalancers = 1\n", "balancers: want at least 20"},
		{"sweep = \"members-real\"\nsizes = [5000]\nlength = \"1s\"\n", "sizes: want at most 200"},
		{"sweep = \"members-real\"\nsizes = [5]\nlength = \"soon\"\n", "length"},
	} {
		_, err := Read("x.toml", []byte(c.text))
		var typed *Error
		if !errors.As(err, &typed) || !strings.Contains(err.Error(), c.want) || !strings.HasPrefix(typed.Where, "x.toml") {
			t.Errorf("%q: got %v, want an error that names the file and %s", c.text, err, c.want)
		}
	}
}

func TestControlSweepsStopWithTheirContext(t *testing.T) {
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	for _, s := range []Settings{
		{Sweep: "members", Against: keyBalancers, Sizes: []int{30}, Rate: 1},
		{Sweep: "members-replaced", Against: byReplacements, Sizes: []int{30}, Balancers: 30},
		{Sweep: "changes", Against: byChanges, Sizes: []int{17000}, Servers: 100, Balancers: 100},
		{Sweep: "signals", Against: keyBalancers, Sizes: []int{30}, Servers: 30},
		{Sweep: "leases", Against: keyBalancers, Sizes: []int{30}, Servers: 30},
	} {
		series, _, err := sweeps[s.Sweep](ctx, s, func(int, int) {})
		if err == nil || series != nil {
			t.Errorf("%s with a cancelled context: error %v, %d series; want an error and no series", s.Sweep, err, len(series))
		}
	}
}
