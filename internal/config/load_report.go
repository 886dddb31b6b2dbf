package config

import (
	"math"
	"slices"
	"strconv"
	"strings"
)

// loadColumn is the column of a load report that contains the load.
const loadColumn = "x0"

// knownColumns are the columns that a load report may have.
var knownColumns = []string{"outstanding", "backlog", "utilization", "recent_ms", "throughput", "errors_per_s", loadColumn, "x1"}

// needsHealthCheck says, by the value of keyReportingMode, whether load reports are obtained by health checks.
var needsHealthCheck = map[string]bool{"pull": true, "piggyback": false, "silent": false}

// HealthChecksEnabled reports whether health checks are allowed and return the load. If the columns of load reports are
// not stated, the load is assumed to be one of them.
func HealthChecksEnabled(settings Values) bool {
	pulled := enum(settings, keyReportingMode, needsHealthCheck, false)
	columns := settings.list(keyReportColumns)
	return pulled && settings.Bool(keyHealthChecks) && (columns == nil || slices.Contains(columns, loadColumn))
}

// UnknownColumns returns the configured columns of load reports that are not known.
func UnknownColumns(settings Values) []string {
	return slices.DeleteFunc(settings.list(keyReportColumns), func(column string) bool {
		return slices.Contains(knownColumns, column)
	})
}

// ServerMetrics reports whether servers report the loads of connections, and the latencies of messages.
func ServerMetrics(settings Values) (load, latency bool) {
	return settings.Bool(keyServersReportLoad), settings.Bool(keyServersReportLatency)
}

// ParseLoadReport extracts a server's load, as a fraction of its capacity, from a load report of the simulator or from
// a socket. The pair separators on sockets are not specified, so all the usual ones are accepted. A value that is
// truncated, not a number, negative, infinite or present twice counts as absent: an impossible value must not move
// flows.
func ParseLoadReport(report string) (load float64, ok bool) {
	occurrences := 0
	for _, pair := range strings.FieldsFunc(report, isPairSeparator) {
		name, value, found := cutPair(pair)
		if !found || name != loadColumn {
			continue
		}
		occurrences++
		number, err := strconv.ParseFloat(value, 64)
		load = number
		ok = err == nil && number >= 0 && !math.IsInf(number, 0)
	}
	return load, ok && occurrences == 1
}

func isPairSeparator(r rune) bool { return strings.ContainsRune(" ,;\t{}", r) }

// cutPair splits a pair into a column's name, without quotes and prefixes such as "named_metrics.", and its value.
func cutPair(pair string) (name, value string, found bool) {
	i := strings.LastIndexAny(pair, ":=")
	if i < 0 {
		return "", "", false
	}
	name = strings.Trim(pair[:i], `"`)
	name = name[strings.LastIndexByte(name, '.')+1:]
	return name, strings.Trim(pair[i+1:], `"`), true
}
