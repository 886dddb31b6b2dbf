// Package protocol speaks the platform's lines of text: with clients, servers, discovery and other balancers. It
// decides nothing; what it decodes goes straight into a call of routing.
package protocol

import (
	"bufio"
	"errors"
	"fmt"
	"net/textproto"
	"slices"
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
	longestWait = 10 * time.Minute // a client whose time is longer means something else
	mostNames   = 64               // in a list: each is looked for among all before it
	// Kept back from a client's time: its line took a while to come here, and the answer takes one to go back.
	answerMargin = 12 * time.Millisecond
)

var errBadOpen = errors.New("bad OPEN")

// opened hands over the fields of an OPEN line. Unknown names are further figures of the request. It is strict, as
// servers close on what they can't read and turn away what they can't use, and that would be held against them; a
// name that stands twice could mean one thing here and another there.
func opened(line string, take func(id, key, service, customer, group, at string, wait time.Duration,
	marks int)) error {
	for i := range len(line) {
		if line[i] < ' ' || line[i] > '~' {
			return fmt.Errorf("%w: not printable", errBadOpen)
		}
	}
	f := strings.Split(line, " ")
	if len(f) != 4 || f[0] != "OPEN" || f[1] == "" || f[2] == "" {
		return fmt.Errorf("%w: want OPEN ID KEY LIST", errBadOpen)
	}
	var service, customer, group, at string
	var wait time.Duration
	var marks int
	var names []string
	for _, pair := range strings.Split(f[3], ",") {
		name, value, ok := strings.Cut(pair, "=")
		if !ok || name == "" {
			return fmt.Errorf("%w: no name=value pair", errBadOpen)
		}
		if slices.Contains(names, name) {
			return fmt.Errorf("%w: a name stands twice", errBadOpen)
		}
		if names = append(names, name); len(names) > mostNames {
			return fmt.Errorf("%w: too many names", errBadOpen)
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
			n, err := strconv.ParseUint(value, 10, 32)
			if wait = time.Duration(n) * time.Millisecond; err != nil || n == 0 {
				return fmt.Errorf("%w: bad d", errBadOpen)
			}
		case "h":
			marks |= routing.FlagLoadHint
		case "r":
			if value == "1" {
				marks |= routing.FlagRetry
			}
		case "again":
			if value == "1" {
				marks |= routing.FlagReturning
			}
		}
	}
	switch {
	case service == "" || wait == 0 && at == "":
		return fmt.Errorf("%w: c or d is missing", errBadOpen)
	case wait > longestWait && at == "":
		return fmt.Errorf("%w: d is too long", errBadOpen)
	}
	take(f[1], f[2], service, customer, group, at, wait, marks)
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
