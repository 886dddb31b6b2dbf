// Package protocol speaks the platform's lines of text: with clients, servers, discovery and other balancers. It
// decides nothing; what it decodes goes straight into a call of routing.
package protocol

import (
	"bufio"
	"errors"
	"fmt"
	"net/textproto"
	"strconv"
	"strings"
	"sync"
	"time"

	"yardwinch/internal/routing"
	"yardwinch/internal/transport"
)

// text reads and writes single lines with net/textproto. A Conn never gives it more than one line, so that nothing
// stays behind in it and one serves any number of connections: per connection, textproto alone would keep two
// buffers of 4 KiB that never shrink, and read lines without end.
type text struct {
	in    *bufio.Reader
	lines textproto.Reader
	out   *bufio.Writer
	write textproto.Writer
}

var texts = sync.Pool{New: func() any {
	t := &text{in: bufio.NewReaderSize(nil, 256), out: bufio.NewWriterSize(nil, 4200)}
	t.lines, t.write = textproto.Reader{R: t.in}, textproto.Writer{W: t.out}
	return t
}}

func readLine(c *transport.Conn) (string, error) {
	t := texts.Get().(*text)
	defer texts.Put(t)
	t.in.Reset(c)
	return t.lines.ReadLine()
}

// writeLine sends one line. An error means that its last byte was not written.
func writeLine(c *transport.Conn, format string, a ...any) error {
	t := texts.Get().(*text)
	defer texts.Put(t)
	t.out.Reset(c)
	return t.write.PrintfLine(format, a...)
}

const (
	longestWait = 10 * time.Minute // no client's time is taken to be longer
	// Kept back from a client's time: its line took a while to come here, and the answer takes one to go back.
	answerMargin = 12 * time.Millisecond
)

var errBadOpen = errors.New("bad OPEN")

// opened hands over the fields of an OPEN line. Unknown names are further figures of the request.
func opened(line string, take func(key, service, customer, group, at string, wait time.Duration, marks int)) error {
	f := strings.Split(line, " ")
	if len(f) != 4 || f[0] != "OPEN" || f[1] == "" || f[2] == "" {
		return fmt.Errorf("%w: want OPEN ID KEY LIST", errBadOpen)
	}
	var service, customer, group, at string
	var wait time.Duration
	var marks int
	for _, pair := range strings.Split(f[3], ",") {
		name, value, ok := strings.Cut(pair, "=")
		if !ok {
			return fmt.Errorf("%w: no name=value pair", errBadOpen)
		}
		switch name {
		case "c":
			service = value
		case "t":
			customer = value
		case "g":
			group = value
		case "at":
			at = value
		case "d":
			ms, err := strconv.ParseFloat(value, 64)
			if err != nil || !(ms > 0) {
				return fmt.Errorf("%w: bad d", errBadOpen)
			}
			wait = time.Duration(min(ms*float64(time.Millisecond), float64(longestWait)))
		case "h":
			marks |= routing.MarkHint
		case "r":
			if value == "1" {
				marks |= routing.MarkRepeat
			}
		case "again":
			if value == "1" {
				marks |= routing.MarkBack
			}
		}
	}
	if service == "" || wait == 0 && at == "" {
		return fmt.Errorf("%w: c or d is missing", errBadOpen)
	}
	take(f[2], service, customer, group, at, wait, marks)
	return nil
}

// withWait is the OPEN line as it goes on to a server: unchanged, but for how long is left to wait.
func withWait(line string, left time.Duration) string {
	i := strings.LastIndexByte(line, ' ') + 1
	pairs := strings.Split(line[i:], ",")
	for k, pair := range pairs {
		if strings.HasPrefix(pair, "d=") {
			pairs[k] = "d=" + strconv.FormatInt(max(left.Milliseconds(), 1), 10)
		}
	}
	return line[:i] + strings.Join(pairs, ",")
}

func word(line string) string {
	w, _, _ := strings.Cut(line, " ")
	return w
}
