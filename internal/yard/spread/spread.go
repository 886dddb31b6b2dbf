// Package spread plays in virtual time how what balancers tell each other spreads: the deciders, the encoding and the engine's rules of
// passing on as they are shipped, the engine itself a model of them. Figures are simulated.
package spread

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"yardwinch/decide"
	"yardwinch/fleet/signals"
	"yardwinch/internal/world"
)

// The engine's rules, as internal/members/engine sets them.
const (
	gossipEvery = 200 * time.Millisecond
	gossipTo    = 3
	packet      = 1400
	headers     = 28 + 6 // of a datagram, and of what the engine puts round a message
	retransmit  = 3
	tellEvery   = 250 * time.Millisecond
	step        = 10 * time.Millisecond
	watched     = decide.ServerID(1)
	others      = 8 // further servers on which all is well
)

// Way is what the ways between members do.
type Way struct {
	Delay, Jitter time.Duration
	Loss          float64
}

// Run is one play: so many members, of which a share holds a connection to the server that is late from a time on.
type Run struct {
	Members int
	Seed    uint64
	Share   float64 // of members that see it at first hand
	Way     Way
	From    time.Duration // when it becomes late
	Length  time.Duration
	Split   bool // halves that can't hear each other, until From + 10 s
}

// Result is what came of it. Figures are a member's and a second's, on average, and the most of any member.
type Result struct {
	Members   int           `json:"members"`
	Seed      uint64        `json:"seed"`
	Half      time.Duration `json:"half_ns"`     // from the first word until half of all know
	Most      time.Duration `json:"most_ns"`     // until 99 in 100 do; below 0: never
	Quiet     float64       `json:"quiet_bytes"` // sent before the trouble
	Busy      float64       `json:"busy_bytes"`  // sent in the 5 s after it began
	Busiest   float64       `json:"busiest_bytes"`
	Packets   float64       `json:"quiet_packets"`
	Heard     float64       `json:"messages_heard"` // a second, while quiet
	Knowing   []int         `json:"knowing"`        // by tenth of a second from the trouble on
	FalseDear int           `json:"dear_before"`    // members to whom it was dearer before it was late
}

type waiting struct {
	key  signals.Origin
	text []byte
	sent int
}

type member struct {
	s       *signals.Signals
	queue   []*waiting
	gossip  time.Duration // phases
	tell    time.Duration
	first   bool // sees it at first hand
	bytes   [2]int
	packets int
	heard   int
	half    int
	knows   bool
}

func (m *member) say(key signals.Origin, text []byte) {
	for _, w := range m.queue {
		if w.key == key {
			w.text, w.sent = text, 0
			return
		}
	}
	m.queue = append(m.queue, &waiting{key, text, 0})
}

// pack takes what fits into one packet, what was sent least first, as the engine does.
func (m *member) pack(limit int) (out [][]byte, size int) {
	slices.SortStableFunc(m.queue, func(a, b *waiting) int { return a.sent - b.sent })
	size = headers
	for _, w := range m.queue {
		if size+len(w.text)+headers > packet {
			continue
		}
		out = append(out, w.text)
		size += len(w.text) + 6
		w.sent++
	}
	m.queue = slices.DeleteFunc(m.queue, func(w *waiting) bool { return w.sent >= limit })
	return out, size
}

type arrival struct {
	to   int
	text [][]byte
}

