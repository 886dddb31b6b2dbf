package scale

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
)

// listEntry is a server as discovery tells of it, in the order of PROTOCOL.md.
type listEntry struct {
	ID       string  `json:"id"`
	HostPort string  `json:"host_port"`
	Locality string  `json:"locality"`
	Flavor   string  `json:"flavor"`
	Cell     int     `json:"cell"`
	Phase    string  `json:"phase"`
	Size     float64 `json:"size"`
	UpSince  int64   `json:"up_since_ms"`
}

// listObject is what discovery writes: a whole list, or changes of it.
type listObject struct {
	Revision int         `json:"revision"`
	Complete bool        `json:"complete"`
	Members  []listEntry `json:"members"`
}

const (
	listZones     = 25
	listUpSince   = 1764652800000
	servingPhase  = "SERVING"
	drainingPhase = "DRAINING"
)

func entryOf(i int) listEntry {
	return listEntry{
		ID:       fmt.Sprintf("s-%08x", uint32(serverNumber(i))),
		HostPort: fmt.Sprintf("10.%d.%d.%d:8080", i>>16, i>>8&0xff, i&0xff),
		Locality: fmt.Sprintf("zone-%02d", i%listZones),
		Flavor:   "m2",
		Cell:     i % listZones,
		Phase:    servingPhase,
		Size:     1,
		UpSince:  listUpSince,
	}
}

// fullList is a list of so many servers.
func fullList(servers, revision int) listObject {
	o := listObject{Revision: revision, Complete: true}
	for i := range servers {
		o.Members = append(o.Members, entryOf(i))
	}
	return o
}

// changedServers draws which server each of so many changes is about.
func changedServers(chance *rand.Rand, servers, changes int) []int {
	which := make([]int, changes)
	for i := range which {
		which[i] = chance.IntN(servers)
	}
	return which
}

// changesOneByOne is an object a change, which takes a server out or gives it back.
func changesOneByOne(which []int, revision int) (objects []listObject) {
	draining := map[int]bool{}
	for i, server := range which {
		draining[server] = !draining[server]
		objects = append(objects, listObject{Revision: revision + i, Members: []listEntry{changedEntry(server, draining[server])}})
	}
	return objects
}

// changesMerged is one object with the last word on each server that changed, in the order of the changes.
func changesMerged(which []int, revision int) listObject {
	draining := map[int]bool{}
	for _, server := range which {
		draining[server] = !draining[server]
	}
	o := listObject{Revision: revision + len(which) - 1}
	told := map[int]bool{}
	for _, server := range which {
		if !told[server] {
			told[server] = true
			o.Members = append(o.Members, changedEntry(server, draining[server]))
		}
	}
	return o
}

func changedEntry(server int, draining bool) listEntry {
	e := entryOf(server)
	if draining {
		e.Phase = drainingPhase
	}
	return e
}

// line is the object as discovery writes it, on one line.
func (o listObject) line() []byte {
	text, err := json.Marshal(o)
	if err != nil {
		panic(err) // text and numbers can be written
	}
	return append(text, '\n')
}

func lines(objects []listObject) (all [][]byte) {
	for _, o := range objects {
		all = append(all, o.line())
	}
	return all
}

// listSizes are the bytes of what is written of a list of so many servers.
type listSizes struct {
	whole, head, entry int // a whole list; an object of changes without any, and each of them
}

func measureListSizes(servers int) listSizes {
	const revision = 100_000
	one := listObject{Revision: revision, Members: []listEntry{entryOf(servers - 1)}}
	two := listObject{Revision: revision, Members: []listEntry{entryOf(servers - 1), entryOf(servers - 1)}}
	entry := len(two.line()) - len(one.line())
	return listSizes{whole: len(fullList(servers, revision).line()), head: len(one.line()) - entry, entry: entry}
}

// changes is the size of an object with so many of them.
func (s listSizes) changes(count int) int { return s.head + count*s.entry }
