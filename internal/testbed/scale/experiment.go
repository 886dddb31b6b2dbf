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

// Keys of an experiment file whose sizes a sweep can go over.
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

// maxima is what each counted key may be at the most.
var maxima = map[string]int{
	byServers:     32_768,
	byBalancers:   10_000,
	byConnections: 200_000,
	byGroups:      4_000_000,
	byZones:       1_000,
	bySize:        4_000_000, // where the file names nothing that the sizes count
}

const (
	maxRate   = 1e6
	maxLength = 24 * time.Hour
)

// sweepInput is what a sweep wants its file to say: all of these keys but the one that its sizes go over, and no others.
type sweepInput struct {
	against []string // what its sizes may go over; the file chooses by `against`
	keys    []string
	check   func(Settings) (key, fault string) // of settings that don't go together; an empty key: there is none
}

// inputs holds the input of each sweep. One that is not here takes any settings.
var inputs = map[string]sweepInput{}

// register adds a sweep.
func register(name string, sweep Sweep, in sweepInput) {
	sweeps[name], inputs[name] = sweep, in
}

// Names are the sweeps that there are.
func Names() []string { return slices.Sorted(maps.Keys(sweeps)) }

// Experiment is one file of experiments/scale.
type Experiment struct {
	Name     string
	File     string
	Settings Settings
}

// Open reads an experiment file. A fault of it is one *Error that names file and key.
func Open(file string) (*Experiment, error) {
	text, err := os.ReadFile(file)
	if err != nil {
		return nil, &Error{Where: file, What: "can't be read", Remedy: "name a file of experiments/scale", Err: err}
	}
	return Read(file, text)
}

// Read reads the text of an experiment file.
func Read(file string, text []byte) (*Experiment, error) {
	const advice = "mend the file; docs/scale-use.md has a line for each key"
	table, err := strict.Parse(file, text)
	if err != nil {
		return nil, &Error{Where: file, What: "no experiment", Remedy: advice, Err: err}
	}
	settings := readSettings(table)
	if err := table.Err(); err != nil {
		// The fault opens with file and line.
		where, what, _ := strings.Cut(err.Error(), ": ")
		return nil, &Error{Where: where, What: what, Remedy: advice}
	}
	name := strings.TrimSuffix(filepath.Base(file), filepath.Ext(file))
	return &Experiment{Name: name, File: file, Settings: settings}, nil
}

func readSettings(t strict.Table) Settings {
	s := Settings{Sweep: t.String("sweep", "", Names()...)}
	if s.Sweep == "" && !t.Has("sweep") {
		t.Fail("sweep", "is missing; want one of %s", strings.Join(Names(), ", "))
	}
	s.Seed = uint64(t.Int("seed", 1, 0, math.MaxInt64))
	in, stated := inputs[s.Sweep]
	if stated {
		s.Against = t.String("against", in.against[0], in.against...)
		readKeys(t, s, in)
	} else {
		s.Against = t.String("against", "")
	}
	mostSize := maxima[bySize]
	if m, ok := maxima[s.Against]; ok {
		mostSize = m
	}
	s.Sizes = t.IncreasingInts(bySize, 1, mostSize)
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
		t.Fail(byLength, "want a time above nought")
	}
	if in.check != nil && len(s.Sizes) > 0 {
		if key, fault := in.check(s); key != "" {
			t.Fail(key, "%s", fault)
		}
	}
	return s
}

// readKeys faults keys that the sweep needs and has not, or has and does not use.
func readKeys(t strict.Table, s Settings, in sweepInput) {
	for _, key := range []string{byServers, byBalancers, byConnections, byGroups, byZones, byRate, byLength} {
		needed := slices.Contains(in.keys, key) && key != s.Against
		switch {
		case needed && !t.Has(key):
			t.Fail(key, "is missing; the sweep %s needs it", s.Sweep)
		case !needed && key == s.Against && t.Has(key):
			t.Fail(key, "must be left out, as the sizes go over it")
		case !needed && t.Has(key):
			t.Fail(key, "must be left out, as the sweep %s does not use it", s.Sweep)
		}
	}
}
