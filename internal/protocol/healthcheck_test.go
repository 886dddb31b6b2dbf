package protocol

import (
	"testing"

	"yardwinch/internal/routing"
)

// The server's reply to a health check determines the outcome and the load.
func TestCheckHealth(t *testing.T) {
	for _, c := range []struct {
		name, answer string
		outcome      routing.Outcome
		load         float64
	}{
		{"healthy", "PONG x0:0.5\r\n", routing.OK, 0.5},
		{"faulty", "ERR\r\n", routing.Error, noLoad},
		{"not allowed", "NO\r\n", routing.Error, noLoad},
		{"ended", "", routing.Reset, noLoad},
	} {
		t.Run(c.name, func(t *testing.T) {
			l := listen(t)
			go func() {
				server, line := accept(t, l)
				if line != "STATS" {
					t.Errorf("the server got %q, want STATS", line)
				}
				server.send(c.answer)
				server.close()
			}()
			if outcome, load := checkHealth(t.Context(), l.Addr().String(), sec); outcome != c.outcome || load != c.load {
				t.Errorf("outcome %v, load %v; want %v, %v", outcome, load, c.outcome, c.load)
			}
		})
	}
	t.Run("unreachable", func(t *testing.T) {
		l := listen(t)
		closeQuietly(l)
		if outcome, _ := checkHealth(t.Context(), l.Addr().String(), sec); outcome != routing.Unreachable {
			t.Errorf("outcome %v, want unreachable", outcome)
		}
	})
}
