package simulator

import (
	"regexp"
	"strings"
	"testing"
)

// settings are those of an instance. The key of the last one is unknown, and ignored.
const settings = "discovery=push\tfamily-info.mode=proxy\tfamily-info.message-aim=250000000" +
	"\tguarantees.cold-from=0.16\tguarantees.fall-multiple=3\tguarantees.warm-after=23000000000\tpeers-total=3" +
	"\tpolicy-limits.max-connects=2\tpolicy-limits.retry-after=true\tpolicy-limits.max-retry-after=1000000000" +
	"\tservice-types.count=1\tservice-types.0.effect=free\tservice-types.0.group=all\tservice-types.0.name=live" +
	"\tservice-types.0.setup-target=300000000\tservice-types.0.value=1\taz=hall-a\tnever.heard.of=it"

// begin opens a batch in which instance 3 starts with the two servers 51 and 52.
const begin = "BEGIN_BATCH\t1000\nFOR\t3\nSPAWN\t42\t" + settings + "\nDIRECTORY\t0\t2\n" +
	"SERVER\t1\thall-a\t51\tIN\tlarge\t0\t-\nSERVER\t1.5\thall-b\t52\tLAME\tlarge\t0\t61\nUPDATE\tC\t41\t0\n"

func run(in string) (string, error) {
	var out strings.Builder
	err := Run(strings.NewReader(in), &out)
	return out.String(), err
}

func TestReplies(t *testing.T) {
	arrival := "JOB_IN\tt/a\tlive\t-\ts-k\t900000000\t-\tc:g\t0\n"
	startActions := "SPEAKING\t3\nTIMER\t1\t250000000\n"
	for _, c := range []struct{ name, in, want string }{
		{"no input", "", ""},
		{"an empty batch", "BEGIN_BATCH\t8\nFLUSH\n", "YIELD\n"},
		{"a flow goes to the server in service", begin + arrival + "FLUSH\n",
			startActions + "FORWARD\tt/a\t51\t450000000\nYIELD\n"},
		{"a flow is established and ends, without further answers", begin + arrival + "FLUSH\nBEGIN_BATCH\t2000\nFOR\t3\n" +
			"FIRST\tt/a\t0\t51\t1000\nCHANGE\tt/a\t0\t51\t1\t7.5\nCHANGE\tt/a\t0\t51\t2\t80\n" +
			"CLOSED_ATTEMPT\tt/a\t0\t51\tOK\t1000\t1\tx0:0.5,x1:0.1\nHANGUP\tt/a\nWAKE\t9\nFLUSH\n",
			startActions + "FORWARD\tt/a\t51\t450000000\nYIELD\nYIELD\n"},
		{"unreachable twice, then rejected with Retry-After", begin + arrival + "CLOSED_ATTEMPT\tt/a\t0\t51\tUNAVAILABLE\t0\t0\t-\n" +
			"CLOSED_ATTEMPT\tt/a\t1\t51\tUNAVAILABLE\t0\t0\t-\nFLUSH\n",
			startActions + "FORWARD\tt/a\t51\t450000000\nFORWARD\tt/a\t51\t900000000\nOVERLOAD_REPLY\tt/a\t1000000000\nYIELD\n"},
		{"a list number reused within a batch", begin + "DIRECTORY\t0\t1\nSERVER\t1\thall-a\t51\tOUT\tlarge\t0\t-\n" +
			"UPDATE\tD\t42\t0\n" + arrival + "FLUSH\n", startActions + "OVERLOAD_REPLY\tt/a\t1000000000\nYIELD\n"},
		{"an instance that is stopped and started again", begin + "KILL\nSPAWN\t1\t" + settings + "\nUPDATE\tC\t41\t0\n" + arrival + "FLUSH\n",
			startActions + "TIMER\t1\t250000000\nFORWARD\tt/a\t51\t450000000\nYIELD\n"},
		{"other events are accepted", begin + "HEALTH_RESULT\t51\tOK\t5\tx0:0.5\nNEIGHBOUR_SAYS\t1\taGkgNw==\nUPDATE\tX\t0\t-\nFLUSH\n",
			startActions + "YIELD\n"},
	} {
		t.Run(c.name, func(t *testing.T) {
			got, err := run(c.in)
			if err != nil || got != c.want {
				t.Errorf("got %q, error %v\nwant %q", got, err, c.want)
			}
		})
	}
}

