package signals

import "time"

const maxFullState = 100 // records that another member is sent, its sender's own not counted

// FullState is what another member that asks for the full state is sent: this balancer's own record and others',
// with the ages of now. In a large fleet it is a selection, so that it costs the same in any fleet.
func (e *Exchange) FullState() []Record {
	records, ages := e.store.All(e.now)
	if len(records) > maxFullState {
		records, ages = e.selection(records, ages)
	}
	if e.own.Sequence > 0 {
		records = append(records, e.own)
		ages = append(ages, e.now-e.publishedAt)
	}
	for i := range records {
		records[i].age(ages[i])
	}
	return records
}

// selection is the records of a full state in a large fleet: up to a half of them with faults, and others without,
// beginning at another origin each time.
func (e *Exchange) selection(all []Record, allAges []time.Duration) (records []Record, ages []time.Duration) {
	e.selections++
	first := e.selections * maxFullState / 2 % len(all)
	add := func(i int) {
		records = append(records, all[i])
		ages = append(ages, allAges[i])
	}
	for i := range all {
		if all[i].hasFault() && len(records) < maxFullState/2 {
			add(i)
		}
	}
	for i := range all {
		next := (first + i) % len(all)
		if !all[next].hasFault() && len(records) < maxFullState {
			add(next)
		}
	}
	return records, ages
}
