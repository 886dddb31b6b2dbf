// Package simulator joins the decision module to the simulator's wire. It decodes a field and passes it
// straight into a call; the wire's names end here, and nothing is decided here.
package simulator

import (
	"bufio"
	"fmt"
	"io"
	"strconv"
	"strings"
	"time"

	"yardwinch/decide"
	"yardwinch/internal/config"
)

const longestTimer = 70 * time.Minute // the wire takes 71 at the most; longer ones are split

// host is one process: the instances on it share nothing but the numbered lists.
type host struct {
	in     *bufio.Reader
	out    *bufio.Writer
	line   int
	f      []string // fields of the current line
	bad    error
	now    int64
	cur    *instance
	spoken int
	insts  map[int]*instance
	lists  [16][]entry
}

// entry is one line of a numbered list, kept as the arguments of the call that takes it.
type entry func(*instance)

// instance is one balancer and what its names stand for.
type instance struct {
	h         *host
	id        int
	b         *decide.Balancer
	start     int64
	services  map[string]decide.ServiceID
	customers map[string]decide.CustomerID
	split     map[decide.TimerID]time.Duration
}

// Run serves until the input ends. A returned error names the line and its fault.
func Run(in io.Reader, out io.Writer) error {
	h := &host{in: bufio.NewReaderSize(in, 1<<16), out: newWriter(out)}
	h.insts = map[int]*instance{}
	for {
		ok, err := h.read()
		if err != nil || !ok {
			return err
		}
		if h.f[0] != "BEGIN_BATCH" {
			return h.fault("want BEGIN_BATCH, got %q", h.f[0])
		}
		h.now = h.whole(1)
		h.cur, h.spoken = nil, -1
		if err := h.batch(); err != nil {
			return err
		}
		h.out.WriteString("YIELD\n")
		if err := h.out.Flush(); err != nil {
			return err
		}
	}
}

func newWriter(w io.Writer) *bufio.Writer { return bufio.NewWriterSize(w, 1<<16) }

// read takes the next line that isn't empty; false at the end of the input.
func (h *host) read() (bool, error) {
	for {
		h.line++
		s, err := h.in.ReadString('\n')
		s = strings.TrimRight(s, "\r\n")
		if s == "" && err == io.EOF {
			return false, nil
		}
		if err != nil && err != io.EOF {
			return false, err
		}
		if s == "" {
			continue
		}
		h.f = h.f[:0]
		for {
			i := strings.IndexByte(s, '\t')
			if i < 0 {
				h.f = append(h.f, s)
				break
			}
			h.f = append(h.f, s[:i])
			s = s[i+1:]
		}
		return true, nil
	}
}

func (h *host) fault(format string, a ...any) error {
	return fmt.Errorf("line %d: %s", h.line, fmt.Sprintf(format, a...))
}

// str is field i, where "-" and a missing one are both absent.
func (h *host) str(i int) string {
	if i >= len(h.f) || h.f[i] == "-" {
		return ""
	}
	return h.f[i]
}

func (h *host) need(i int) string {
	s := h.str(i)
	if s == "" && h.bad == nil {
		h.bad = h.fault("%s: field %d is missing", h.f[0], i)
	}
	return s
}

// whole is a whole number that may be absent: then 0.
func (h *host) whole(i int) int64 {
	s := h.str(i)
	if s == "" {
		return 0
	}
	v, err := strconv.ParseInt(s, 10, 64)
	if err != nil && h.bad == nil {
		h.bad = h.fault("%s: field %d: bad number %q", h.f[0], i, s)
	}
	return v
}

func (h *host) needWhole(i int) int64 { h.need(i); return h.whole(i) }

func (h *host) real(i int) float64 {
	s := h.str(i)
	if s == "" {
		return 0
	}
	v, err := strconv.ParseFloat(s, 64)
	if err != nil && h.bad == nil {
		h.bad = h.fault("%s: field %d: bad number %q", h.f[0], i, s)
	}
	return v
}

func (h *host) flow() decide.FlowID { return decide.FlowID(h.need(1)) }

func (h *host) server(i int) decide.ServerID {
	v := h.needWhole(i)
	if (v < 0 || v >= 1<<32) && h.bad == nil {
		h.bad = h.fault("%s: field %d: no server number: %d", h.f[0], i, v)
	}
	return decide.ServerID(v)
}

var outcomes = map[string]decide.Outcome{
	"OK": decide.OK, "INTERNAL": decide.Error, "RESOURCE_EXHAUSTED": decide.Full,
	"DEADLINE_EXCEEDED": decide.TimedOut, "UNAVAILABLE": decide.Unreachable, "ABORTED": decide.Reset,
	"CANCELLED": decide.Cancelled, "TOO_LATE": decide.NeverSent,
}
var readiness = map[string]decide.Readiness{"IN": decide.Ready, "LAME": decide.Draining, "OUT": decide.Gone}
var listKinds = map[string]decide.UpdateKind{
	"D": decide.DeltaUpdate, "F": decide.FullUpdate, "C": decide.CachedUpdate, "X": decide.FailedUpdate}

