package scale

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
)

// listEntry is a server in discovery's endpoint list, with its fields in the order of PROTOCOL.md.
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

// listObject is a message of discovery: a full list, or changes to the list.
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
		ID:       fmt.Sprintf("s-%08x", uint32(serverIDOf(i))),
		HostPort: fmt.Sprintf("10.%d.%d.%d:8080", i>>16, i>>8&0xff, i&0xff),
		Locality: fmt.Sprintf("zone-%02d", i%listZones),
		Flavor:   "m2",
		Cell:     i % listZones,
		Phase:    servingPhase,
		Size:     1,
		UpSince:  listUpSince,
	}
}

// fullList returns a list of the given number of servers.
func fullList(servers, revision int) listObject {
	o := listObject{Revision: revision, Complete: true}
	for i := range servers {
		o.Members = append(o.Members, entryOf(i))
	}
	return o
}

// changedServers draws the server of each change at random.
func changedServers(random *rand.Rand, servers, changes int) []int {
	changed := make([]int, changes)
	for i := range changed {
		changed[i] = random.IntN(servers)
	}
	return changed
}

// changesOneByOne returns one object per change; each change drains a server or returns it to service.
func changesOneByOne(servers []int, revision int) (objects []listObject) {
	draining := map[int]bool{}
	for i, server := range servers {
		draining[server] = !draining[server]
		objects = append(objects, listObject{Revision: revision + i, Members: []listEntry{changedEntry(server, draining[server])}})
	}
	return objects
}

// changesMerged returns one object with the final state of each changed server, in the order of the changes.
func changesMerged(servers []int, revision int) listObject {
	draining := map[int]bool{}
	for _, server := range servers {
		draining[server] = !draining[server]
	}
	o := listObject{Revision: revision + len(servers) - 1}
	published := map[int]bool{}
	for _, server := range servers {
		if !published[server] {
			published[server] = true
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

// line encodes the object as one line of JSON, as discovery does.
func (o listObject) line() []byte {
	text, err := json.Marshal(o)
	if err != nil {
		panic(err) // the type has only strings, numbers and booleans
	}
	return append(text, '\n')
}

func lines(objects []listObject) (all [][]byte) {
	for _, o := range objects {
		all = append(all, o.line())
	}
	return all
}

// listSizes are the sizes in bytes of discovery's messages and their parts.
type listSizes struct {
	full, header, entry int // a full list; an object without entries; an entry
}

func measureListSizes(servers int) listSizes {
	const revision = 100_000
	one := listObject{Revision: revision, Members: []listEntry{entryOf(servers - 1)}}
	two := listObject{Revision: revision, Members: []listEntry{entryOf(servers - 1), entryOf(servers - 1)}}
	entry := len(two.line()) - len(one.line())
	return listSizes{full: len(fullList(servers, revision).line()), header: len(one.line()) - entry, entry: entry}
}

// changes returns the size in bytes of an object with count changes.
func (s listSizes) changes(count int) int { return s.header + count*s.entry }
