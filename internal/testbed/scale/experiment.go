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

// Keys of an experiment file. The sizes of a sweep replace one of the keys that withSize sets, or count something else.
const (
	keySizes       = "sizes"
	keyServers     = "servers"
	keyBalancers   = "balancers"
	keyConnections = "connections"
	keyGroups      = "groups"
	keyZones       = "zones"
	keyRate        = "rate"
	keyLength      = "length"
)

// maxima holds the largest value of each integer key.
var maxima = map[string]int{
	keyServers:     32_768,
	keyBalancers:   10_000,
	keyConnections: 200_000,
	keyGroups:      4_000_000,
	keyZones:       1_000,
	keySizes:       4_000_000, // for sizes that replace no key
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
	check   func(Settings) (key, problem string) // reports conflicting settings; an empty key means that there are none
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

// Open reads an experiment file. Its error is an *Error that names the file, and the line and key if a value is invalid.
func Open(file string) (*Experiment, error) {
	text, err := os.ReadFile(file)
	if err != nil {
		return nil, &Error{Where: file, What: "can't be read", Remedy: "name a file of experiments/scale", Err: err}
	}
	return Read(file, text)
}

// Read parses the text of an experiment file. Its error is an *Error as that of Open.
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
	maxSize := maxima[keySizes]
	if m, ok := maxima[s.Against]; ok {
		maxSize = m
	}
	s.Sizes = t.IncreasingInts(keySizes, 1, maxSize)
	if s.Sizes == nil && !t.Has(keySizes) {
		t.Fail(keySizes, "is missing")
	}
	s.Servers = t.Int(keyServers, 0, 1, maxima[keyServers])
	s.Balancers = t.Int(keyBalancers, 0, 1, maxima[keyBalancers])
	s.Connections = t.Int(keyConnections, 0, 1, maxima[keyConnections])
	s.Groups = t.Int(keyGroups, 0, 1, maxima[keyGroups])
	s.Zones = t.Int(keyZones, 0, 1, maxima[keyZones])
	s.Rate = t.Float(keyRate, 0, math.SmallestNonzeroFloat64, maxRate)
	if length := t.Duration(keyLength, 0, maxLength); length > 0 {
		s.Length = length.String()
	} else if t.Has(keyLength) {
		t.Fail(keyLength, "want a duration above zero")
	}
	if in.check != nil && len(s.Sizes) > 0 {
		if key, problem := in.check(s); key != "" {
			t.Fail(key, "%s", problem)
		}
	}
	return s
}

// readKeys reports keys that are missing or that the sweep does not use.
func readKeys(t strict.Table, s Settings, in sweepInput) {
	for _, key := range []string{keyServers, keyBalancers, keyConnections, keyGroups, keyZones, keyRate, keyLength} {
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
