package logs

import (
	"fmt"
	"io"
	"maps"
	"slices"
	"strings"
	"time"
)

// Print writes two lines for each second: the events, and the established flows by server.
func Print(output io.Writer, seconds []Second) error {
	for i, second := range seconds {
		flows, total := second.describeFlows()
		_, err := fmt.Fprintf(output, "%d s: %s\n    %d held: %s\n", i, second.describeEvents(), total, flows)
		if err != nil {
			return fmt.Errorf("logs: %w", err)
		}
	}
	return nil
}

func (s Second) describeEvents() string {
	var events []string
	for _, name := range slices.Sorted(maps.Keys(s.Events)) {
		events = append(events, fmt.Sprintf("%s %d", name, s.Events[name]))
	}
	return strings.Join(events, ", ")
}

// describeFlows lists the flows and the latency by server, and returns the total of the flows.
func (s Second) describeFlows() (text string, total int) {
	var servers []string
	for _, server := range slices.Sorted(maps.Keys(s.Flows)) {
		flows, delay := s.Flows[server], s.MaxDelay[server]
		if flows == 0 && delay == 0 {
			continue
		}
		line := fmt.Sprintf("%s %d", server, flows)
		if delay > 0 {
			line += fmt.Sprintf(" (%v late)", delay.Round(time.Millisecond))
		}
		servers = append(servers, line)
		total += flows
	}
	return strings.Join(servers, ", "), total
}
