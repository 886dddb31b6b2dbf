package protocol

import (
	"errors"
	"fmt"
	"slices"
	"strconv"
	"strings"
	"time"

	"yardwinch/internal/routing"
)

const (
	// maxTimeout bounds a client's timeout. A longer one is taken for an error.
	maxTimeout = 10 * time.Minute
	// maxNames bounds the list of an OPEN line, as the check for duplicates is quadratic.
	maxNames = 64
	// replyMargin is subtracted from a client's timeout for the transit of its line and of the reply.
	replyMargin = 12 * time.Millisecond
)

var errBadOpen = errors.New("bad OPEN")

// openRequest is a parsed OPEN line.
type openRequest struct {
	flow     FlowInfo
	resumeAt string // the server at which the connection was open before; empty for a new flow
	timeout  time.Duration
	flags    int // routing's Flag constants
}

// parseOpen parses an OPEN line. It is strict, as a server closes the connection on a line that it can't parse and
// rejects one that it can't use, and either would count against the server. It refuses duplicate names, which the
// server could resolve differently. It ignores unknown names, which are meant for the server.
func parseOpen(line string) (openRequest, error) {
	for i := range len(line) {
		if line[i] < ' ' || line[i] > '~' {
			return openRequest{}, fmt.Errorf("%w: not printable", errBadOpen)
		}
	}
	fields := strings.Split(line, " ")
	if len(fields) != 4 || fields[0] != "OPEN" || fields[1] == "" || fields[2] == "" {
		return openRequest{}, fmt.Errorf("%w: want OPEN ID KEY LIST", errBadOpen)
	}
	request := openRequest{flow: FlowInfo{ID: fields[1], Key: fields[2]}}
	if err := request.parseList(fields[3]); err != nil {
		return openRequest{}, err
	}
	isNew := request.resumeAt == ""
	switch {
	case request.flow.Service == "" || request.timeout == 0 && isNew:
		return openRequest{}, fmt.Errorf("%w: c or d is missing", errBadOpen)
	case request.timeout > maxTimeout && isNew:
		return openRequest{}, fmt.Errorf("%w: d is too long", errBadOpen)
	}
	return request, nil
}

// parseList reads the comma-separated list of name=value pairs.
func (r *openRequest) parseList(list string) error {
	var names []string
	for _, pair := range strings.Split(list, ",") {
		name, value, ok := strings.Cut(pair, "=")
		if !ok || name == "" {
			return fmt.Errorf("%w: no name=value pair", errBadOpen)
		}
		if slices.Contains(names, name) {
			return fmt.Errorf("%w: a name stands twice", errBadOpen)
		}
		if names = append(names, name); len(names) > maxNames {
			return fmt.Errorf("%w: too many names", errBadOpen)
		}
		if err := r.set(name, value); err != nil {
			return err
		}
	}
	return nil
}

// set applies one pair.
func (r *openRequest) set(name, value string) error {
	switch name {
	case "c":
		r.flow.Service = value
	case "t":
		r.flow.Customer = value
	case "g":
		r.flow.Group = value
	case "at":
		r.resumeAt = value
	case "d":
		milliseconds, err := strconv.ParseUint(value, 10, 32)
		if err != nil || milliseconds == 0 {
			return fmt.Errorf("%w: bad d", errBadOpen)
		}
		r.timeout = time.Duration(milliseconds) * time.Millisecond
	case "h":
		r.flags |= routing.FlagLoadHint
	case "r":
		if value == "1" {
			r.flags |= routing.FlagRetry
		}
	case "again":
		if value == "1" {
			r.flags |= routing.FlagReturning
		}
	}
	return nil
}

// withTimeout returns the OPEN line as it is forwarded to a server: the client's timeout is replaced by the time left,
// and the rest is unchanged.
func withTimeout(line string, left time.Duration) string {
	listAt := strings.LastIndexByte(line, ' ') + 1
	pairs := strings.Split(line[listAt:], ",")
	for i, pair := range pairs {
		if strings.HasPrefix(pair, "d=") {
			pairs[i] = "d=" + strconv.FormatInt(max(left.Milliseconds(), 1), 10)
		}
	}
	return line[:listAt] + strings.Join(pairs, ",")
}
