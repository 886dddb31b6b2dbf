package scale

// controlMeasurements collects the series and checks of a control sweep.
type controlMeasurements struct {
	settings                 Settings
	role                     string
	suffix                   string // of the series names, where several files use the same sweep
	series                   map[string]*Series
	names                    []string
	checks                   []Check
	recordsReceivedPerSecond float64 // at the last size, for the largest records
}

func newControlMeasurements(s Settings, role string) *controlMeasurements {
	return &controlMeasurements{settings: s, role: role, series: map[string]*Series{}}
}

// add appends a point to a series, which the first point creates.
func (b *controlMeasurements) add(kind seriesKind, size int, value float64) {
	series := b.series[kind.name]
	if series == nil {
		series = &Series{
			Name:     b.settings.Sweep + "." + kind.name + b.suffix,
			Role:     b.role,
			Quantity: kind.quantity,
			Unit:     kind.unit,
			Against:  b.settings.Against,
			Origin:   kind.origin,
			Counted:  kind.counted,
			Held:     b.settings.held(),
		}
		b.series[kind.name] = series
		b.names = append(b.names, kind.name)
	}
	series.addPoint(size, value)
}

func (b *controlMeasurements) check(name string, held bool, detail string) {
	b.checks = append(b.checks, Check{Name: name, Held: held, Detail: detail})
}

func (b *controlMeasurements) all() (list []Series) {
	for _, name := range b.names {
		list = append(list, *b.series[name])
	}
	return list
}

// overSizes measures each size of the settings and returns all series and checks.
func (b *controlMeasurements) overSizes(progress Progress, measureSize func(size int) error) ([]Series, []Check, error) {
	for i, size := range b.settings.Sizes {
		if err := measureSize(size); err != nil {
			return nil, nil, err
		}
		progress(i+1, len(b.settings.Sizes))
	}
	return b.all(), b.checks, nil
}
