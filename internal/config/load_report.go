package config

import (
	"math"
	"slices"
	"strconv"
	"strings"
)

// loadColumn is the column of a load report that the decisions use.
const loadColumn = "x0"

// knownColumns are the columns that a load report may have.
var knownColumns = []string{"outstanding", "backlog", "utilization", "recent_ms", "throughput", "errors_per_s", loadColumn, "x1"}

// needsHealthCheck says for each way in which servers report their load whether it takes a health check to get a
// report.
var needsHealthCheck = map[string]bool{"pull": true, "piggyback": false, "silent": false}

// HealthChecksEnabled reports whether health checks are allowed and bring the load. Where the columns of reports are
// not stated, the load may be among them.
func HealthChecksEnabled(settings Values) bool {
	pulled := enum(settings, keyReportingMode, needsHealthCheck, false)
	columns := settings.list(keyReportColumns)
	return pulled && settings.Bool(keyHealthChecks) && (columns == nil || slices.Contains(columns, loadColumn))
}

// UnknownColumns are the stated columns of load reports that have no meaning here.
func UnknownColumns(settings Values) []string {
	return slices.DeleteFunc(settings.list(keyReportColumns), func(column string) bool {
		return slices.Contains(knownColumns, column)
	})
}

// ServerMetrics reports whether servers report the loads of connections, and the delays of messages.
func ServerMetrics(settings Values) (load, latency bool) {
	return settings.Bool(keyServersReportLoad), settings.Bool(keyServersReportLatency)
}

// ParseLoadReport extracts a server's load over its capacity from a load report, both from the simulator's wire
// and from a socket. The separators of pairs on sockets are not specified, so the usual ones are all accepted. A
// value that is cut off, not a number, negative, infinite or present twice counts as absent: a server must not
// move flows by an impossible value.
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

// cutPair separates a column's name, without quotes and prefixes such as "named_metrics.", from its value.
func cutPair(pair string) (name, value string, found bool) {
	i := strings.LastIndexAny(pair, ":=")
	if i < 0 {
		return "", "", false
	}
	name = strings.Trim(pair[:i], `"`)
	name = name[strings.LastIndexByte(name, '.')+1:]
	return name, strings.Trim(pair[i+1:], `"`), true
}
