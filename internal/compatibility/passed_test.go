package compatibility

import (
	"encoding/hex"
	"fmt"
	"strings"
	"testing"

	"github.com/fxamacker/cbor/v2"
)

// This build decodes the complete state that a process of an earlier build hands over, and encodes it with the same keys
// in the same order.
func TestStateRoundTrip(t *testing.T) {
	for _, file := range []string{"handover/state.json", "handover/state-full.json"} {
		t.Run(file, func(t *testing.T) {
			text := readFile(t, "testdata/"+file)
			encoded, err := reencodeState([]byte(text))
			if err != nil {
				t.Fatal(err)
			}
			compareLines(t, file, text, string(encoded))
		})
	}
}

// An invalid state is rejected completely.
func TestInvalidStatesRejected(t *testing.T) {
	text := readFile(t, "testdata/handover/state-full.json")
	var output strings.Builder
	for _, c := range []struct{ name, from, to string }{
		{"another version", `"version":1`, `"version":2`},
		{"held below nought", `"held":76`, `"held":-1`},
		{"no key of ids", `"ids_key":"`, `"ids_kez":"`},
		{"a server without a name", `"name":"d"`, `"name":""`},
		{"a server more", `"servers":[{"name"`, `"servers":[{"name":"z","addr":""},{"name"`},
		{"a readiness that is none", `"listed":1`, `"listed":3`},
		{"a start to come", `"since":-1500000000`, `"since":9000000000000`},
		{"no clock", `"now":`, `"now":-`},
	} {
		changed := strings.Replace(text, c.from, c.to, 1)
		if changed == text {
			t.Errorf("%s: the replacement changed nothing", c.name)
		}
		_, err := reencodeState([]byte(changed))
		fmt.Fprintf(&output, "%s: %v\n", c.name, err)
	}
	compareGolden(t, "handover/refused.txt", output.String())
}

// recordCases are gossip messages between balancers. The golden file has the results of the build before the module's
// identifiers were renamed. The messages are written as maps with numeric keys, as on the wire, so that they don't
// depend on names in the module.
var recordCases = []struct {
	name    string
	message any
}{
	{"all keys", map[int]any{0: 1, 1: 1, 2: "north-1", 3: uint64(1796282120637), 4: 17, 5: "c807eb3a11bc+", 6: "cbbd1d45bc1e1f", 7: 123,
		8: [][]int64{{3826002220, 0, 12, 40}, {3859557458, 1, 3, 0}, {3876335077, 2, 0, 1500}, {3775669363, 3, 1, 999}}, 9: [][]int64{{3826002220, 412, 3, 20}, {3859557458, 1999, 1, 0}}}},
	{"nothing to report", map[int]any{0: 1, 1: 1, 2: "n", 3: uint64(1), 4: 1, 5: "", 6: "", 7: 0, 8: [][]int64{}}},
	{"keys and kinds of a later build", map[int]any{0: 1, 1: 1, 2: "n", 3: uint64(1), 4: 1, 5: "b", 6: "s", 7: 5, 8: [][]int64{{1, 4, 0, 0}, {2, 1, 0, 0, 7}}, 9: [][]int64{{1, 2}}, 77: "more"}},
	{"another version", map[int]any{0: 2, 1: 1, 2: "n", 3: uint64(1), 4: 1}},
	{"another kind", map[int]any{0: 1, 1: 2, 2: "n", 3: uint64(1), 4: 1}},
	{"no origin", map[int]any{0: 1, 1: 1, 3: uint64(1), 4: 1}},
	{"no sequence", map[int]any{0: 1, 1: 1, 2: "n", 3: uint64(1)}},
	{"a word for a number", map[int]any{0: 1, 1: 1, 2: "n", 3: "x", 4: 1}},
	{"impossible reports", map[int]any{0: 1, 1: 1, 2: "n", 3: uint64(1), 4: 1, 8: [][]int64{{-1, 0, 0, 0}, {1 << 32, 0, 0, 0}, {5, -1, 0, 0}, {5, 0, 1 << 21, 0}, {5, 0, 0, -1}, {5, 0, 0, 1 << 40}}}},
	{"no map", []int{1, 2}},
	{"too long", map[int]any{0: 1, 1: 1, 2: "n", 3: uint64(1), 4: 1, 77: strings.Repeat("x", 1300)}},
}

// Gossip records of an earlier build are decoded, and encoded again as that build did.
func TestRecordsOfAnEarlierBuild(t *testing.T) {
	mode, err := cbor.CoreDetEncOptions().EncMode()
	if err != nil {
		t.Fatal(err)
	}
	var output strings.Builder
	for _, c := range recordCases {
		message, err := mode.Marshal(c.message)
		if err != nil {
			t.Fatal(err)
		}
		encoded, decoded, err := reencodeRecord(message)
		fmt.Fprintf(&output, "== %s\n", c.name)
		if err != nil {
			fmt.Fprintf(&output, "%v\n", err)
			continue
		}
		fmt.Fprintf(&output, "%x\n%s\n%x\n", message, decoded, encoded)
	}
	garbled, _ := hex.DecodeString("a1ff")
	_, _, err = reencodeRecord(garbled)
	fmt.Fprintf(&output, "== half a message\n%v\n", err)
	fullState, err := mode.Marshal([][]byte{{1, 2}, {3}})
	if err != nil {
		t.Fatal(err)
	}
	encoded, n, err := reencodeFullState(fullState)
	fmt.Fprintf(&output, "== all that a member knows\n%x\n%d %v\n%x\n", fullState, n, err, encoded)
	_, _, err = reencodeFullState([]byte{0x61})
	fmt.Fprintf(&output, "== all that a member knows, garbled\n%v\n", err)
	compareGolden(t, "gossip/records.txt", output.String())
}
