package sockets

import (
	"encoding/json"
	"fmt"
	"strconv"
	"strings"

	"yardwinch/internal/simulation"
)

const (
	coresPerBalancer    = 1
	memoryMBPerBalancer = 192
	spareDescriptors    = 1024 // in addition to those for proxied connections
)

// Config returns a balancer's configuration in the platform's format.
func (d *Driver) Config(b simulation.BalancerID, listen string, incarnation int) ([]byte, error) {
	discovery := d.discoveries[b]
	seed := simulation.RandomSource(d.day.Seed, "balancer "+strconv.Itoa(incarnation), int(b)).Uint64()
	configuration := map[string]any{
		"name": fmt.Sprintf("n%d", b), "listen": listen, "discovery": discovery.address(),
		"seed":     fmt.Sprintf("%016x", seed),
		"limits":   map[string]any{"cores": coresPerBalancer, "memory_mb": memoryMBPerBalancer, "sockets": d.descriptorLimit()},
		"known":    json.RawMessage(discovery.encode(true, discovery.listedEntries())),
		"settings": nestSettings(d.day.Settings(b)),
	}
	if d.isolation != nil && d.isolation.ControlAddress != nil {
		configuration["control"] = d.isolation.ControlAddress(b)
	}
	return json.MarshalIndent(configuration, "", " ")
}

// descriptorLimit returns the number of file descriptors that a balancer may open. Each proxied connection takes two.
func (d *Driver) descriptorLimit() int {
	return spareDescriptors + 2*d.maxConnections()/len(d.world.Balancers)
}

// maxConnections returns the number of connections that all servers together accept.
func (d *Driver) maxConnections() (sum int) {
	for _, s := range d.world.Servers {
		sum += s.MaxConnections
	}
	return sum
}

// nestSettings turns settings with dotted paths into nested objects and lists.
func nestSettings(flat map[string]string) map[string]any {
	top := map[string]any{}
	for path, text := range flat {
		object, names := top, strings.Split(path, ".")
		last := len(names) - 1
		for _, name := range names[:last] {
			object = childObject(object, name)
		}
		object[names[last]] = parseSetting(text)
	}
	return listsFromCounts(top).(map[string]any)
}

// childObject returns the object under a name, and creates it if it does not exist.
func childObject(object map[string]any, name string) map[string]any {
	child, ok := object[name].(map[string]any)
	if !ok {
		child = map[string]any{}
		object[name] = child
	}
	return child
}

// listsFromCounts turns objects with a key "count" and numbered entries into lists.
func listsFromCounts(value any) any {
	object, ok := value.(map[string]any)
	if !ok {
		return value
	}
	for name := range object {
		object[name] = listsFromCounts(object[name])
	}
	text, hasCount := object["count"].(json.Number)
	if !hasCount {
		return object
	}
	count, _ := strconv.Atoi(string(text)) // Day.Settings formats it from an integer
	list := make([]any, 0, count)
	for i := range count {
		list = append(list, object[strconv.Itoa(i)])
	}
	return list
}

// parseSetting returns a setting's text as a JSON value: a boolean, a list, a number or a string.
func parseSetting(text string) any {
	if text == "true" || text == "false" {
		return text == "true"
	}
	if strings.Contains(text, ",") {
		var list []any
		for _, item := range strings.Split(text, ",") {
			list = append(list, parseSetting(item))
		}
		return list
	}
	if _, err := strconv.ParseFloat(text, 64); err == nil {
		return json.Number(text)
	}
	return text
}
