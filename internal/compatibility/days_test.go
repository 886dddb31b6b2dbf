package compatibility

import (
	"fmt"
	"strconv"
	"strings"
	"time"
)

// scenario describes a cluster, its load and its faults. The values are chosen so that each kind of configuration is
// recorded once.
type scenario struct {
	name             string
	seconds          int
	instances        int
	servers          int
	flowRate         float64 // new flows per second and instance
	meanFlowDuration time.Duration
	capacity         int // flows that a server of size 1 serves without delay; it accepts twice as many
	settings         map[string]string
	faults           []fault
}

// fault is a scheduled change of one server, of an instance or, if its kind begins with all-, of all servers.
type fault struct {
	at     float64 // seconds after the start
	kind   string
	target int // index of the server or instance
}

var (
	polledDiscovery = map[string]string{"discovery": "ask"}
	healthChecks    = map[string]string{"reporting.how": "pull", "reporting.columns": "x0,x1"}
	quotas          = map[string]string{"beyond-share-value": "0.2"}
)

func mergeSettings(parts ...map[string]string) map[string]string {
	merged := map[string]string{}
	for _, m := range parts {
		for k, v := range m {
			merged[k] = v
		}
	}
	return merged
}

// serviceTypes returns the settings of one service type for each "EFFECT SCOPE", an effect and a deduplication scope.
func serviceTypes(specs ...string) map[string]string {
	m := map[string]string{"service-types.count": strconv.Itoa(len(specs))}
	for i, x := range specs {
		effect, group, _ := strings.Cut(x, " ")
		prefix := fmt.Sprintf("service-types.%d.", i)
		for k, v := range map[string]string{"effect": effect, "group": group, "hard-limit": "1800000000", "late-value": "0.0", "name": "type-" + strconv.Itoa(i),
			"setup-target": "300000000", "stream": "true", "value": strconv.Itoa(i+1) + ".0", "window": "1200000000"} {
			m[prefix+k] = v
		}
	}
	return m
}

var scenarios = []scenario{
	{name: "push-silent", seconds: 40, instances: 1, servers: 8, flowRate: 6, meanFlowDuration: 9 * time.Second, capacity: 12,
		faults: []fault{{5, "drain", 0}, {9, "restart", 0}, {12, "down", 1}, {20, "up", 1}, {24, "slow", 2}, {32, "well", 2}}},
	{name: "ask-probes", seconds: 40, instances: 2, servers: 9, flowRate: 4, meanFlowDuration: 8 * time.Second, capacity: 12, settings: mergeSettings(polledDiscovery, healthChecks),
		faults: []fault{{4, "slow", 0}, {11, "well", 0}, {13, "deaf", 0}, {14, "drain", 3}, {19, "restart", 3}, {22, "hung", 4}, {30, "well", 4}}},
	{name: "effects", seconds: 40, instances: 1, servers: 9, flowRate: 6, meanFlowDuration: 6 * time.Second, capacity: 14,
		settings: mergeSettings(serviceTypes("free all", "guarded all", "guarded zone", "guarded cell", "single_shot all")),
		faults: []fault{{3, "resets", 0}, {3, "errors", 1}, {4, "resets", 4}, {5, "errors", 5}, {6, "full", 6}, {8, "hung", 2}, {12, "down", 3},
			{18, "well", 0}, {22, "well", 1}, {24, "well", 2}, {28, "up", 3}, {30, "all-errors", 0}, {31, "all-resets", 0}, {32, "all-full", 0}, {33, "all-well", 0}}},
	{name: "quotas", seconds: 30, instances: 2, servers: 6, flowRate: 9, meanFlowDuration: 9 * time.Second, capacity: 12,
		settings: mergeSettings(quotas, healthChecks, map[string]string{"family-info.tenant-quota-connections": "20.0,12.0,5.0,3.0"}),
		faults:   []fault{{6, "drain", 1}, {10, "restart", 1}, {15, "down", 2}, {16, "drain", 3}, {19, "restart", 2}, {22, "restart", 3}}},
	{name: "overload", seconds: 30, instances: 2, servers: 4, flowRate: 18, meanFlowDuration: 8 * time.Second, capacity: 10,
		faults: []fault{{8, "slow", 0}, {12, "down", 1}, {14, "restart", 1}, {17, "full", 3}, {19, "well", 3}, {20, "hung", 2}, {24, "well", 2}}},
	{name: "overload-quotas-probes", seconds: 24, instances: 1, servers: 4, flowRate: 24, meanFlowDuration: 8 * time.Second, capacity: 14, settings: mergeSettings(quotas, healthChecks, polledDiscovery),
		faults: []fault{{6, "down", 1}, {9, "restart", 1}, {12, "all-hung", 0}, {16, "all-well", 0}}},
	{name: "long-list", seconds: 24, instances: 1, servers: 160, flowRate: 22, meanFlowDuration: 9 * time.Second, capacity: 3,
		settings: map[string]string{"weights": "silent"},
		faults:   []fault{{4, "down", 3}, {5, "down", 4}, {6, "drain", 5}, {8, "drain", 6}, {10, "restart", 5}, {12, "slow", 7}, {14, "slow", 8}, {18, "restart", 3}}},
	{name: "several-instances", seconds: 24, instances: 6, servers: 10, flowRate: 2.5, meanFlowDuration: 7 * time.Second, capacity: 14,
		settings: mergeSettings(healthChecks, map[string]string{"weights": "nominal", "family-info.mode": "pass", "policy-limits.retry-after": "false"}),
		faults:   []fault{{6, "kill", 1}, {9, "drain", 2}, {11, "full", 5}, {14, "well", 5}, {12, "kill", 3}, {13, "restart", 2}, {15, "down", 4}, {20, "up", 4}}},
	{name: "live-sizes", seconds: 24, instances: 6, servers: 10, flowRate: 2.5, meanFlowDuration: 7 * time.Second, capacity: 14,
		settings: mergeSettings(healthChecks, map[string]string{"weights": "live", "family-info.mode": "pass", "policy-limits.retry-after": "false"}),
		faults:   []fault{{6, "kill", 1}, {9, "drain", 2}, {11, "full", 5}, {14, "well", 5}, {12, "kill", 3}, {13, "restart", 2}, {15, "down", 4}, {20, "up", 4}}},
}

