package membership

import (
	"log/slog"
	"sync"
	"time"
)

const (
	// MaxDropKinds is the maximum number of kinds that are counted separately; all others share one count.
	MaxDropKinds = 32

	otherDrops      = "others" // kind under which drops beyond MaxDropKinds are counted
	dropLogInterval = time.Minute
)

// DropCounter counts dropped input by kind. Each kind is logged at most once a minute, so that a thousand bad
// datagrams a second do not fill the log. The zero value is ready for use. A DropCounter is safe for concurrent use.
type DropCounter struct {
	mu    sync.Mutex
	kinds map[string]*dropCount
}

type dropCount struct {
	total    int
	logged   int // the total when this kind was last logged
	loggedAt time.Time
}

// Add counts a dropped input of a kind. The log line, if one is due, has the reason and the attributes.
func (c *DropCounter) Add(kind, reason string, attributes ...any) {
	c.add("membership input dropped", kind, reason, attributes...)
}

// add does the same as Add, with the given log message.
func (c *DropCounter) add(message, kind, reason string, attributes ...any) {
	c.mu.Lock()
	defer c.mu.Unlock()
	count := c.count(kind)
	count.total++
	now := time.Now()
	if count.logged > 0 && now.Sub(count.loggedAt) < dropLogInterval {
		return
	}
	attributes = append([]any{"error", reason, "count", count.total - count.logged, "total", count.total}, attributes...)
	slog.Warn(message, attributes...)
	count.logged = count.total
	count.loggedAt = now
}

// count returns the count of a kind, or the shared one if there are too many kinds. Callers hold the mutex.
func (c *DropCounter) count(kind string) *dropCount {
	if c.kinds == nil {
		c.kinds = map[string]*dropCount{}
	}
	if c.kinds[kind] == nil && len(c.kinds) >= MaxDropKinds {
		kind = otherDrops
	}
	if c.kinds[kind] == nil {
		c.kinds[kind] = &dropCount{}
	}
	return c.kinds[kind]
}

// Totals returns the number of drops by kind.
func (c *DropCounter) Totals() map[string]int {
	c.mu.Lock()
	defer c.mu.Unlock()
	totals := map[string]int{}
	for kind, count := range c.kinds {
		totals[kind] = count.total
	}
	return totals
}
