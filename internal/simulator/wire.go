package simulator

import (
	"time"

	"yardwinch/decide"
)

// The message types of the simulator's wire format, and their meanings. A message is a line: its type and its fields,
// separated by tabs. A field that is "-" or missing is absent. Times are in nanoseconds.

const absentField = "-"

// maxTimer is the longest timer that is set in one part. The wire format allows 71 minutes.
const maxTimer = 70 * time.Minute

// Messages to the host.
const (
	msgBeginBatch = "BEGIN_BATCH" // a batch of events begins: time
	msgEndBatch   = "FLUSH"       // a batch of events ends
	msgInstance   = "FOR"         // the events that follow are for an instance: instance
	msgList       = "DIRECTORY"   // a numbered list follows: list, entries
	msgListEntry  = "SERVER"      // an entry of the list: see entry...Field
)

// Messages for an instance.
const (
	msgStart        = "SPAWN"          // starts the instance: seed, then settings as path=value
	msgStop         = "KILL"           // stops the instance
	msgUpdate       = "UPDATE"         // an update of the endpoint list: kind, stamp, list
	msgFlow         = "JOB_IN"         // a flow arrives: see arrival...Field
	msgAdopt        = "OPEN"           // an established flow is adopted: the same fields, and its server
	msgEstablished  = "FIRST"          // an attempt is established: flow, attempt, server, time taken
	msgSample       = "CHANGE"         // a sample of an established flow: flow, attempt, server, kind, amount
	msgEnded        = "CLOSED_ATTEMPT" // an attempt or connection ends: see ended...Field
	msgClientLeft   = "HANGUP"         // a client leaves: flow
	msgTimer        = "WAKE"           // a timer fires: timer
	msgHealthResult = "HEALTH_RESULT"  // a health check ends: server, outcome, time taken, load report
	msgGossip       = "NEIGHBOUR_SAYS" // gossip, which instances ignore
)

// Answers. The wire format has others, for actions that decide never takes.
const (
	msgActionsOf     = "SPEAKING"       // the actions that follow are those of an instance: instance
	msgBatchAnswered = "YIELD"          // all actions for the batch have been sent
	msgFault         = "FAULT"          // the instance panicked: cause
	msgConnect       = "FORWARD"        // makes an attempt: flow, server, timeout
	msgReject        = "OVERLOAD_REPLY" // rejects a flow: flow, Retry-After
	msgAbort         = "DROP_REQUEST"   // aborts a flow: flow
	msgMigrate       = "SHIFT"          // migrates a flow: flow
	msgCheck         = "HEALTH_CHECK"   // checks the health of a server: server
	msgSetTimer      = "TIMER"          // sets a timer: timer, duration
	msgWatch         = "TAIL"           // watches the endpoint list, or stops: 1 or 0
)

// Positions of fields.
const (
	typeField = 0
	flowField = 1 // of all messages about a flow

	batchTimeField  = 1
	instanceField   = 1
	listField       = 1
	listCountField  = 2
	seedField       = 1
	settingsField   = 2 // first of the settings
	updateKindField = 1
	updateListField = 3
	timerField      = 1

	entrySizeField      = 1
	entryZoneField      = 2
	entryServerField    = 3
	entryReadinessField = 4
	entryCellField      = 6
	entryStartField     = 7

	arrivalServiceField  = 2
	arrivalCustomerField = 3
	arrivalKeyField      = 4
	arrivalTimeoutField  = 5
	arrivalGroupField    = 7
	arrivalFlagsField    = 8
	arrivalServerField   = 9 // of an adopted flow

	attemptField         = 2 // of messages about an attempt
	establishedTookField = 4
	sampleKindField      = 4
	sampleAmountField    = 5

	endedServerField   = 3
	endedOutcomeField  = 4
	endedTookField     = 5
	endedAnsweredField = 6
	endedReportField   = 7

	checkServerField  = 1
	checkOutcomeField = 2
	checkReportField  = 4
)

// Kinds of samples of an established flow.
const (
	loadSample    = 1
	latencySample = 2 // in milliseconds
)

var outcomes = map[string]decide.Outcome{
	"OK":                 decide.OK,
	"INTERNAL":           decide.Error,
	"RESOURCE_EXHAUSTED": decide.Full,
	"DEADLINE_EXCEEDED":  decide.TimedOut,
	"UNAVAILABLE":        decide.Unreachable,
	"ABORTED":            decide.Reset,
	"CANCELLED":          decide.Cancelled,
	"TOO_LATE":           decide.NeverSent,
}

var readiness = map[string]decide.Readiness{
	"IN":   decide.Ready,
	"LAME": decide.Draining,
	"OUT":  decide.Gone,
}

var updateKinds = map[string]decide.UpdateKind{
	"D": decide.DeltaUpdate,
	"F": decide.FullUpdate,
	"C": decide.CachedUpdate,
	"X": decide.FailedUpdate,
}
