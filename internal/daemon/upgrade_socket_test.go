package daemon

import (
	"net"
	"net/http"
	"testing"

	"yardwinch/internal/handover"
	"yardwinch/internal/protocol"
)

// availabilityObserver calls a function before each change of availability; the first is when the daemon begins to
// serve.
type availabilityObserver struct {
	clients
	onChange func()
}

func (c availabilityObserver) SetAvailability(availability protocol.Availability) {
	c.onChange()
	c.clients.SetAvailability(availability)
}

// A successor may start as soon as a process is ready: the hand-over socket is open by then.
func TestSocketIsOpenWhenServingBegins(t *testing.T) {
	environment := directoryEnvironment(t)
	h := newHarness(t)
	socket := openSocket(t, environment("TMPDIR"), h.listenAddress)
	var conn *net.UnixConn
	var err error
	h.start(environment, func(d *Daemon) {
		d.lifecycle.clients = availabilityObserver{d.lifecycle.clients, func() { conn, err = socket.Connect(t.Context()) }}
	})
	h.end()
	if err != nil || conn == nil {
		t.Fatalf("a successor finds %v, %v", conn, err)
	}
	_ = conn.Close() // the link was never used
}

// After its successor has exited, a process can be found by the next one as soon as it is ready again, even while
// another process is connected that sends nothing.
func TestSocketIsOpenAfterSuccessorExits(t *testing.T) {
	environment := directoryEnvironment(t)
	h := newHarness(t).start(environment)
	socket := openSocket(t, environment("TMPDIR"), h.listenAddress)
	connectLink(t, socket) // sends nothing
	successor := connectLink(t, socket)
	for _, step := range []string{messageHello, messageGetState} {
		hello := handover.Hello{Version: handover.Version, ListenAddress: h.listenAddress}
		files, err := successor.Request(step, hello).Wait(t.Context(), nil)
		if err != nil {
			t.Fatal(step, err)
		}
		for _, file := range files {
			_ = file.Close()
		}
	}
	successor.Close()
	h.awaitStatus("GET", "ready", http.StatusOK)
	connectLink(t, socket)
	h.end()
}
