package scale

import "slices"

// broadcastID numbers the model's messages in the order of their publication.
type broadcastID int32

// broadcastQueue is a member's queue of messages to pass on. For messages of one size its order is that of memberlist's
// TransmitLimitedQueue: least transmitted first, then latest first.
type broadcastQueue struct {
	limit        int                 // transmissions of each message
	tiers        [][]queuedBroadcast // by number of transmissions so far; each sorted by sequence
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

// take appends messages of at most free bytes to a packet, and returns the packet and the bytes left. overhead is added
// to the size of each message. Messages that are not current are dropped from the queue.
func (q *broadcastQueue) take(into []broadcastID, free, overhead int, size func(broadcastID) int,
	current func(broadcastID) bool) ([]broadcastID, int) {
	var sent []queuedBroadcast
	taken := make([]int, q.limit) // by tier
	for t := range q.tiers {
		for len(q.tiers[t]) > 0 {
			last := len(q.tiers[t]) - 1
			queued := q.tiers[t][last]
			if !current(queued.id) {
				q.removeLast(t)
				continue
			}
			if size(queued.id)+overhead > free {
				break
			}
			q.removeLast(t)
			free -= size(queued.id) + overhead
			into = append(into, queued.id)
			sent = append(sent, queued)
			taken[t]++
		}
	}
	q.requeue(sent, taken)
	return into, free
}

// requeue moves the messages that were taken to the next tiers. It runs once all of them are taken, so that none is taken
// twice for one packet.
func (q *broadcastQueue) requeue(sent []queuedBroadcast, taken []int) {
	for t, count := range taken {
		if t+1 < q.limit {
			for _, queued := range sent[:count] {
				q.insert(t+1, queued)
			}
		}
		sent = sent[count:]
	}
}

func (q *broadcastQueue) insert(tier int, queued queuedBroadcast) {
	list := q.tiers[tier]
	at, found := slices.BinarySearchFunc(list, queued, func(a, b queuedBroadcast) int { return int(a.sequence - b.sequence) })
	if found {
		list[at] = queued
		return
	}
	q.length++
	q.tiers[tier] = slices.Insert(list, at, queued)
}

func (q *broadcastQueue) removeLast(tier int) {
	q.tiers[tier] = q.tiers[tier][:len(q.tiers[tier])-1]
	if q.length--; q.length == 0 {
		q.lastSequence = 0
	}
}
