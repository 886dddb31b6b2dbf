package scale

// controlMeasurements collects the series and checks of a control sweep.
type controlMeasurements struct {
	settings                 Settings
	role                     string
	suffix                   string // appended to the names of series; differs between experiment files that use the same sweep
	series                   map[string]*Series
	names                    []string
	checks                   []Check
	recordsReceivedPerSecond float64 // by a member at the last measured size, with the largest records
}

func newControlMeasurements(s Settings, role string) *controlMeasurements {
	return &controlMeasurements{settings: s, role: role, series: map[string]*Series{}}
}

// add appends a point to a series; the first point creates it.
func (m *controlMeasurements) add(kind seriesKind, size int, value float64) {
	series := m.series[kind.name]
	if series == nil {
		series = &Series{
			Name:       m.settings.Sweep + "." + kind.name + m.suffix,
			Role:       m.role,
			Quantity:   kind.quantity,
			Unit:       kind.unit,
			Against:    m.settings.Against,
			Origin:     kind.origin,
			Counted:    kind.counted,
			FixedSizes: m.settings.fixedSizes(),
		}
		m.series[kind.name] = series
		m.names = append(m.names, kind.name)
	}
	series.addPoint(size, value)
}

func (m *controlMeasurements) check(name string, passed bool, detail string) {
	m.checks = append(m.checks, Check{Name: name, Passed: passed, Detail: detail})
}

func (m *controlMeasurements) all() (list []Series) {
	for _, name := range m.names {
		list = append(list, *m.series[name])
	}
	return list
}

// forEachSize calls measureSize for each size of the settings and returns all series and checks.
func (m *controlMeasurements) forEachSize(progress Progress, measureSize func(size int) error) ([]Series, []Check, error) {
	for i, size := range m.settings.Sizes {
		if err := measureSize(size); err != nil {
			return nil, nil, err
		}
		progress(i+1, len(m.settings.Sizes))
	}
	return m.all(), m.checks, nil
}
