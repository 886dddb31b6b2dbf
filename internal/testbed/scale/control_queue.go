package scale

import "slices"

// broadcastID numbers the model's messages in the order of their publication.
type broadcastID int32

// broadcastQueue is a member's queue of messages to pass on, in the order of memberlist's TransmitLimitedQueue for
// messages of one size: least transmitted first, then latest first.
type broadcastQueue struct {
	limit        int                 // transmissions of each message
	tiers        [][]queuedBroadcast // by transmissions so far; each sorted by sequence
	length       int
	lastSequence int32 // restarts at 0 when the queue empties, as memberlist's does
}

// queuedBroadcast is one message in a queue. A later one with the same sequence in a tier replaces it.
type queuedBroadcast struct {
	id       broadcastID
	sequence int32
}

func newBroadcastQueue(limit int) broadcastQueue {
	return broadcastQueue{limit: limit, tiers: make([][]queuedBroadcast, limit)}
}

func (q *broadcastQueue) add(id broadcastID) {
	q.lastSequence++
	q.insert(0, queuedBroadcast{id, q.lastSequence})
}

// take fills a packet with messages of at most free bytes. overhead is added to the size of each message; messages
// that are no longer current are dropped.
func (q *broadcastQueue) take(into []broadcastID, free, overhead int, size func(broadcastID) int,
	current func(broadcastID) bool) ([]broadcastID, int) {
	var sent []queuedBroadcast
	taken := make([]int, q.limit) // by tier
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
	q.requeue(sent, taken)
	return into, free
}

// requeue moves transmitted messages to the next tiers, after the packet is full.
func (q *broadcastQueue) requeue(sent []queuedBroadcast, taken []int) {
	for t, count := range taken {
		if t+1 < q.limit {
			for _, waiting := range sent[:count] {
				q.insert(t+1, waiting)
			}
		}
		sent = sent[count:]
	}
}

func (q *broadcastQueue) insert(tier int, waiting queuedBroadcast) {
	list := q.tiers[tier]
	at, taken := slices.BinarySearchFunc(list, waiting, func(a, b queuedBroadcast) int { return int(a.sequence - b.sequence) })
	if taken {
		list[at] = waiting
		return
	}
	q.length++
	q.tiers[tier] = slices.Insert(list, at, waiting)
}

func (q *broadcastQueue) removeLast(tier int) {
	q.tiers[tier] = q.tiers[tier][:len(q.tiers[tier])-1]
	if q.length--; q.length == 0 {
		q.lastSequence = 0
	}
}
