package advice

import (
	"errors"
	"net"
	"testing"
)

func TestError(t *testing.T) {
	const remedy = "check which process uses the address"
	for _, c := range []struct {
		name  string
		cause error
		text  string
	}{
		{"with a cause", net.ErrClosed, "peers.bind: no member yet: " + net.ErrClosed.Error()},
		{"without a cause", nil, "peers.bind: no member yet"},
	} {
		t.Run(c.name, func(t *testing.T) {
			err := &Error{Where: "peers.bind", What: "no member yet", Remedy: remedy, Err: c.cause}
			if err.Error() != c.text || err.Advice() != remedy {
				t.Errorf("%q, %q; want %q", err, err.Advice(), c.text)
			}
			if errors.Is(err, net.ErrClosed) != (c.cause != nil) {
				t.Errorf("the cause should be %v", c.cause)
			}
		})
	}
}
