package sockets

import (
	"encoding/json"
	"fmt"
	"strconv"
	"strings"

	"yardwinch/internal/simulation"
)

const (
	coresOfBalancer  = 1
	memoryMB         = 192
	spareDescriptors = 1024 // beyond those of the connections that a balancer may come to hold
)

// Config is the configuration of a balancer, as the platform gives it.
func (d *Driver) Config(b simulation.BalancerID, listen string, incarnation int) ([]byte, error) {
	discovery := d.discoveries[b]
	seed := simulation.RandomSource(d.day.Seed, "balancer "+strconv.Itoa(incarnation), int(b)).Uint64()
	configuration := map[string]any{
		"name": fmt.Sprintf("n%d", b), "listen": listen, "discovery": discovery.address(),
		"seed":     fmt.Sprintf("%016x", seed),
		"limits":   map[string]any{"cores": coresOfBalancer, "memory_mb": memoryMB, "sockets": d.descriptorLimit()},
		"known":    json.RawMessage(discovery.encode(true, discovery.listed())),
		"settings": nested(d.day.Settings(b)),
	}
	if d.isolation != nil && d.isolation.ControlAddress != nil {
		configuration["control"] = d.isolation.ControlAddress(b)
	}
	return json.MarshalIndent(configuration, "", " ")
}

// descriptorLimit is the number of descriptors that a balancer may have: each connection takes two.
func (d *Driver) descriptorLimit() int {
	return spareDescriptors + 2*d.maxConnections()/len(d.world.Balancers)
}

// maxConnections is how many connections all servers take.
func (d *Driver) maxConnections() (sum int) {
	for _, s := range d.world.Servers {
		sum += s.MaxConnections
	}
	return sum
}

// nested turns dotted paths into the objects and lists that they were flattened from.
func nested(flat map[string]string) map[string]any {
	top := map[string]any{}
	for path, text := range flat {
		object, names := top, strings.Split(path, ".")
		last := len(names) - 1
		for _, name := range names[:last] {
			object = childOf(object, name)
		}
		object[names[last]] = valueOf(text)
	}
	return withLists(top).(map[string]any)
}

// childOf is the object under a name, which is made where there is none.
func childOf(object map[string]any, name string) map[string]any {
	child, ok := object[name].(map[string]any)
	if !ok {
		child = map[string]any{}
		object[name] = child
	}
	return child
}

// withLists turns objects that have a count into lists.
func withLists(value any) any {
	object, ok := value.(map[string]any)
	if !ok {
		return value
	}
	for name := range object {
		object[name] = withLists(object[name])
	}
	text, hasCount := object["count"].(json.Number)
	if !hasCount {
		return object
	}
	count, _ := strconv.Atoi(string(text)) // it was written from a number
	list := make([]any, 0, count)
	for i := range count {
		list = append(list, object[strconv.Itoa(i)])
	}
	return list
}

// valueOf is a setting's text as JSON has it: a boolean, a list, a number or a text.
func valueOf(text string) any {
	if text == "true" || text == "false" {
		return text == "true"
	}
	if strings.Contains(text, ",") {
		var list []any
		for _, item := range strings.Split(text, ",") {
			list = append(list, valueOf(item))
		}
		return list
	}
	if _, err := strconv.ParseFloat(text, 64); err == nil {
		return json.Number(text)
	}
	return text
}
