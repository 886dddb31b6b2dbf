package decide

import (
	"encoding/json"
	"fmt"
	"reflect"
	"testing"
	"time"
	"unsafe"

	"yardwinch/internal/statefields"
)

const (
	settings   = "a setting, which the successor reads itself"
	byFlows    = "follows from the flows, which are handed over with their connections"
	byList     = "follows from the servers that are handed over"
	unanswered = "of flows that are not established; they stay with the process that accepted them"
	ownNumber  = "a number for use in this process alone"
)

// handedOverFields says what becomes of each field of the state in a hand-over.
var handedOverFields = map[reflect.Type]statefields.Fields{
	reflect.TypeFor[Balancer](): {
		HandedOver: []string{"now", "admission", "health", "list"},
		NotHanded: map[string]string{
			"actions":       "how this process acts",
			"random":        "each process has its own seed",
			"constraints":   "learn from events; their list of servers is handed over",
			"flows":         byFlows,
			"tallies":       byFlows,
			"placement":     settings,
			"slowStart":     settings,
			"services":      settings,
			"customerFlows": byFlows,
		},
	},
	reflect.TypeFor[admission](): {
		HandedOver: []string{"concurrencyLimit", "spacing", "backoffUntil", "recentSetups", "lastConnectAt", "rejectedSince"},
		NotHanded: map[string]string{
			"queue":       unanswered,
			"decreasedAt": "keeps two decreases at most 250 ms apart",
		},
	},
	reflect.TypeFor[health](): {
		HandedOver: []string{"setupTimes", "lastSetupAt", "checkCredit", "flowLimit"},
		NotHanded: map[string]string{
			"checksReturnLoad":  settings,
			"overview":          "cached for one event or tick",
			"medianFailureRate": "cached for one event or tick",
			"healthy":           "cached for one event or tick",
		},
	},
	reflect.TypeFor[slowStart](): {
		NotHanded: map[string]string{
			"SlowStart":  settings,
			"quotas":     settings,
			"handedOver": "says which of the two processes spends the budgets",
		},
	},
	reflect.TypeFor[endpointList](): {
		HandedOver: []string{"byID", "baselineSize"},
		NotHanded: map[string]string{
			"EndpointSettings": settings,
			"all":              byList,
			"unsorted":         byList,
			"ready":            byList,
			"departing":        byList,
			"updateKind":       "of an update that is being applied",
			"pollBackoff":      "the successor polls at once",
			"totals":           byList,
			"lowestLoad":       byList,
			"meanLargestSize":  byList,
			"local":            byList,
			"zones":            byList,
			"cells":            byList,
			"preferredIndex":   byList,
			"selection":        ownNumber,
			"candidates":       "of the last decision",
		},
	},
	reflect.TypeFor[serverState](): {
		HandedOver: []string{"size", "startedAt", "consecutiveUnreachable", "latency", "id", "ejected", "disabled", "zone",
			"overloadedAt", "loadReportedAt", "reportedLoad", "limit", "cell", "largestSize", "listedReadiness", "samples",
			"ejectedUntil", "ejectionTime", "probationLimit", "latencyAt", "budgetDue", "budgetSpent", "budgetAt"},
		NotHanded: map[string]string{
			"lastSelection":   ownNumber,
			"readiness":       "follows from listedReadiness and disabled",
			"openFlows":       byFlows,
			"inUpdate":        "of an update that is being applied",
			"incarnation":     ownNumber,
			"groupTallies":    byFlows,
			"established":     byFlows,
			"probationFlows":  "limits new flows; those that are handed over are established",
			"healthCheckedAt": "orders the health checks, which begin a new round",
		},
	},
	reflect.TypeFor[flow](): {
		HandedOver: []string{"service", "customer", "group", "server"},
		NotHanded: map[string]string{
			"id":           ownNumber,
			"state":        "only established flows are handed over",
			"arrivedAt":    unanswered,
			"deadline":     unanswered,
			"attempts":     unanswered,
			"outstanding":  "1 for an established flow",
			"incarnation":  ownNumber,
			"leased":       "true for an established flow",
			"onProbation":  "see serverState.probationFlows",
			"inSlowStart":  unanswered,
			"attempted":    unanswered,
			"sentAt":       unanswered,
			"mayHaveRun":   unanswered,
			"firstRunAt":   unanswered,
			"firstRunZone": unanswered,
			"firstRunCell": unanswered,
			"listIndex":    ownNumber,
			"serverIndex":  ownNumber,
		},
	},
}

