package fleet

import (
	"strings"
	"testing"
	"time"

	"yardwinch/internal/testbed/invariants"
)

// Guards the field names in the page's template, which the compiler doesn't check.
func TestReportPage(t *testing.T) {
	r := &Result{Name: "shown", About: "About.", Seed: 7, Length: 3, Holds: true}
	r.Processes = []Process{{Name: "b0", Established: 11, Connects: 12, PerSecond: []int{1, 2, 3},
		Cost: invariants.Cost{Cut: 21, Unanswered: 22, Expired: 23, AnsweredLate: 24, SentLate: 25}}}
	r.Timeline = []TimelineEvent{{At: time.Second, Who: "b0", What: "kill"}}
	var page strings.Builder
	if err := r.HTML(&page); err != nil {
		t.Fatal(err)
	}
	const figures = "<td>11</td><td>12</td><td>21</td><td>22</td><td>23</td><td>24</td><td>25</td>"
	for _, want := range []string{"<h1>shown</h1>", "seed 7", figures, "1.00s  b0  kill"} {
		if !strings.Contains(page.String(), want) {
			t.Errorf("the page does not show %q", want)
		}
	}
}