// spawnSettings returns the settings with which an instance starts, sorted: the example settings, overridden by those of
// the instance, and both overridden by those of the scenario.
func spawnSettings(s scenario, instance int) []string {
	m := map[string]string{"ordinal": strconv.Itoa(instance), "peers-total": strconv.Itoa(max(s.instances, 3)), "az": zones[instance%len(zones)]}
	var keys []string
	for pair := range strings.FieldsSeq(exampleSettings) {
		k, v, _ := strings.Cut(pair, "=")
		keys = append(keys, k)
		if _, isSet := m[k]; !isSet {
			m[k] = v
		}
	}
	for k, v := range s.settings {
		if _, isSet := m[k]; !isSet {
			keys = append(keys, k)
		}
		m[k] = v
	}
	lines := make([]string, 0, len(keys))
	for _, k := range sorted(keys) {
		lines = append(lines, k+"="+m[k])
	}
	return lines
}

var zones = []string{"hall-a", "hall-b", "hall-c"}

const exampleSettings = `areas=hall-a,hall-b,hall-c az=hall-a beyond-share-value=1.0 client-habits.marks-retry=true discovery=push family=conn family-info.groups=true
family-info.message-aim=250000000 family-info.mode=proxy family-info.park=0 family-info.tells-delay=true family-info.tells-load=true
family-info.tenant-quota-connections=292.0,246.0,80.0,46.0 goal.whole=0.55 goal.worst-class=0.0 goal.worst-tenant=0.1 goal.worst-window=0.35
guarantees.answer-slack=8000000 guarantees.cold-from=0.16 guarantees.drain-grace=750000000 guarantees.fall=1500000000 guarantees.fall-multiple=3.0
guarantees.must-ask-in=10000000000 guarantees.warm-after=23000000000 kinds=large,medium,small ordinal=0 peers-total=3 period=2000000
policy-limits.cancel=true policy-limits.connect-timeout=200000000 policy-limits.cpu-us-per-request=0.0 policy-limits.cpu-us-per-s=800000
policy-limits.keepalive=60000000000 policy-limits.max-connects=6 policy-limits.max-open=1000000 policy-limits.max-retry-after=1000000000
policy-limits.max-streams=1048576 policy-limits.peers=false policy-limits.probes=true policy-limits.retry-after=true policy-limits.second-copies=false
reporting.columns= reporting.how=silent service-types.count=1 service-types.0.effect=free service-types.0.group=all service-types.0.hard-limit=1800000000
service-types.0.late-value=0.0 service-types.0.name=live-config service-types.0.setup-target=300000000 service-types.0.stream=true service-types.0.value=1.0
service-types.0.window=5000000000 stages=config-nodes tariffs.connection=0.0 tariffs.cross-zone=0.08 tariffs.discovery=0.0 tariffs.handshake=0.0
tariffs.late-fail=0.08 tariffs.moves=0.026 tariffs.origin=0.0 tariffs.peer=0.0 tariffs.probe=0.0029 tariffs.waste=0.3 tenants.count=4
tenants.0.name=dyffryn-frames tenants.0.quota-per-s=2.0 tenants.0.share=0.44 tenants.1.name=teifi-windows tenants.1.quota-per-s=1.0 tenants.1.share=0.37
tenants.2.name=gwent-doors tenants.2.quota-per-s=0.0 tenants.2.share=0.12 tenants.3.name=menai-glazing tenants.3.quota-per-s=0.0 tenants.3.share=0.07
tier=0 value-per=request weights=rough`
