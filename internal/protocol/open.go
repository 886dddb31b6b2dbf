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
	// maxTimeout bounds a client's time: one that is longer means something else.
	maxTimeout = 10 * time.Minute
	// maxNames bounds the list of an OPEN line: each name is looked for among all before it.
	maxNames = 64
	// answerMargin is kept back from a client's time: its line took a while to come here, and the answer takes one to
	// go back.
	answerMargin = 12 * time.Millisecond
)

var errBadOpen = errors.New("bad OPEN")

// openRequest is what an OPEN line says.
type openRequest struct {
	flow     FlowInfo
	resumeAt string // the server where the connection was open before; empty: it is new
	timeout  time.Duration
	flags    int // routing's Flag constants
}

// parseOpen reads an OPEN line. It is strict, as a server closes a connection on what it can't read and rejects what it
// can't use, and either would count against the server. A name that stands twice could mean one thing here and another
// at the server. Names that are not known here are the request's own.
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

// set takes over one pair.
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

// withTimeout is the OPEN line as it is forwarded to a server: only the client's timeout is replaced by what is left.
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
