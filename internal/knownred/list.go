package knownred

import (
	"bufio"
	"fmt"
	"io"
	"strings"
)

const (
	maxEntries     = 3 // known failures have to stay exceptions
	fieldSeparator = " — "
)

// Entry is a test that is known to fail.
type Entry struct {
	Test  string // name of a top-level test
	Cause string
	Issue string
}

// LineError reports an invalid line of the list.
type LineError struct {
	Line   int // starting at 1
	Reason string
}

// Error returns the line number and the reason.
func (e *LineError) Error() string { return fmt.Sprintf("line %d: %s", e.Line, e.Reason) }

// ReadList reads a list with one entry a line, in the form "TestName — cause — issue". It returns a *LineError for an invalid line, and
// wraps errors of the reader.
func ReadList(r io.Reader) ([]Entry, error) {
	var entries []Entry
	lines := bufio.NewScanner(r)
	for number := 1; lines.Scan(); number++ {
		entry, ok := parseEntry(lines.Text())
		switch {
		case !ok:
			return nil, &LineError{number, "want TestName — cause — issue"}
		case number > maxEntries:
			return nil, &LineError{number, fmt.Sprintf("the list is limited to %d tests", maxEntries)}
		case isListed(entries, entry.Test):
			return nil, &LineError{number, entry.Test + " is listed twice"}
		}
		entries = append(entries, entry)
	}
	if err := lines.Err(); err != nil {
		return nil, fmt.Errorf("read the list of known failures: %w", err)
	}
	return entries, nil
}

func parseEntry(line string) (entry Entry, ok bool) {
	fields := strings.Split(line, fieldSeparator)
	if len(fields) != 3 {
		return Entry{}, false
	}
	entry = Entry{Test: fields[0], Cause: fields[1], Issue: fields[2]}
	isTopLevelTest := strings.HasPrefix(entry.Test, "Test") && !strings.ContainsAny(entry.Test, " /")
	return entry, isTopLevelTest && strings.TrimSpace(entry.Cause) != "" && strings.TrimSpace(entry.Issue) != ""
}

func isListed(entries []Entry, test string) bool {
	for _, entry := range entries {
		if entry.Test == test {
			return true
		}
	}
	return false
}
