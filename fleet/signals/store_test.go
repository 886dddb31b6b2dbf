package signals

import (
	"fmt"
	"reflect"
	"testing"

	"pgregory.net/rapid"
)

var anyRecord = rapid.Custom(func(t *rapid.T) Record {
	r := Record{
		Origin:      Origin(rapid.SampledFrom([]string{"a", "b", "c", "me"}).Draw(t, "origin")),
		Incarnation: Incarnation(rapid.IntRange(1, 3).Draw(t, "incarnation")),
		Sequence:    Sequence(rapid.IntRange(1, 4).Draw(t, "sequence")),
	}
	// Records of one origin, incarnation and sequence are equal.
	r.Build = fmt.Sprint(r.Origin, r.Incarnation, r.Sequence)
	return r
})

// The order and the duplication of merged records do not matter.
func TestMergeIsAJoin(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		records := rapid.SliceOfN(anyRecord, 0, 30).Draw(t, "records")
		permuted := rapid.Permutation(records).Draw(t, "order")
		if len(records) > 0 {
			permuted = append(permuted, rapid.SliceOfN(rapid.SampledFrom(records), 0, 5).Draw(t, "repeats")...)
		}
		one, other := newStore("me"), newStore("me")
		for _, record := range records {
			one.Merge(record, 0)
		}
		for _, record := range permuted {
			other.Merge(record, 0)
		}
		stored, _ := one.All(0)
		storedByOther, _ := other.All(0)
		if !reflect.DeepEqual(stored, storedByOther) {
			t.Fatalf("the order or the repeats of the records changed the result:\n%v\n%v", stored, storedByOther)
		}
		for _, record := range records {
			if one.Merge(record, 0) {
				t.Fatalf("%v counts as new when it is merged again", record)
			}
		}
	})
}