// Play plays one run.
func Play(r Run) (*Result, error) {
	chance := world.Chance(r.Seed, "spread", r.Members)
	all := make([]*member, r.Members)
	for i := range all {
		name := signals.Origin(fmt.Sprintf("member-%04d", i))
		m := &member{s: signals.New(name, 1, "0123456789ab", "0123456789abcdef", 80*time.Millisecond, 300*time.Millisecond, true),
			gossip: phase(chance, gossipEvery), tell: phase(chance, tellEvery), half: i % 2, first: float64(i) < math.Max(2, r.Share*float64(r.Members))}
		m.s.At(0)
		for k := range others {
			if chance.Float64() < 0.5 {
				m.s.Stood("x", watched+1+decide.ServerID(k), time.Millisecond)
			}
		}
		if m.first {
			m.s.Stood("f", watched, time.Millisecond)
		}
		all[i] = m
	}
	limit := retransmit * int(math.Ceil(math.Log10(float64(r.Members+1))))
	due := map[time.Duration][]arrival{}
	res := &Result{Members: r.Members, Seed: r.Seed, Most: -1, Half: -1}
	busy := r.From + 5*time.Second
	for now := time.Duration(0); now < r.Length; now += step {
		for _, a := range due[now] {
			m := all[a.to]
			m.s.At(now)
			for _, b := range a.text {
				if now < r.From {
					m.heard++
				}
				rec, err := signals.Decode(b)
				if err != nil {
					return nil, err
				}
				if m.s.Merge(rec) {
					m.say(rec.Origin, b)
				}
			}
		}
		delete(due, now)
		for i, m := range all {
			m.s.At(now)
			if m.first && now >= r.From && now%time.Second == time.Duration(i%100)*step {
				m.s.Late(watched, time.Second)
			}
			if now%tellEvery == m.tell {
				if rec, ok := m.s.Tell(r.Members); ok {
					b, err := signals.Encode(rec)
					if err != nil {
						return nil, err
					}
					m.say(rec.Origin, b)
				}
			}
			if now%gossipEvery == m.gossip && r.Members > 1 {
				for range min(gossipTo, r.Members-1) {
					if len(m.queue) == 0 {
						break
					}
					text, size := m.pack(limit)
					if len(text) == 0 {
						break
					}
					m.count(now, r, busy, size)
					to := chance.IntN(r.Members - 1)
					if to >= i {
						to++
					}
					lost := chance.Float64() < r.Way.Loss || r.Split && all[to].half != m.half && now < r.From+10*time.Second
					way := r.Way.Delay + time.Duration(chance.Float64()*float64(r.Way.Jitter))
					if !lost {
						at := (now + max(way, step) + step - 1) / step * step
						due[at] = append(due[at], arrival{to, text})
					}
				}
			}
		}
		if now%(100*time.Millisecond) == 0 {
			res.look(all, now, r)
		}
	}
	quiet := 0
	for _, m := range all {
		quiet += m.bytes[0]
		res.Busy += float64(m.bytes[1]) / 5 / float64(r.Members)
		res.Busiest = max(res.Busiest, float64(m.bytes[1])/5)
		res.Packets += float64(m.packets) / r.From.Seconds() / float64(r.Members)
		res.Heard += float64(m.heard) / r.From.Seconds() / float64(r.Members)
	}
	res.Quiet = float64(quiet) / r.From.Seconds() / float64(r.Members)
	return res, nil
}

func phase(r *rand.Rand, of time.Duration) time.Duration {
	return time.Duration(r.IntN(int(of/step))) * step
}

func (m *member) count(now time.Duration, r Run, busy time.Duration, size int) {
	switch {
	case now < r.From:
		m.bytes[0] += size
		m.packets++
	case now < busy:
		m.bytes[1] += size
	}
}

// look counts who knows.
func (res *Result) look(all []*member, now time.Duration, r Run) {
	knowing := 0
	for _, m := range all {
		extra, _ := m.s.Server("q", watched)
		// Who sees it itself needs nobody's word.
		knows := extra > 0 || m.first && now >= r.From+time.Second
		if knows && now < r.From {
			res.FalseDear++
		}
		if knows {
			knowing++
		}
	}
	if now < r.From {
		return
	}
	res.Knowing = append(res.Knowing, knowing)
	if res.Half < 0 && 2*knowing >= len(all) {
		res.Half = now - r.From
	}
	if res.Most < 0 && float64(knowing) >= 0.99*float64(len(all)) {
		res.Most = now - r.From
	}
}