// Guards against state that is forgotten in a hand-over: a new field must be handed over, or be listed with a reason.
func TestHandedOverFields(t *testing.T) {
	for structType, fields := range handedOverFields {
		for _, problem := range fields.Problems(structType) {
			t.Error(problem)
		}
	}
}

// Guards against fields that are handed over in part, or not at all: each field that is listed as handed over gets a
// value, and has the same value in the successor.
func TestHandedOverFieldsArriveInSuccessor(t *testing.T) {
	from, to := newHarness(t, Idempotent, DeduplicatedByFleet, 1).balancer, newHarness(t, Idempotent, DeduplicatedByFleet, 1).balancer
	from.SetTime(100 * sec)
	to.SetTime(100 * sec)
	compare := []struct {
		name     string
		from, to func() any // pointers to the structs
		except   []string   // set by hand below
	}{
		{"admission", func() any { return &from.admission }, func() any { return &to.admission }, nil},
		{"health", func() any { return &from.health }, func() any { return &to.health }, nil},
		{"server", func() any { return from.list.byID[1] }, func() any { return to.list.byID[1] }, []string{"id", "listedReadiness"}},
	}
	for i, c := range compare {
		fill(t, c.from(), c.except, i+1)
	}
	from.list.byID[1].listedReadiness = Draining
	from.list.baselineSize = 7
	text, err := json.Marshal(from.Snapshot())
	if err != nil {
		t.Fatal(err)
	}
	var snapshot Snapshot
	if err := json.Unmarshal(text, &snapshot); err != nil {
		t.Fatal(err)
	}
	if err := snapshot.Validate(); err != nil {
		t.Fatal(err)
	}
	to.Restore(snapshot)
	if to.list.baselineSize != 7 || to.list.byID[1].listedReadiness != Draining {
		t.Errorf("baseline size %v, readiness %v; want 7 and draining", to.list.baselineSize, to.list.byID[1].listedReadiness)
	}
	for _, c := range compare {
		structType := reflect.TypeOf(c.from()).Elem()
		for _, name := range handedOverFields[structType].HandedOver {
			want, got := fieldOf(c.from(), name), fieldOf(c.to(), name)
			if !reflect.DeepEqual(want.Interface(), got.Interface()) {
				t.Errorf("%s.%s is %v in the successor, want %v", c.name, name, got, want)
			}
		}
	}
}

// fieldOf returns a field of a struct, which may be set although it is not exported.
func fieldOf(structPointer any, name string) reflect.Value {
	field := reflect.ValueOf(structPointer).Elem().FieldByName(name)
	return reflect.NewAt(field.Type(), unsafe.Pointer(field.UnsafeAddr())).Elem()
}

// fill sets each field that is handed over to a value of its own.
func fill(t *testing.T, structPointer any, except []string, seed int) {
	t.Helper()
	skipped := map[string]bool{}
	for _, name := range except {
		skipped[name] = true
	}
	for i, name := range handedOverFields[reflect.TypeOf(structPointer).Elem()].HandedOver {
		if skipped[name] {
			continue
		}
		n := 100*seed + i + 1
		field := fieldOf(structPointer, name)
		at := 99*sec + time.Duration(n)*ms
		switch field.Interface().(type) {
		case time.Duration:
			field.SetInt(int64(at))
		case []time.Duration:
			field.Set(reflect.ValueOf([]time.Duration{at, at + ms}))
		case []sample:
			field.Set(reflect.ValueOf([]sample{{at, true}, {at + ms, false}}))
		case flowLimit:
			field.Set(reflect.ValueOf(flowLimit{flows: float64(n), growth: float64(n + 1), reducedAt: at}))
		default:
			setNumber(t, field, name, n)
		}
	}
}

// setNumber sets a field of a basic kind.
func setNumber(t *testing.T, field reflect.Value, name string, n int) {
	t.Helper()
	switch field.Kind() {
	case reflect.Int:
		field.SetInt(int64(n))
	case reflect.Float64:
		field.SetFloat(float64(n%40) + 0.5) // within the concurrency limit
	case reflect.Bool:
		field.SetBool(true)
	case reflect.String:
		field.SetString(fmt.Sprint("v", n))
	default:
		t.Fatalf("%s: no value for a %v", name, field.Type())
	}
}
