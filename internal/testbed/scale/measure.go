package scale

import (
	"cmp"
	"runtime"
	"slices"
	"sync"
	"time"

	"golang.org/x/sys/unix"
)

// processorTime is what this process has used so far, its garbage collection included.
func processorTime() time.Duration {
	var used unix.Rusage
	if err := unix.Getrusage(unix.RUSAGE_SELF, &used); err != nil {
		return 0
	}
	return time.Duration(used.Utime.Nano() + used.Stime.Nano())
}

// allocationMutex is held while allocations are counted: the runtime counts those of the whole process, so that a look at the
// bounds waits for the batch in hand.
var allocationMutex sync.Mutex

// allocated is how many objects, and how many bytes of them, this process has made so far.
func allocated() (objects, bytes uint64) {
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.Mallocs, m.TotalAlloc
}

// liveMemory is what the heap holds once nothing that is dead is left on it.
func liveMemory() int64 {
	runtime.GC()
	runtime.GC() // what the first one found finalisers for
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return int64(m.HeapAlloc)
}

// cost is what one piece of work took on average over a batch.
type cost struct {
	processor   time.Duration
	allocations float64
	bytes       float64 // of the allocations
}

// measure does a piece of work times over in batches: the median batch's processor time, and the fewest allocations, as
// others in the process only add to them.
func measure(batches, times int, do func()) cost {
	runtime.GC()
	var processor []time.Duration
	var objects, bytes []float64
	for range batches {
		result := measureBatch(times, do)
		processor, objects, bytes = append(processor, result.processor), append(objects, result.allocations), append(bytes, result.bytes)
	}
	return cost{median(processor), slices.Min(objects), slices.Min(bytes)}
}

func measureBatch(times int, do func()) cost {
	allocationMutex.Lock()
	defer allocationMutex.Unlock()
	objects, bytes := allocated() // which takes as long as a short piece of work does, so that the time stands inside of it
	from := processorTime()
	for range times {
		do()
	}
	spent := processorTime() - from
	objectsAfter, bytesAfter := allocated()
	return cost{
		processor:   spent / time.Duration(times),
		allocations: float64(objectsAfter-objects) / float64(times),
		bytes:       float64(bytesAfter-bytes) / float64(times),
	}
}

func median[T cmp.Ordered](values []T) T {
	sorted := slices.Sorted(slices.Values(values))
	return sorted[len(sorted)/2]
}

func microseconds(d time.Duration) float64 { return float64(d) / float64(time.Microsecond) }
