package routing

// flowList is an intrusive doubly linked list of flows in insertion order: adding and removing a flow take constant
// time and allocate nothing.
type flowList struct {
	linkIndex   int // which of a flow's links belongs to this list
	first, last *Flow
}

// The lists that a flow may be in, by the index of its link.
const (
	awaitingReplyLinks = iota
	lastRequestLinks
	linkCount
)

// flowLink is a flow's position in a list.
type flowLink struct {
	previous, next *Flow
	isListed       bool
}

func (l *flowList) next(f *Flow) *Flow { return f.links[l.linkIndex].next }

func (l *flowList) contains(f *Flow) bool { return f.links[l.linkIndex].isListed }

// push appends a flow, which must not be in the list.
func (l *flowList) push(f *Flow) {
	f.links[l.linkIndex] = flowLink{previous: l.last, isListed: true}
	if l.last == nil {
		l.first = f
	} else {
		l.last.links[l.linkIndex].next = f
	}
	l.last = f
}

// remove removes a flow from the list, if it is there.
func (l *flowList) remove(f *Flow) {
	link := f.links[l.linkIndex]
	if !link.isListed {
		return
	}
	f.links[l.linkIndex] = flowLink{}
	if link.previous == nil {
		l.first = link.next
	} else {
		link.previous.links[l.linkIndex].next = link.next
	}
	if link.next == nil {
		l.last = link.previous
	} else {
		link.next.links[l.linkIndex].previous = link.previous
	}
}
