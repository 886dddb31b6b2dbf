package experiment

import (
	"fmt"
	"strconv"
	"strings"
	"time"

	"yardwinch/internal/simulation"
)

const maxPollInterval = 10 * time.Second // longest time between polls of the server list, in the balancers' settings

// ServerName returns the id of a server towards balancers, the same with every driver.
func ServerName(s simulation.ServerID) string { return fmt.Sprintf("s-%03d", int(s)) }

// GroupName returns the name of a group towards balancers; empty for no group.
func GroupName(g simulation.GroupID) string {
	if g == simulation.NoGroup {
		return ""
	}
	return "g-" + strconv.Itoa(int(g))
}

func durationSetting(d time.Duration) string { return strconv.FormatInt(int64(d), 10) }

func numberSetting(x float64) string { return strconv.FormatFloat(x, 'g', -1, 64) }

// Settings returns a balancer's settings in the platform's flat form: values by dotted paths.
func (d *Day) Settings(b simulation.BalancerID) map[string]string {
	e, limits := d.Experiment, d.Experiment.limits
	settings := map[string]string{
		"az":                            e.fleet.localities[d.World.Balancers[b].Locality],
		"discovery":                     "push",
		"weights":                       e.fleet.sizes,
		"ordinal":                       strconv.Itoa(int(b)),
		"peers-total":                   strconv.Itoa(len(d.World.Balancers)),
		"family-info.mode":              "proxy",
		"family-info.tells-delay":       "true",
		"guarantees.cold-from":          numberSetting(limits.SlowStartInitialShare),
		"guarantees.fall-multiple":      numberSetting(limits.SlowStartMultiple),
		"guarantees.warm-after":         durationSetting(limits.MaxSlowStart),
		"guarantees.fall":               durationSetting(limits.SlowStartWindow),
		"guarantees.drain-grace":        durationSetting(limits.DrainGrace),
		"guarantees.must-ask-in":        durationSetting(maxPollInterval),
		"policy-limits.max-connects":    strconv.Itoa(limits.MaxConnects),
		"policy-limits.connect-timeout": durationSetting(limits.ConnectTimeout),
		"policy-limits.probes":          "false",
		"policy-limits.retry-after":     strconv.FormatBool(e.retryAfter > 0),
		"policy-limits.max-retry-after": durationSetting(e.retryAfter),
		"tariffs.cross-zone":            numberSetting(e.weights.Crossing),
		"tariffs.moves":                 numberSetting(e.weights.Migrations),
		"beyond-share-value":            numberSetting(e.beyondShareValue),
	}
	if e.list.MustSubscribe {
		settings["discovery"] = "ask"
	}
	if e.serversReportLoad {
		settings["policy-limits.probes"], settings["reporting.how"], settings["reporting.columns"] = "true", "pull", "x0"
	}
	d.addServices(settings)
	d.addCustomers(settings)
	return settings
}

func (d *Day) addServices(settings map[string]string) {
	settings["service-types.count"] = strconv.Itoa(len(d.services))
	var messageTargets []string
	for i, s := range d.services {
		path := "service-types." + strconv.Itoa(i) + "."
		settings[path+"name"], settings[path+"effect"], settings[path+"group"] = s.Name, s.Effect, s.DeduplicationScope
		settings[path+"setup-target"] = durationSetting(s.Target)
		settings[path+"hard-limit"] = durationSetting(s.Timeout)
		settings[path+"window"] = durationSetting(s.DeduplicationWindow)
		settings[path+"value"] = numberSetting(s.Value)
		messageTargets = append(messageTargets, durationSetting(s.MessageTarget))
	}
	settings["family-info.message-aim"] = strings.Join(messageTargets, ",")
}

func (d *Day) addCustomers(settings map[string]string) {
	settings["tenants.count"] = strconv.Itoa(len(d.customers))
	var quotas []string
	for i, c := range d.customers {
		settings["tenants."+strconv.Itoa(i)+".name"] = c.Name
		quotas = append(quotas, numberSetting(c.Quota))
	}
	if len(quotas) > 0 {
		settings["family-info.tenant-quota-connections"] = strings.Join(quotas, ",")
	}
}
