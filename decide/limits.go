package decide

import "time"

const (
	limitReductionInterval = 900 * time.Millisecond // reductions within it count as one
	limitRecoveryTime      = 20 * time.Second       // in which the target is added, slowly at first
)

// flowLimit bounds how many flows may be held: a part of those held at the last sign of overload, which grows again
// with the square of the time since.
type flowLimit struct {
	flows     float64       // at the last reduction
	target    float64       // at the first reduction of a series
	reducedAt time.Duration // 0: no limit
}

// reduce lowers the limit to so many flows.
func (l *flowLimit) reduce(flows float64, now time.Duration) {
	if l.reducedAt != 0 && now-l.reducedAt <= limitReductionInterval {
		return
	}
	if l.reducedAt == 0 || now-l.reducedAt > limitRecoveryTime {
		l.target = flows
	}
	l.flows = flows
	l.reducedAt = max(now, 1)
}

// hasCapacity reports whether the limit allows one more flow than those open. It recovers by minGrowth at the least.
func (l *flowLimit) hasCapacity(open int, minGrowth float64, now time.Duration) bool {
	t := (now - l.reducedAt).Seconds() / limitRecoveryTime.Seconds()
	return l.reducedAt == 0 || float64(open+1) <= l.flows+max(l.target, minGrowth, 1)*t*t
}
