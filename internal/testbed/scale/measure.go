package scale

import (
	"cmp"
	"runtime"
	"slices"
	"sync"
	"time"

	"golang.org/x/sys/unix"
)

// processorTime is the processor time used by this process so far, including garbage collection.
func processorTime() time.Duration {
	var used unix.Rusage
	if err := unix.Getrusage(unix.RUSAGE_SELF, &used); err != nil {
		return 0
	}
	return time.Duration(used.Utime.Nano() + used.Stime.Nano())
}

// allocationMutex is held while allocations are counted. The runtime counts those of the whole process, so the bounds
// check, which allocates too, must wait.
var allocationMutex sync.Mutex

// allocated returns the objects and bytes that this process has allocated so far.
func allocated() (objects, bytes uint64) {
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.Mallocs, m.TotalAlloc
}

// liveMemory is the size in bytes of the live heap.
func liveMemory() int64 {
	runtime.GC()
	runtime.GC() // frees the objects whose finalizers the first collection queued
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return int64(m.HeapAlloc)
}

// cost is the average cost of one call in a batch.
type cost struct {
	processor   time.Duration
	allocations float64
	bytes       float64 // allocated
}

// measure runs batches of the given number of calls and returns the cost of one call: the median processor time over
// the batches, and the fewest allocations, as other goroutines can only add to them.
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
	objects, bytes := allocated() // reading them takes long, so it stays outside of the timed part
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
