package daemon

import (
	"net"
	"net/http"
	"testing"

	"yardwinch/internal/handover"
	"yardwinch/internal/protocol"
)

// clientsAtServing are the clients of a daemon, with something that runs as the daemon begins to serve.
type clientsAtServing struct {
	clients
	onServing func()
}

func (c clientsAtServing) SetAvailability(availability protocol.Availability) {
	c.onServing()
	c.clients.SetAvailability(availability)
}

// A successor may start in the moment in which a process is ready: the socket by which it finds that process is open
// by then.
func TestSocketIsOpenAsServingBegins(t *testing.T) {
	environment := directoryEnvironment(t)
	h := newHarness(t)
	socket := openSocket(t, environment("TMPDIR"), h.listenAddress)
	var conn *net.UnixConn
	var err error
	h.start(environment, func(d *Daemon) {
		d.lifecycle.clients = clientsAtServing{d.lifecycle.clients, func() { conn, err = socket.Connect(t.Context()) }}
	})
	h.end()
	if err != nil || conn == nil {
		t.Fatalf("a successor finds %v, %v", conn, err)
	}
	_ = conn.Close() // the test's end of a link that was never used
}

// A process whose successor ended is found by the next one as soon as it is ready again, also while it waits for
// another process that has connected and says nothing.
func TestSocketIsOpenAfterSuccessorDied(t *testing.T) {
	environment := directoryEnvironment(t)
	h := newHarness(t).start(environment)
	socket := openSocket(t, environment("TMPDIR"), h.listenAddress)
	connectLink(t, socket) // says nothing
	successor := connectLink(t, socket)
	for _, step := range []string{messageHello, messageGetState} {
		hello := handover.Hello{Version: handover.Version, Listen: h.listenAddress}
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
