package protocol

import (
	"context"
	"strconv"
	"strings"
	"sync"
	"time"

	"yardwinch/internal/routing"
	"yardwinch/internal/transport"
)

const (
	probeWithin = 250 * time.Millisecond
	mostProbes  = 4 // at once: each holds a descriptor
)

// Probe asks servers for their load, as the module wants it, until the context ends.
func Probe(ctx context.Context, r *routing.Router) {
	var all sync.WaitGroup
	for range mostProbes {
		all.Go(func() {
			for {
				addr, done, err := r.NextProbe(ctx)
				if err != nil {
					return
				}
				done(probe(ctx, addr))
			}
		})
	}
	all.Wait()
}

func probe(ctx context.Context, addr string) (o routing.Outcome, load, backlog float64) {
	end := time.Now().Add(probeWithin)
	c, err := transport.Dial(ctx, addr, probeWithin)
	if err != nil {
		return routing.Unreachable, -1, -1
	}
	defer c.Close()
	if err := writeLine(c, "STATS"); err != nil {
		return routing.Unreachable, -1, -1
	}
	c.ReadBy(end)
	line, err := readLine(c)
	switch {
	case err != nil && time.Now().After(end):
		return routing.TimedOut, -1, -1
	case err != nil:
		return routing.Reset, -1, -1
	case word(line) != "PONG":
		return routing.Error, -1, -1
	}
	load, backlog = report(line[len("PONG"):])
	return routing.OK, load, backlog
}

// report reads the two figures of a load report that the module takes; below nought where absent. How its pairs are
// set apart is not stated, so each usual way is taken, and what can't be read is passed over.
func report(s string) (load, backlog float64) {
	load, backlog = -1, -1
	for _, pair := range strings.FieldsFunc(s, func(r rune) bool { return strings.ContainsRune(" ,;\t{}", r) }) {
		i := strings.LastIndexAny(pair, ":=")
		if i < 0 {
			continue
		}
		v, err := strconv.ParseFloat(strings.Trim(pair[i+1:], `"`), 64)
		name := strings.Trim(pair[:i], `"`)
		if name = name[strings.LastIndexByte(name, '.')+1:]; err != nil || !(v >= 0) {
			continue
		}
		switch name {
		case "x0":
			load = v
		case "x1":
			backlog = v
		}
	}
	return load, backlog
}
