package compatibility

import (
	"encoding/binary"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"os"
	"strings"
	"syscall"
	"testing"
	"time"
)

// This build reads the file in which an earlier build saved the disabled servers before it was killed, and writes the
// same bytes to a file of the same name.
func TestDisabledServersOfEarlierBuild(t *testing.T) {
	t.Parallel()
	for _, c := range []struct{ name, file string }{
		{"one server", "kept/one.out"},
		{"several, one of them in no list", "kept/several.out"},
		{"none", "kept/none.out"},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			d := newDaemon(t, startEchoServer(t))
			want := readFile(t, "testdata/"+c.file)
			d.write(d.storedPath(".out"), want)
			d.start()
			d.waitReady()
			var output strings.Builder
			fmt.Fprintln(&output, "at the start:", d.disabledServers())
			if isDisabled := strings.Contains(want, `"a"`); isDisabled {
				d.call("POST", "/control/servers/a/online")
				fmt.Fprintln(&output, "a is online, the file:", readFile(t, d.storedPath(".out")))
			}
			d.call("POST", "/control/servers/a/offline")
			fmt.Fprintln(&output, "a is offline, the file:", readFile(t, d.storedPath(".out")))
			compareGolden(t, c.file+".txt", output.String())
		})
	}
}

// An invalid file counts as missing: the log reports the error, and explain shows no server as disabled.
func TestInvalidDisabledServersFile(t *testing.T) {
	t.Parallel()
	for _, c := range []struct{ name, text, want string }{
		{"another version", `{"version":2,"out_by_hand":["a"]}`, "version 2, want 1"},
		{"an unknown key", `{"version":1,"out_by_hand":["a"],"more":1}`, `unknown field \"more\"`},
		{"truncated", `{"version":1,"out_by_`, "unexpected EOF"},
		{"an empty id", `{"version":1,"out_by_hand":[""]}`, "server id has 0 bytes, want 1 to"},
		{"data after the object", `{"version":1,"out_by_hand":[]}{}`, "data after the JSON object"},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			d := newDaemon(t, startEchoServer(t))
			d.write(d.storedPath(".out"), c.text)
			d.start()
			d.waitReady()
			if servers := d.disabledServers(); servers != "a:false" {
				t.Errorf("disabled servers: %s, want a:false", servers)
			}
			if !strings.Contains(d.log.String(), c.want) {
				t.Errorf("the log does not contain %q", c.want)
			}
		})
	}
}

// disabledServers returns whether explain shows a server as disabled, for each server as NAME:BOOL.
func (d *daemon) disabledServers() string {
	d.t.Helper()
	r := runCommand(d.t, "daemon", "", "", "explain", "--json", "--socket", d.socket)
	var state struct {
		Servers []struct {
			Name       string
			IsDisabled bool `json:"out_by_hand"`
		}
	}
	if err := json.Unmarshal([]byte(r.stdout), &state); err != nil {
		d.t.Fatalf("%v: %s%s", err, r.stdout, r.stderr)
	}
	var servers []string
	for _, s := range state.Servers {
		servers = append(servers, fmt.Sprintf("%s:%v", s.Name, s.IsDisabled))
	}
	return strings.Join(servers, " ")
}

// frame is a message between two processes of one balancer. On the connection, four bytes with its length precede it.
type frame struct {
	Kind    string          `json:"kind,omitempty"`
	Number  uint64          `json:"number,omitempty"`
	IsReply bool            `json:"answer,omitempty"`
	Refusal string          `json:"bad,omitempty"`
	Body    json.RawMessage `json:"body,omitempty"`
}

// peerProcess stands in for the predecessor or successor of a daemon, as a process of an earlier build.
type peerProcess struct {
	t    *testing.T
	conn *net.UnixConn
}

func (p *peerProcess) send(f frame, files ...int) {
	p.t.Helper()
	text, err := json.Marshal(f)
	if err != nil {
		p.t.Fatal(err)
	}
	var rights []byte
	if len(files) > 0 {
		rights = syscall.UnixRights(files...)
	}
	if _, _, err := p.conn.WriteMsgUnix(binary.BigEndian.AppendUint32(nil, uint32(len(text))), rights, nil); err != nil {
		p.t.Fatal(err)
	}
	if _, err := p.conn.Write(text); err != nil {
		p.t.Fatal(err)
	}
}

