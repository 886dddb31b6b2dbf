// Package logs counts over all balancers of a day, second by second, what their logs (`serve --verbose`) tell one by one:
// what is fine at each and too much together shows in no single log.
package logs

import (
	"bufio"
	"cmp"
	"fmt"
	"io"
	"io/fs"
	"maps"
	"path"
	"regexp"
	"slices"
	"strconv"
	"strings"
	"time"

	"yardwinch/decide"
)

// Second is what happened in one second over all balancers, and what stood at its end.
type Second struct {
	Events map[string]int
	Held   map[string]int           // flows by server
	Late   map[string]time.Duration // the longest delay told by server
}

type event struct {
	at       time.Time
	balancer string
	kind     string
	fields   map[string]string
}

var field = regexp.MustCompile(`([a-z_]+)=("(?:[^"\\]|\\.)*"|\S+)`)

// Count merges the logs of a folder, one file a balancer, and counts by second since the first line. Lines of another
// form are passed over; their number is told.
func Count(folder fs.FS) (seconds []Second, other int, err error) {
	files, err := fs.Glob(folder, "*.log")
	if err == nil && len(files) == 0 {
		err = fmt.Errorf("no file *.log in the folder")
	}
	var all []event
	for _, name := range files {
		var bad int
		if all, bad, err = read(folder, name, all); err != nil {
			return nil, 0, fmt.Errorf("logs: %s: %w", name, err)
		}
		other += bad
	}
	if err != nil || len(all) == 0 {
		return nil, other, err
	}
	slices.SortStableFunc(all, func(x, y event) int { return x.at.Compare(y.at) })
	where, held := map[[2]string]string{}, map[string]int{}
	for _, e := range all {
		for n := int(e.at.Sub(all[0].at) / time.Second); len(seconds) <= n; {
			if len(seconds) > 0 {
				seconds[len(seconds)-1].Held = maps.Clone(held)
			}
			seconds = append(seconds, Second{Events: map[string]int{}, Late: map[string]time.Duration{}})
		}
		s, flow, server := &seconds[len(seconds)-1], [2]string{e.balancer, e.fields["flow"]}, e.fields["server"]
		switch e.kind { // by the words of this build, and of earlier ones
		case "flow established", "up":
			where[flow] = server
			held[server]++
		case "flow ended", "ended":
			if o, err := strconv.Atoi(e.fields["outcome"]); err == nil && o >= 0 && o <= int(decide.NeverSent) {
				e.kind = map[string]string{"true": "flow ", "false": "connect "}[cmp.Or(e.fields["established"], e.fields["stood"])] + decide.Outcome(o).String()
			}
			if at, ok := where[flow]; ok {
				held[at]--
				delete(where, flow)
			}
		case "phase":
			if e.kind += " " + e.fields["is"]; e.fields["is"] == "loading" { // a new start: what it held is gone
				for f, at := range where {
					if f[0] == e.balancer {
						held[at]--
						delete(where, f)
					}
				}
			}
		case "latency sampled", "delay note":
			if d, err := time.ParseDuration(cmp.Or(e.fields["takes"], e.fields["delay_ms"]+"ms")); err == nil {
				s.Late[server] = max(s.Late[server], d)
			}
		}
		s.Events[e.kind]++
	}
	seconds[len(seconds)-1].Held = maps.Clone(held)
	return seconds, other, nil
}

func read(folder fs.FS, name string, all []event) ([]event, int, error) {
	f, err := folder.Open(name)
	if err != nil {
		return nil, 0, err
	}
	defer f.Close()
	other, lines := 0, bufio.NewScanner(f)
	lines.Buffer(nil, 1<<20)
	for lines.Scan() {
		e := event{balancer: strings.TrimSuffix(path.Base(name), ".log"), fields: map[string]string{}}
		for _, m := range field.FindAllStringSubmatch(lines.Text(), -1) {
			e.fields[m[1]] = strings.Trim(m[2], `"`)
		}
		e.kind = e.fields["msg"]
		if e.at, err = time.Parse(time.RFC3339, e.fields["time"]); err != nil || e.kind == "" {
			other++
			continue
		}
		all = append(all, e)
	}
	return all, other, lines.Err()
}

// Print writes a line of events a second, and one of what the servers hold.
func Print(w io.Writer, seconds []Second) error {
	for i, s := range seconds {
		var events, held []string
		for _, k := range slices.Sorted(maps.Keys(s.Events)) {
			events = append(events, fmt.Sprintf("%s %d", k, s.Events[k]))
		}
		total := 0
		for _, k := range slices.Sorted(maps.Keys(s.Held)) {
			if n := s.Held[k]; n != 0 || s.Late[k] > 0 {
				text := fmt.Sprintf("%s %d", k, n)
				if s.Late[k] > 0 {
					text += fmt.Sprintf(" (%v late)", s.Late[k].Round(time.Millisecond))
				}
				held = append(held, text)
				total += n
			}
		}
		if _, err := fmt.Fprintf(w, "%d s: %s\n    %d held: %s\n", i, strings.Join(events, ", "), total, strings.Join(held, ", ")); err != nil {
			return fmt.Errorf("logs: %w", err)
		}
	}
	return nil
}
