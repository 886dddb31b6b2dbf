package signals

import "time"

const maxFullState = 100 // records of other origins in a full state

// FullState returns what is sent to a member that asks for the full state: the records of other origins and of this
// balancer, with their present ages. In a large fleet it is a selection of them, which limits its size.
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

// selection returns the records of a full state in a large fleet: up to half of them are records with faults, and the
// rest records without, beginning at another origin each time.
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