// receive returns the next frame and the number of descriptors that came with it. The error is io.EOF if the connection
// was closed.
func (p *peerProcess) receive() (f frame, files int, err error) {
	header, control := make([]byte, 4), make([]byte, 1024)
	n, m, _, _, err := p.conn.ReadMsgUnix(header, control)
	if err != nil {
		return f, 0, err
	}
	if n == 0 {
		return f, 0, io.EOF
	}
	if messages, err := syscall.ParseSocketControlMessage(control[:m]); err == nil {
		for _, m := range messages {
			descriptors, err := syscall.ParseUnixRights(&m)
			if err != nil {
				return f, 0, err
			}
			for _, d := range descriptors {
				_ = syscall.Close(d)
				files++
			}
		}
	}
	if _, err := io.ReadFull(p.conn, header[n:]); err != nil {
		return f, files, err
	}
	text := make([]byte, binary.BigEndian.Uint32(header))
	if _, err := io.ReadFull(p.conn, text); err != nil {
		return f, files, err
	}
	return f, files, json.Unmarshal(text, &f)
}

// request sends a request, and returns the reply and the number of descriptors that came with it. It replies false to
// requests that arrive in the meantime.
func (p *peerProcess) request(number uint64, kind, body string) (frame, int) {
	p.t.Helper()
	p.send(frame{Kind: kind, Number: number, Body: json.RawMessage(body)})
	for {
		f, files, err := p.receive()
		if err != nil {
			p.t.Fatal(err)
		}
		if f.IsReply && f.Number == number {
			return f, files
		}
		if !f.IsReply && f.Number != 0 {
			p.send(frame{Number: f.Number, IsReply: true, Body: json.RawMessage("false")})
		}
	}
}

// connect connects to a daemon's hand-over socket, as its successor does.
func (d *daemon) connect() *peerProcess {
	d.t.Helper()
	directory, err := os.Open(d.directory)
	if err != nil {
		d.t.Fatal(err)
	}
	defer func() { _ = directory.Close() }() // an error doesn't matter, as it was only read
	name := d.storedPath(".sock")[len(d.directory):]
	conn, err := (&net.Dialer{}).DialContext(d.t.Context(), "unix", fmt.Sprintf("/proc/self/fd/%d%s", directory.Fd(), name))
	if err != nil {
		d.t.Fatal(err)
	}
	d.t.Cleanup(func() { _ = conn.Close() })
	_ = conn.SetDeadline(time.Now().Add(hangTimeout))
	return &peerProcess{d.t, conn.(*net.UnixConn)}
}

// A process of an earlier build takes over from a daemon of this build: the requests, the replies and the keys of the
// state must be those that it knows.
func TestSuccessorOfAnEarlierBuild(t *testing.T) {
	t.Parallel()
	d := newDaemon(t, startEchoServer(t))
	d.start()
	d.waitReady()
	d.sendLine("OPEN 1 k c=live,d=800,g=one")
	d.call("POST", "/control/servers/a/offline")
	d.call("POST", "/control/out-of-service")
	d.waitUntil("the hand-over socket exists", func() bool { _, err := os.Lstat(d.storedPath(".sock")); return err == nil })
	var output strings.Builder
	invalid := d.connect()
	for i, x := range [][2]string{{"nonsense", "null"}, {"give", "null"}, {"have", "null"}, {"hello", `{"version":2,"listen":"x"}`}} {
		f, files := invalid.request(uint64(i+1), x[0], x[1])
		fmt.Fprintf(&output, "%s: %s%s, %d files\n", x[0], f.Refusal, f.Body, files)
	}
	_ = invalid.conn.Close()
	p := d.connect()
	hello, _ := p.request(1, "hello", fmt.Sprintf(`{"version":1,"listen":%q}`, d.clientAddress()))
	fmt.Fprintf(&output, "hello: %s%s\n", hello.Refusal, hello.Body)
	handedOver, files := p.request(2, "give", "null")
	fmt.Fprintf(&output, "give: %s%d files\n%s", handedOver.Refusal, files, jsonKeys(t, string(handedOver.Body)))
	have, _ := p.request(3, "have", "null")
	fmt.Fprintf(&output, "have: %s%s\n", have.Refusal, have.Body)
	kinds := map[string]bool{}
	for !kinds["held"] || !kinds["carry"] { // the daemon reports the number of its connections, and transfers them
		f, files, err := p.receive()
		if err != nil {
			t.Fatal(err)
		}
		kinds[f.Kind] = true
		if f.Kind == "carry" {
			fmt.Fprintf(&output, "carry: %d files\n%s", files, jsonKeys(t, string(f.Body)))
			p.send(frame{Number: f.Number, IsReply: true, Refusal: "no"})
		}
		if f.Kind != "carry" && f.Kind != "held" {
			t.Logf("%+v", f)
		}
	}
	compareGolden(t, "handover/successor.txt", strings.ReplaceAll(output.String(), d.clientAddress(), "LISTEN"))
}

