package scale

import (
	"maps"
	"math"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"time"

	"yardwinch/internal/strict"
)

// Keys of an experiment file that the sizes of a sweep can replace.
const (
	bySize        = "sizes"
	byServers     = "servers"
	byBalancers   = "balancers"
	byConnections = "connections"
	byGroups      = "groups"
	byZones       = "zones"
	byRate        = "rate"
	byLength      = "length"
)

// maxima holds the largest value of each integer key.
var maxima = map[string]int{
	byServers:     32_768,
	byBalancers:   10_000,
	byConnections: 200_000,
	byGroups:      4_000_000,
	byZones:       1_000,
	bySize:        4_000_000, // for sizes that replace no key
}

const (
	maxRate   = 1e6
	maxLength = 24 * time.Hour
)

// sweepInput states which keys a sweep requires. The key that the sizes replace must be absent, as must all keys that
// are not in the list.
type sweepInput struct {
	against []string // what the sizes may count; the key against selects one, and the first is the default
	keys    []string
	check   func(Settings) (key, fault string) // reports conflicting settings; an empty key means that there are none
}

// inputs holds the input of each sweep. A sweep without one accepts any settings.
var inputs = map[string]sweepInput{}

// register adds a sweep.
func register(name string, sweep Sweep, in sweepInput) {
	sweeps[name], inputs[name] = sweep, in
}

// SweepNames returns the names of all sweeps, sorted.
func SweepNames() []string { return slices.Sorted(maps.Keys(sweeps)) }

// Experiment is the content of one experiment file.
type Experiment struct {
	Name     string
	File     string
	Settings Settings
}

// Open reads an experiment file. Its error is an *Error that names the file and the key.
func Open(file string) (*Experiment, error) {
	text, err := os.ReadFile(file)
	if err != nil {
		return nil, &Error{Where: file, What: "can't be read", Remedy: "name a file of experiments/scale", Err: err}
	}
	return Read(file, text)
}

// Read parses the text of an experiment file. Its error is an *Error that names the file and the key.
func Read(file string, text []byte) (*Experiment, error) {
	const advice = "correct the file; docs/scale-use.md has a line for each key"
	table, err := strict.Parse(file, text)
	if err != nil {
		return nil, &Error{Where: file, What: "not a valid experiment file", Remedy: advice, Err: err}
	}
	settings := readSettings(table)
	if err := table.Err(); err != nil {
		// The error starts with file and line.
		where, what, _ := strings.Cut(err.Error(), ": ")
		return nil, &Error{Where: where, What: what, Remedy: advice}
	}
	name := strings.TrimSuffix(filepath.Base(file), filepath.Ext(file))
	return &Experiment{Name: name, File: file, Settings: settings}, nil
}

func readSettings(t strict.Table) Settings {
	s := Settings{Sweep: t.String("sweep", "", SweepNames()...)}
	if s.Sweep == "" && !t.Has("sweep") {
		t.Fail("sweep", "is missing; want one of %s", strings.Join(SweepNames(), ", "))
	}
	s.Seed = uint64(t.Int("seed", 1, 0, math.MaxInt64))
	in, registered := inputs[s.Sweep]
	if registered {
		s.Against = t.String("against", in.against[0], in.against...)
		readKeys(t, s, in)
	} else {
		s.Against = t.String("against", "")
	}
	maxSize := maxima[bySize]
	if m, ok := maxima[s.Against]; ok {
		maxSize = m
	}
	s.Sizes = t.IncreasingInts(bySize, 1, maxSize)
	if s.Sizes == nil && !t.Has(bySize) {
		t.Fail(bySize, "is missing")
	}
	s.Servers = t.Int(byServers, 0, 1, maxima[byServers])
	s.Balancers = t.Int(byBalancers, 0, 1, maxima[byBalancers])
	s.Connections = t.Int(byConnections, 0, 1, maxima[byConnections])
	s.Groups = t.Int(byGroups, 0, 1, maxima[byGroups])
	s.Zones = t.Int(byZones, 0, 1, maxima[byZones])
	s.Rate = t.Float(byRate, 0, math.SmallestNonzeroFloat64, maxRate)
	if length := t.Duration(byLength, 0, maxLength); length > 0 {
		s.Length = length.String()
	} else if t.Has(byLength) {
		t.Fail(byLength, "want a duration above zero")
	}
	if in.check != nil && len(s.Sizes) > 0 {
		if key, fault := in.check(s); key != "" {
			t.Fail(key, "%s", fault)
		}
	}
	return s
}

// readKeys reports keys that are missing or that the sweep does not use.
func readKeys(t strict.Table, s Settings, in sweepInput) {
	for _, key := range []string{byServers, byBalancers, byConnections, byGroups, byZones, byRate, byLength} {
		needed := slices.Contains(in.keys, key) && key != s.Against
		switch {
		case needed && !t.Has(key):
			t.Fail(key, "is missing; the sweep %s needs it", s.Sweep)
		case !needed && key == s.Against && t.Has(key):
			t.Fail(key, "must be omitted, as the sizes replace it")
		case !needed && t.Has(key):
			t.Fail(key, "must be omitted, as the sweep %s does not use it", s.Sweep)
		}
	}
}
