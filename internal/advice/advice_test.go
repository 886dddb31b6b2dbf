package advice

import (
	"errors"
	"net"
	"testing"
)

func TestError(t *testing.T) {
	for _, x := range []struct {
		name string
		err  *Error
		text string
	}{
		{"with a cause", &Error{Where: "peers.bind", What: "no member yet", Remedy: "see who has it", Err: net.ErrClosed}, "peers.bind: no member yet: " + net.ErrClosed.Error()},
		{"without one", &Error{Where: "peers.bind", What: "no member yet", Remedy: "see who has it"}, "peers.bind: no member yet"},
	} {
		t.Run(x.name, func(t *testing.T) {
			if x.err.Error() != x.text || x.err.Advice() != "see who has it" {
				t.Errorf("%q, %q; want %q", x.err, x.err.Advice(), x.text)
			}
			if errors.Is(x.err, net.ErrClosed) != (x.err.Err != nil) {
				t.Error("the cause is not found")
			}
		})
	}
}