// A process of an earlier build hands over to a daemon of this build, which accepts the recorded state and applies it.
func TestPredecessorOfAnEarlierBuild(t *testing.T) {
	t.Parallel()
	d := newDaemon(t, startEchoServer(t))
	state := readFile(t, "testdata/handover/state.json")
	listener := listen(t, "tcp", d.clientAddress())
	file, err := listener.(*net.TCPListener).File()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = file.Close() })
	socket := listen(t, "unix", d.storedPath(".sock"))
	d.start()
	conn, err := socket.Accept()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = conn.Close() })
	_ = conn.SetDeadline(time.Now().Add(hangTimeout))
	p := &peerProcess{t, conn.(*net.UnixConn)}
	var output strings.Builder
	p.handOver(&output, state, file)
	d.waitReady()
	fmt.Fprintln(&output, "explain:", d.disabledServers())
	p.send(frame{Kind: "ask", Number: 1, Body: json.RawMessage(`{"kind":"online","server":"b"}`)})
	p.awaitReply(&output, 1)
	p.send(frame{Kind: "claim", Number: 2, Body: json.RawMessage("72623859790382856")}) // an id that is in the state
	p.send(frame{Kind: "claim", Number: 3, Body: json.RawMessage("5")})
	replies := p.receiveReplies(2)
	fmt.Fprintln(&output, "claims:", replies[2], replies[3])
	_ = conn.Close()
	d.waitUntil("the daemon logs that the predecessor has ended", func() bool { return strings.Contains(d.log.String(), "the predecessor has ended") })
	fmt.Fprintln(&output, "explain:", d.disabledServers())
	compareGolden(t, "handover/predecessor.txt", strings.ReplaceAll(output.String(), d.clientAddress(), "LISTEN"))
}

// handOver records a successor's requests and replies to them, until the successor has the state.
func (p *peerProcess) handOver(record io.Writer, state string, listener *os.File) {
	p.t.Helper()
	for hasState := false; !hasState; {
		f, _, err := p.receive()
		if err != nil {
			p.t.Fatal(err)
		}
		_, _ = fmt.Fprintf(record, "%s %s\n", f.Kind, f.Body)
		reply := frame{Number: f.Number, IsReply: true, Body: json.RawMessage("null")}
		switch f.Kind {
		case "hello":
			reply.Body = json.RawMessage("false")
		case "give":
			reply.Body = json.RawMessage(state)
			p.send(reply, int(listener.Fd()))
			continue
		case "have":
			hasState = true
		}
		p.send(reply)
	}
}

// awaitReply waits for the reply to a request. It records all frames until then, and replies null to requests among them.
func (p *peerProcess) awaitReply(record io.Writer, number uint64) {
	p.t.Helper()
	for answered := false; !answered; {
		f, _, err := p.receive()
		if err != nil {
			p.t.Fatal(err)
		}
		_, _ = fmt.Fprintf(record, "after ask: %s%s %s\n", f.Kind, f.Refusal, f.Body)
		if answered = f.IsReply && f.Number == number; !answered && f.Number != 0 {
			p.send(frame{Number: f.Number, IsReply: true, Body: json.RawMessage("null")})
		}
	}
}

// receiveReplies waits for a number of replies and returns their contents by request number. It ignores other frames.
func (p *peerProcess) receiveReplies(count int) map[uint64]string {
	p.t.Helper()
	replies := map[uint64]string{}
	for len(replies) < count {
		f, _, err := p.receive()
		if err != nil {
			p.t.Fatal(err)
		}
		if f.IsReply {
			replies[f.Number] = f.Refusal + string(f.Body)
		}
	}
	return replies
}
