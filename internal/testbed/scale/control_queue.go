package scale

import "slices"

// broadcastID numbers what members of the model tell each other, in the order in which it was first told.
type broadcastID int32

// broadcastQueue is one member's queue of what it passes on, in the order of memberlist's TransmitLimitedQueue for
// messages of one size: least transmitted first, then the one that came last.
type broadcastQueue struct {
	limit   int                  // transmissions of each
	tiers   [][]waitingBroadcast // by how often it was transmitted, each by number
	waiting int
	came    int32 // counts from nought again when a packet takes all, as memberlist has it
}

// waitingBroadcast is one message in a queue. Of two with one number in a tier the later stays.
type waitingBroadcast struct {
	id   broadcastID
	came int32
}

func newBroadcastQueue(limit int) broadcastQueue {
	return broadcastQueue{limit: limit, tiers: make([][]waitingBroadcast, limit)}
}

func (q *broadcastQueue) add(id broadcastID) {
	q.came++
	q.insert(0, waitingBroadcast{id, q.came})
}

// take fills a packet of which free bytes are left. overhead is what each message costs beside its own size; a
// message that is no longer current is dropped.
func (q *broadcastQueue) take(into []broadcastID, free, overhead int, size func(broadcastID) int, current func(broadcastID) bool) ([]broadcastID, int) {
	var sent []waitingBroadcast
	taken := make([]int, q.limit) // of each tier
	for t := range q.tiers {
		for len(q.tiers[t]) > 0 {
			last := len(q.tiers[t]) - 1
			waiting := q.tiers[t][last]
			if !current(waiting.id) {
				q.removeLast(t)
				continue
			}
			if size(waiting.id)+overhead > free {
				break
			}
			q.removeLast(t)
			free -= size(waiting.id) + overhead
			into = append(into, waiting.id)
			sent = append(sent, waiting)
			taken[t]++
		}
	}
	q.passOn(sent, taken)
	return into, free
}

// passOn puts what was transmitted into the next tiers, once the packet is full.
func (q *broadcastQueue) passOn(sent []waitingBroadcast, taken []int) {
	for t, count := range taken {
		if t+1 < q.limit {
			for _, waiting := range sent[:count] {
				q.insert(t+1, waiting)
			}
		}
		sent = sent[count:]
	}
}

func (q *broadcastQueue) insert(tier int, waiting waitingBroadcast) {
	list := q.tiers[tier]
	at, taken := slices.BinarySearchFunc(list, waiting, func(a, b waitingBroadcast) int { return int(a.came - b.came) })
	if taken {
		list[at] = waiting
		return
	}
	q.waiting++
	q.tiers[tier] = slices.Insert(list, at, waiting)
}

func (q *broadcastQueue) removeLast(tier int) {
	q.tiers[tier] = q.tiers[tier][:len(q.tiers[tier])-1]
	if q.waiting--; q.waiting == 0 {
		q.came = 0
	}
}
