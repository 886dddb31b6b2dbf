package fleet

import (
	"bufio"
	"context"
	"net"
	"strings"
	"time"
)

// watch is the front as the operators have it, before one balancer: it asks by PING again and again, leaves the balancer out after some
// misses in a row, and takes it back at the first answer. told hears of each change. It is out at the latest after
// misses times (every + wait) from when it answers no more.
func watch(ctx context.Context, addr string, every, wait time.Duration, misses int, told func(alive bool)) {
	alive, missed := true, 0
	beat := time.NewTicker(every)
	defer beat.Stop()
	for {
		if ping(ctx, addr, wait) {
			missed = 0
			if !alive {
				alive = true
				told(true)
			}
		} else if missed++; missed >= misses && alive && ctx.Err() == nil {
			alive = false
			told(false)
		}
		select {
		case <-ctx.Done():
			return
		case <-beat.C:
		}
	}
}

// ping asks once.
func ping(ctx context.Context, addr string, wait time.Duration) bool {
	d := net.Dialer{Timeout: wait}
	c, err := d.DialContext(ctx, "tcp", addr)
	if err != nil {
		return false
	}
	defer func() { _ = c.Close() }()
	_ = c.SetDeadline(time.Now().Add(wait))
	if _, err := c.Write([]byte("PING\r\n")); err != nil {
		return false
	}
	text, err := bufio.NewReaderSize(c, 64).ReadString('\n')
	return err == nil && strings.HasPrefix(text, "PONG")
}