// word looks a field up in the words that it may hold.
func word[T any](h *host, words map[string]T, i int) T {
	v, ok := words[h.need(i)]
	if !ok && h.bad == nil {
		h.bad = h.fault("%s: field %d: unknown word %q", h.f[0], i, h.str(i))
	}
	return v
}

func (h *host) batch() error {
	for {
		ok, err := h.read()
		if err != nil {
			return err
		}
		if !ok {
			return h.fault("the input ends within a batch")
		}
		if h.f[0] == "FLUSH" {
			return h.bad
		}
		if err := h.event(); err != nil {
			return err
		}
		if h.bad != nil {
			return h.bad
		}
	}
}

func (h *host) event() error {
	switch h.f[0] {
	case "FOR":
		id := int(h.needWhole(1))
		if h.bad != nil {
			return h.bad
		}
		if h.cur = h.insts[id]; h.cur == nil {
			h.cur = &instance{h: h, id: id}
			h.insts[id] = h.cur
		}
		return nil
	case "DIRECTORY":
		return h.directory()
	}
	in := h.cur
	if in == nil {
		return h.fault("%s without FOR", h.f[0])
	}
	if in.b == nil && h.f[0] != "SPAWN" {
		return h.fault("%s for an unknown instance %d", h.f[0], in.id)
	}
	return in.guarded()
}

// guarded turns a panic of the module into the wire's own message for it.
func (in *instance) guarded() (err error) {
	defer func() {
		if p := recover(); p != nil {
			in.say("FAULT\t" + strings.Map(plain, fmt.Sprint(p)))
		}
	}()
	return in.event()
}

func plain(r rune) rune {
	if r == '\n' || r == '\t' || r == '\r' {
		return ' '
	}
	return r
}

func (in *instance) event() error {
	h := in.h
	if h.f[0] == "SPAWN" {
		return in.spawn()
	}
	b := in.b
	b.SetTime(time.Duration(h.now - in.start))
	switch h.f[0] {
	case "KILL":
		in.b = nil
	case "UPDATE":
		return in.update()
	case "JOB_IN", "OPEN":
		id, s, c := h.flow(), in.service(2), in.customer(3)
		k, g := decide.FlowKey(h.str(4)), decide.GroupKey(h.str(7))
		left, marks := time.Duration(h.whole(5)), int(h.whole(8))
		if h.f[0] == "OPEN" {
			server := h.server(9)
			if h.bad == nil {
				b.AdoptFlow(decide.FlowRequest{ID: id, Service: s, Customer: c, Key: k, Group: g}, server)
			}
		} else if h.need(5); h.bad == nil {
			b.OnFlow(decide.FlowRequest{ID: id, Service: s, Customer: c, Key: k, Group: g, Timeout: left, Flags: marks})
		}
	case "FIRST":
		id, took := h.flow(), time.Duration(h.whole(4))
		if h.needWhole(2); h.bad == nil {
			b.OnEstablished(id, took)
		}
	case "CHANGE":
		id, what, amount := h.flow(), h.needWhole(4), h.real(5)
		if h.need(5); h.bad != nil {
			return h.bad
		}
		switch what {
		case 1:
			b.OnFlowLoad(id)
		case 2:
			b.OnLatencySample(id, time.Duration(amount*float64(time.Millisecond)))
		}
	case "CLOSED_ATTEMPT":
		id, server, o := h.flow(), h.server(3), word(h, outcomes, 4)
		took, over := time.Duration(h.whole(5)), h.whole(6) != 0
		if h.needWhole(2); h.bad == nil {
			if load, ok := config.ParseLoadReport(h.str(7)); ok {
				b.OnLoadReport(server, load)
			}
			b.OnEnded(id, o, took, over)
		}
	case "HANGUP":
		if id := h.flow(); h.bad == nil {
			b.OnClientLeft(id)
		}
	case "WAKE":
		m := decide.TimerID(h.needWhole(1))
		if rest := in.split[m]; rest > 0 {
			delete(in.split, m)
			in.SetTimer(m, rest)
		} else if h.bad == nil {
			b.OnTimer(m)
		}
	case "HEALTH_RESULT":
		server, o := h.server(1), word(h, outcomes, 2)
		if h.bad == nil {
			if load, ok := config.ParseLoadReport(h.str(4)); ok {
				b.OnLoadReport(server, load)
			}
			b.OnHealthCheck(server, o)
		}
	case "NEIGHBOUR_SAYS": // nobody is told anything here, and whoever tells is not heard
	default:
		return h.fault("unknown message %q", h.f[0])
	}
	return h.bad
}

func (in *instance) service(i int) decide.ServiceID {
	s, ok := in.services[in.h.need(i)]
	if !ok && in.h.bad == nil {
		in.h.bad = in.h.fault("%s: unknown service type %q", in.h.f[0], in.h.str(i))
	}
	return s
}

func (in *instance) customer(i int) decide.CustomerID {
	if c, ok := in.customers[in.h.str(i)]; ok {
		return c
	}
	return decide.NoCustomer
}