func TestInstancesShareNothing(t *testing.T) {
	two := strings.Replace(begin, "BEGIN_BATCH\t1000\n", "", 1)
	got, err := run(begin + strings.ReplaceAll(two, "FOR\t3", "FOR\t5") + "FLUSH\n")
	want := "SPEAKING\t3\nTIMER\t1\t250000000\nSPEAKING\t5\nTIMER\t1\t250000000\nYIELD\n"
	if err != nil || got != want {
		t.Errorf("got %q, error %v\nwant %q", got, err, want)
	}
}

func TestBadInput(t *testing.T) {
	for _, c := range []struct{ name, in, fault string }{
		{"no batch", "FLUSH\n", `line 1: want BEGIN_BATCH`},
		{"a batch that ends early", begin, `line 8: the input ends`},
		{"unknown message", begin + "HELLO\n", `line 8: unknown message "HELLO"`},
		{"missing field", begin + "HANGUP\n", `line 8: HANGUP: field 1 is missing`},
		{"bad number", begin + "WAKE\tsoon\n", `line 8: WAKE: field 1: bad number "soon"`},
		{"server number too large", begin + "HEALTH_RESULT\t4294967296\tOK\t0\t-\n", `line 8: HEALTH_RESULT: field 1`},
		{"unknown outcome", begin + "CLOSED_ATTEMPT\tt/a\t0\t51\tFINE\t0\t1\t-\n", `line 8: .*unknown word "FINE"`},
		{"unknown service type", begin + "JOB_IN\tt/a\tdead\t-\t-\t9\t-\t-\t0\n", `line 8: .*service type "dead"`},
		{"fewer entries than stated", "BEGIN_BATCH\t1\nDIRECTORY\t0\t2\nSERVER\t1\ta\t5\tIN\tk\t0\t-\nFLUSH\n", `line 4: DIRECTORY`},
		{"a list never sent", begin + "UPDATE\tF\t41\t7\n", `line 8: UPDATE: list 7`},
		{"an unknown instance", "BEGIN_BATCH\t1\nFOR\t9\nWAKE\t1\n", `line 3: WAKE for an unknown instance 9`},
		{"no instance", "BEGIN_BATCH\t1\nWAKE\t1\n", `line 2: WAKE without FOR`},
		{"a setting that is no pair", "BEGIN_BATCH\t1\nFOR\t9\nSPAWN\t1\tx\n", `line 3: SPAWN: no path=value`},
	} {
		t.Run(c.name, func(t *testing.T) {
			if _, err := run(c.in); err == nil || !regexp.MustCompile("^"+c.fault).MatchString(err.Error()) {
				t.Errorf("error %v, want %s", err, c.fault)
			}
		})
	}
}

// An event of an unknown flow causes no panic, not even without service types. Any panic is reported as a FAULT.
func TestPanicBecomesFault(t *testing.T) {
	withoutServices := strings.Replace(begin, "service-types.count=1", "service-types.count=0", 1)
	input := strings.Replace(withoutServices, "UPDATE\tC\t41\t0\n", "UPDATE\tC\t41\t0\nFIRST\tt/none\t0\t51\t1\n", 1) + "FLUSH\n"
	if got, err := run(input); err != nil || strings.Contains(got, "FAULT") {
		t.Errorf("got %q, error %v for an unknown flow", got, err)
	}
	var out strings.Builder
	h := &host{decoder: decoder{fields: []string{msgStop}}, out: newWriter(&out)}
	in := &instance{host: h, id: 4} // without a balancer, so that handle panics
	in.handle()
	if h.err != nil {
		t.Fatal(h.err)
	}
	if err := h.out.Flush(); err != nil {
		t.Fatal(err)
	}
	if !strings.HasPrefix(out.String(), "SPEAKING\t4\nFAULT\t") {
		t.Errorf("got %q, want a FAULT of instance 4", out.String())
	}
}
