package scale

import "fmt"

// firstFreeFlow is greater than the number of any flow that a sweep sets up before it measures.
const firstFreeFlow = 1 << 30

// withSize returns the settings with the size as the value of the key that the sizes replace.
func (s Settings) withSize(size int) Settings {
	switch s.Against {
	case keyServers:
		s.Servers = size
	case keyBalancers:
		s.Balancers = size
	case keyConnections:
		s.Connections = size
	case keyGroups:
		s.Groups = size
	}
	return s
}

// fixedSizes returns the settings that stay the same over all sizes, by key.
func (s Settings) fixedSizes() map[string]float64 {
	fixed := map[string]float64{}
	for key, value := range map[string]int{keyServers: s.Servers, keyBalancers: s.Balancers, keyConnections: s.Connections,
		keyGroups: s.Groups, keyZones: s.Zones} {
		if value > 0 && key != s.Against {
			fixed[key] = float64(value)
		}
	}
	return fixed
}

// seriesKind describes a series of a sweep.
type seriesKind struct {
	name     string // without the sweep's name
	quantity string
	unit     string
	origin   Origin
	counted  bool
}

// seriesFactory returns a function that creates the series of a sweep. A series name states what the sizes count, and
// the number of servers where they count something else, so that several experiment files can use one sweep.
func seriesFactory(s Settings, sweep, role string) func(kind seriesKind) *Series {
	suffix := "by-" + s.Against
	if s.Against != keyServers && s.Servers > 0 {
		suffix += fmt.Sprintf("-at-%d-servers", s.Servers)
	}
	return func(kind seriesKind) *Series {
		return &Series{
			Name:       sweep + "." + kind.name + "." + suffix,
			Role:       role,
			Quantity:   kind.quantity,
			Unit:       kind.unit,
			Against:    s.Against,
			Origin:     kind.origin,
			Counted:    kind.counted,
			FixedSizes: s.fixedSizes(),
		}
	}
}

// placementCheck is the check that every flow was placed.
func placementCheck(rejected int) Check {
	return Check{Name: "every flow is placed", Passed: rejected == 0, Detail: fmt.Sprintf("%d rejected", rejected)}
}

func (s *Series) addPoint(size int, value float64) {
	s.Points = append(s.Points, Point{Size: float64(size), Value: value})
}

// seriesSet is several series over the same sizes.
type seriesSet []*Series

// add appends a point to each series, with its value in the order of the set.
func (set seriesSet) add(size int, values ...float64) {
	for i, value := range values {
		set[i].addPoint(size, value)
	}
}

func (set seriesSet) all() (list []Series) {
	for _, series := range set {
		list = append(list, *series)
	}
	return list
}
