package logs

import (
	"bufio"
	"errors"
	"fmt"
	"io/fs"
	"path"
	"regexp"
	"strconv"
	"strings"
	"time"
)

// maxLineBytes is the longest line of a log that can be read.
const maxLineBytes = 1 << 20

// event is one line of a balancer's log.
type event struct {
	at       time.Time
	balancer string
	text     string            // the message, as this build logs it
	fields   map[string]string // by key, as this build logs them
}

// Events that the counter evaluates beyond counting them.
const (
	phaseChanged    = "phase changed"
	flowEstablished = "flow established"
	flowEnded       = "flow ended"
	latencySampled  = "latency sampled"
)

// eventNames maps the messages of earlier builds, whose logs can still be read, to those of this build. Counts are printed under the former
// messages, so that counts of earlier builds and of this one can be compared.
var eventNames = []struct {
	former, text string
	keys         map[string]string // former to present keys, where they differ
}{
	{former: "phase", text: phaseChanged, keys: map[string]string{"is": "phase"}},
	{former: "up", text: flowEstablished},
	{former: "ended", text: flowEnded, keys: map[string]string{"stood": "established"}},
	{former: "delay note", text: latencySampled, keys: map[string]string{"takes": "delay_ms"}},
	{former: "answered", text: "flow answered"},
	{former: "move", text: "migration requested"},
	{former: "module", text: "decision logged", keys: map[string]string{"says": "detail"}},
	{former: "server by hand", text: "server administrative state changed", keys: map[string]string{"out": "disabled"}},
	{former: "server list", text: "endpoint updated", keys: map[string]string{"since": "started_at"}},
	{former: "server list lost, the last one is kept", text: "endpoint watch lost"},
	{former: "server list is back", text: "endpoint watch recovered"},
	{former: "server list not fetched", text: "endpoint list fetch failed"},

	{former: "configuration read anew", text: "configuration reloaded",
		keys: map[string]string{"discovery": "discovery_address", "moved": "discovery_moved"}},
	{former: "configuration not taken yet, the one before holds", text: "configuration not reloaded yet, the current one remains"},
	{former: "configuration not taken, the one before holds", text: "configuration not reloaded, the current one remains"},
	{former: "these changes need a restart", text: "changed settings need a restart", keys: map[string]string{"keys": "settings"}},
	{former: "the configuration can't be read yet", text: "configuration not read yet"},
	{former: "old list not taken", text: "cached endpoint list not loaded"},
	{former: "columns of load reports that nobody knows are passed over", text: "unknown columns of load reports ignored"},
	{former: "limits.sockets: too few; some of what the process does for itself may find none", text: "descriptor limit too low",
		keys: map[string]string{"are": "limit", "needs": "needed"}},
	{former: "an address can't be opened yet", text: "address not opened yet", keys: map[string]string{"key": "setting"}},
	{former: "no calls are taken any more", text: "admin calls ended"},

	{former: "who was out by hand is not known", text: "disabled servers not restored"},
	{former: "out by hand as before", text: "disabled servers restored"},
	{former: "the folder fails: servers out by hand are held in memory alone",
		text: "directory failed, disabled servers are held in memory only"},
	{former: "the folder works again", text: "directory works again", keys: map[string]string{"after": "failed_for_ms"}},
	{former: "no hand-over to or from another process, and who is out by hand is forgotten at the end",
		text: "no hand-over, and disabled servers are not saved"},

	{former: "not taken over from the process that serves", text: "hand-over failed, starting alone"},
	{former: "hand-over broken off", text: "hand-over link failed"},
	{former: "the predecessor does not let go", text: "predecessor did not release"},
	{former: "no other process can take over from this one", text: "no hand-over to a successor"},
	{former: "no other process can take over from this one for now", text: "no hand-over to a successor for now"},
	{former: "the successor has ended: serving again", text: "successor ended, serving again"},
	{former: "connections handed over", text: "connections handed over", keys: map[string]string{"number": "connections"}},
}

// label returns the name under which an event is counted.
func label(text string) string {
	for _, name := range eventNames {
		if name.text == text {
			return name.former
		}
	}
	return text
}

// translate converts an event of an earlier build to this build's message and keys. Events of this build are left unchanged.
func (e *event) translate() {
	for _, name := range eventNames {
		if name.former != e.text {
			continue
		}
		e.text = name.text
		for former, present := range name.keys {
			if value, ok := e.fields[former]; ok {
				delete(e.fields, former)
				e.fields[present] = convertUnit(present, value)
			}
		}
		return
	}
}

// convertUnit converts a duration of an earlier build, such as 1.5s, to milliseconds if the key ends in _ms. Other values are returned unchanged.
func convertUnit(key, value string) string {
	if !strings.HasSuffix(key, "_ms") {
		return value
	}
	duration, err := time.ParseDuration(value)
	if err != nil {
		return value
	}
	return strconv.FormatFloat(duration.Seconds()*1000, 'f', -1, 64)
}

// milliseconds returns the duration in a field of milliseconds; ok is false if the field is missing or not a number.
func (e *event) milliseconds(key string) (duration time.Duration, ok bool) {
	number, err := strconv.ParseFloat(e.fields[key], 64)
	return time.Duration(number * float64(time.Millisecond)), err == nil
}

var fieldPattern = regexp.MustCompile(`([a-z_]+)=("(?:[^"\\]|\\.)*"|\S+)`)

var errUnknownFormat = errors.New("unknown line format")

// parseLine parses one line of a balancer's log.
func parseLine(balancer, line string) (event, error) {
	e := event{balancer: balancer, fields: map[string]string{}}
	for _, match := range fieldPattern.FindAllStringSubmatch(line, -1) {
		e.fields[match[1]] = strings.Trim(match[2], `"`)
	}
	e.text = e.fields["msg"]
	at, err := time.Parse(time.RFC3339, e.fields["time"])
	if err != nil || e.text == "" {
		return event{}, errUnknownFormat
	}
	e.at = at
	e.translate()
	return e, nil
}

// readEvents reads the logs of a directory, one file per balancer. Lines of another format are counted in skipped.
func readEvents(directory fs.FS) (events []event, skipped int, err error) {
	names, err := fs.Glob(directory, "*.log")
	if err != nil {
		return nil, 0, err
	}
	if len(names) == 0 {
		return nil, 0, errors.New("no *.log files in the directory")
	}
	for _, name := range names {
		read, skippedLines, err := readLog(directory, name)
		if err != nil {
			return nil, 0, fmt.Errorf("logs: %s: %w", name, err)
		}
		events = append(events, read...)
		skipped += skippedLines
	}
	return events, skipped, nil
}

func readLog(directory fs.FS, name string) (events []event, skipped int, err error) {
	file, err := directory.Open(name)
	if err != nil {
		return nil, 0, err
	}
	defer func() { _ = file.Close() }() // read only
	balancer := strings.TrimSuffix(path.Base(name), ".log")
	lines := bufio.NewScanner(file)
	lines.Buffer(nil, maxLineBytes)
	for lines.Scan() {
		e, err := parseLine(balancer, lines.Text())
		if err != nil {
			skipped++
			continue
		}
		events = append(events, e)
	}
	return events, skipped, lines.Err()
}
