package setup

import (
	"fmt"
	"os"
	"strings"

	"yardwinch/bounds"
	"yardwinch/halls"
	"yardwinch/internal/strict"
)

// Options is the operators' own file. What it does not name is off.
type Options struct {
	halls   *Halls
	explain string
	running *halls.Halls
}

// ReadOptions reads the file; an empty path stands for none. A fault names file, line and key.
func ReadOptions(path string) (*Options, error) {
	o := &Options{}
	if path == "" {
		return o, nil
	}
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("options: %w", err)
	}
	t, err := strict.Parse(path, text)
	if err != nil {
		return nil, err
	}
	if t.Has("halls") {
		h := ReadHalls(t.Table("halls"))
		o.halls = &h
	}
	if t.Has("explain") {
		x := t.Table("explain")
		if o.explain = x.Text("socket", ""); !strings.HasPrefix(o.explain, "/") || len(o.explain) > 100 {
			x.Bad("socket", "want the absolute path of a socket, of at most 100 bytes, got %q", o.explain)
		}
	}
	return o, t.Fault()
}

// Deciders are those that the file switches on, in the order in which they are asked: halls.
func (o *Options) Deciders(g Given, seed uint64) (list []bounds.Decider) {
	if o.halls != nil {
		o.running = o.halls.Decider(g, seed)
		list = append(list, o.running)
	}
	return list
}

// Explain is the socket on which the balancer tells what it holds; empty: none.
func (o *Options) Explain() string { return o.explain }

// Take brings what runs to a newer reading, and names what needs a restart.
func (o *Options) Take(newer *Options, g Given) (keys []string) {
	switch {
	case (o.halls == nil) != (newer.halls == nil):
		keys = append(keys, "halls")
	case o.halls != nil && o.running != nil:
		newer.halls.Change(o.running, g)
		o.halls = newer.halls
	}
	if o.explain != newer.explain {
		keys = append(keys, "explain.socket")
	}
	return keys
}
