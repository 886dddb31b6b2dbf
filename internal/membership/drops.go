package membership

import (
	"log/slog"
	"sync"
	"time"
)

const (
	// MaxDropKinds bounds the kinds that are counted apart; further ones are counted together.
	MaxDropKinds = 32

	otherDrops      = "others" // the kind of drops beyond MaxDropKinds
	dropLogInterval = time.Minute
)

// DropCounter counts what was received and had to be dropped, by kind. A thousand bad datagrams a second must not
// fill the log, so each kind is logged once a minute at most. The zero value is ready for use, and for use by
// several goroutines.
type DropCounter struct {
	mu    sync.Mutex
	kinds map[string]*dropCount
}

type dropCount struct {
	total    int
	logged   int // of the total, when it was last logged
	loggedAt time.Time
}

// Add counts a drop of a kind. The reason is logged, with further attributes for the log.
func (c *DropCounter) Add(kind, reason string, attributes ...any) {
	c.add("membership input dropped", kind, reason, attributes...)
}

// add counts an event of a kind under a message of its own in the log.
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

// count is that of a kind, or of all others where there are too many kinds. The mutex is held.
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

// Totals is how many were dropped of each kind.
func (c *DropCounter) Totals() map[string]int {
	c.mu.Lock()
	defer c.mu.Unlock()
	totals := map[string]int{}
	for kind, count := range c.kinds {
		totals[kind] = count.total
	}
	return totals
}
