package fleet

import (
	"bufio"
	"context"
	"net"
	"strings"
	"time"
)

const maxReplyBytes = 64

// frontWatch acts as the operators' front for one balancer: it pings the balancer at an interval, leaves it out after maxMisses pings in a row
// without a reply, and takes it back at the first reply. A balancer that stops replying is left out after maxMisses × (interval + timeout) at
// the latest.
type frontWatch struct {
	address   string
	interval  time.Duration
	timeout   time.Duration
	maxMisses int
}

// run pings until the context ends and calls changed when the balancer is left out or taken back.
func (w frontWatch) run(ctx context.Context, changed func(isUp bool)) {
	isUp, misses := true, 0
	ticker := time.NewTicker(w.interval)
	defer ticker.Stop()
	for {
		if w.ping(ctx) {
			misses = 0
			if !isUp {
				isUp = true
				changed(true)
			}
		} else if misses++; misses >= w.maxMisses && isUp && ctx.Err() == nil {
			isUp = false
			changed(false)
		}
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

// ping reports whether the balancer replies in time.
func (w frontWatch) ping(ctx context.Context) bool {
	conn, err := (&net.Dialer{Timeout: w.timeout}).DialContext(ctx, "tcp", w.address)
	if err != nil {
		return false
	}
	defer func() { _ = conn.Close() }()
	_ = conn.SetDeadline(time.Now().Add(w.timeout)) // on a broken connection the write below fails too
	if _, err := conn.Write([]byte("PING\r\n")); err != nil {
		return false
	}
	line, err := bufio.NewReaderSize(conn, maxReplyBytes).ReadString('\n')
	return err == nil && strings.HasPrefix(line, "PONG")
}
