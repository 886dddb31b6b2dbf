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

// An earlier build that was killed saved the disabled servers: this build reads the file, and writes the same bytes
// under the same name.
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
			var all strings.Builder
			fmt.Fprintln(&all, "at the start:", d.disabledServers())
			if out := strings.Contains(want, `"a"`); out {
				d.call("POST", "/control/servers/a/online")
				fmt.Fprintln(&all, "a is online, the file:", readFile(t, d.storedPath(".out")))
			}
			d.call("POST", "/control/servers/a/offline")
			fmt.Fprintln(&all, "a is offline, the file:", readFile(t, d.storedPath(".out")))
			golden(t, c.file+".txt", all.String())
		})
	}
}

// A file that is not valid counts as none, which the log and explain report.
func TestDisabledServersUnreadable(t *testing.T) {
	t.Parallel()
	for _, c := range []struct{ name, text, want string }{
		{"another version", `{"version":2,"out_by_hand":["a"]}`, "version 2, want 1"},
		{"an unknown key", `{"version":1,"out_by_hand":["a"],"more":1}`, `unknown field \"more\"`},
		{"half of it", `{"version":1,"out_by_`, "unexpected EOF"},
		{"an empty id", `{"version":1,"out_by_hand":[""]}`, "server id has 0 bytes, want 1 to"},
		{"more behind it", `{"version":1,"out_by_hand":[]}{}`, "data after the JSON object"},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			d := newDaemon(t, startEchoServer(t))
			d.write(d.storedPath(".out"), c.text)
			d.start()
			d.waitReady()
			if out := d.disabledServers(); out != "a:false" {
				t.Errorf("out by hand: %s", out)
			}
			if !strings.Contains(d.log.String(), c.want) {
				t.Errorf("the log does not say %q", c.want)
			}
		})
	}
}

// disabledServers returns for each server whether explain shows it as disabled.
func (d *daemon) disabledServers() string {
	d.t.Helper()
	r := runCommand(d.t, "daemon", "", "", "explain", "--json", "--socket", d.socket)
	var state struct {
		Servers []struct {
			Name string
			Out  bool `json:"out_by_hand"`
		}
	}
	if err := json.Unmarshal([]byte(r.out), &state); err != nil {
		d.t.Fatalf("%v: %s%s", err, r.out, r.err)
	}
	var all []string
	for _, s := range state.Servers {
		all = append(all, fmt.Sprintf("%s:%v", s.Name, s.Out))
	}
	return strings.Join(all, " ")
}

// frame is a message between two processes of one balancer, after four bytes of length.
type frame struct {
	Kind   string          `json:"kind,omitempty"`
	Number uint64          `json:"number,omitempty"`
	Answer bool            `json:"answer,omitempty"`
	Bad    string          `json:"bad,omitempty"`
	Body   json.RawMessage `json:"body,omitempty"`
}

// peerProcess stands in for the balancer's other process, of an earlier build.
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
	var beside []byte
	if len(files) > 0 {
		beside = syscall.UnixRights(files...)
	}
	if _, _, err := p.conn.WriteMsgUnix(binary.BigEndian.AppendUint32(nil, uint32(len(text))), beside, nil); err != nil {
		p.t.Fatal(err)
	}
	if _, err := p.conn.Write(text); err != nil {
		p.t.Fatal(err)
	}
}

// receive returns the next frame and how many descriptors came with it. io.EOF says that there is none.
func (p *peerProcess) receive() (f frame, files int, err error) {
	head, beside := make([]byte, 4), make([]byte, 1024)
	n, m, _, _, err := p.conn.ReadMsgUnix(head, beside)
	if err != nil {
		return f, 0, err
	}
	if n == 0 {
		return f, 0, io.EOF
	}
	if messages, err := syscall.ParseSocketControlMessage(beside[:m]); err == nil {
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
	if _, err := io.ReadFull(p.conn, head[n:]); err != nil {
		return f, files, err
	}
	text := make([]byte, binary.BigEndian.Uint32(head))
	if _, err := io.ReadFull(p.conn, text); err != nil {
		return f, files, err
	}
	return f, files, json.Unmarshal(text, &f)
}

// request sends a request and returns its reply; requests that come meanwhile are answered with false.
func (p *peerProcess) request(number uint64, kind, body string) (frame, int) {
	p.t.Helper()
	p.send(frame{Kind: kind, Number: number, Body: json.RawMessage(body)})
	for {
		f, files, err := p.receive()
		if err != nil {
			p.t.Fatal(err)
		}
		if f.Answer && f.Number == number {
			return f, files
		}
		if !f.Answer && f.Number != 0 {
			p.send(frame{Number: f.Number, Answer: true, Body: json.RawMessage("false")})
		}
	}
}

// connect connects to a daemon as its successor does.
func (d *daemon) connect() *peerProcess {
	d.t.Helper()
	directory, err := os.Open(d.directory)
	if err != nil {
		d.t.Fatal(err)
	}
	defer func() { _ = directory.Close() }() // it was only read
	name := d.storedPath(".sock")[len(d.directory):]
	conn, err := (&net.Dialer{}).DialContext(d.t.Context(), "unix", fmt.Sprintf("/proc/self/fd/%d%s", directory.Fd(), name))
	if err != nil {
		d.t.Fatal(err)
	}
	d.t.Cleanup(func() { _ = conn.Close() })
	_ = conn.SetDeadline(time.Now().Add(hangTimeout))
	return &peerProcess{d.t, conn.(*net.UnixConn)}
}

// A process of an earlier build takes over from this one: questions and answers have their names, and the state
// its keys.
func TestSuccessorOfAnEarlierBuild(t *testing.T) {
	t.Parallel()
	d := newDaemon(t, startEchoServer(t))
	d.start()
	d.waitReady()
	d.sendLine("OPEN 1 k c=live,d=800,g=one")
	d.call("POST", "/control/servers/a/offline")
	d.call("POST", "/control/out-of-service")
	d.waitUntil("its socket is there", func() bool { _, err := os.Lstat(d.storedPath(".sock")); return err == nil })
	var all strings.Builder
	refused := d.connect()
	for i, x := range [][2]string{{"nonsense", "null"}, {"give", "null"}, {"have", "null"}, {"hello", `{"version":2,"listen":"x"}`}} {
		f, files := refused.request(uint64(i+1), x[0], x[1])
		fmt.Fprintf(&all, "%s: %s%s, %d files\n", x[0], f.Bad, f.Body, files)
	}
	_ = refused.conn.Close()
	p := d.connect()
	hello, _ := p.request(1, "hello", fmt.Sprintf(`{"version":1,"listen":%q}`, d.clients()))
	fmt.Fprintf(&all, "hello: %s%s\n", hello.Bad, hello.Body)
	handedOver, files := p.request(2, "give", "null")
	fmt.Fprintf(&all, "give: %s%d files\n%s", handedOver.Bad, files, jsonKeys(t, string(handedOver.Body)))
	have, _ := p.request(3, "have", "null")
	fmt.Fprintf(&all, "have: %s%s\n", have.Bad, have.Body)
	kinds := map[string]bool{}
	for !kinds["held"] || !kinds["carry"] { // the daemon reports its held connections and transfers them
		f, files, err := p.receive()
		if err != nil {
			t.Fatal(err)
		}
		kinds[f.Kind] = true
		if f.Kind == "carry" {
			fmt.Fprintf(&all, "carry: %d files\n%s", files, jsonKeys(t, string(f.Body)))
			p.send(frame{Number: f.Number, Answer: true, Bad: "no"})
		}
		if f.Kind != "carry" && f.Kind != "held" {
			t.Logf("%+v", f)
		}
	}
	golden(t, "handover/successor.txt", strings.ReplaceAll(all.String(), d.clients(), "LISTEN"))
}

// A process of an earlier build hands over to this one: the recorded state is taken, and what it says is in force.
func TestPredecessorOfAnEarlierBuild(t *testing.T) {
	t.Parallel()
	d := newDaemon(t, startEchoServer(t))
	state := readFile(t, "testdata/handover/state.json")
	listener := listen(t, "tcp", d.clients())
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
	var all strings.Builder
	p.handOver(&all, state, file)
	d.waitReady()
	fmt.Fprintln(&all, "explain:", d.disabledServers())
	p.send(frame{Kind: "ask", Number: 1, Body: json.RawMessage(`{"kind":"online","server":"b"}`)})
	p.awaitReply(&all, 1)
	p.send(frame{Kind: "claim", Number: 2, Body: json.RawMessage("72623859790382856")}) // the id that the state has
	p.send(frame{Kind: "claim", Number: 3, Body: json.RawMessage("5")})
	answers := p.receiveReplies(2)
	fmt.Fprintln(&all, "claims:", answers[2], answers[3])
	_ = conn.Close()
	d.waitUntil("it sees that the other ended", func() bool { return strings.Contains(d.log.String(), "the predecessor has ended") })
	fmt.Fprintln(&all, "explain:", d.disabledServers())
	golden(t, "handover/predecessor.txt", strings.ReplaceAll(all.String(), d.clients(), "LISTEN"))
}

// handOver answers a successor's requests until it has the state, and records them.
func (p *peerProcess) handOver(all io.Writer, state string, listener *os.File) {
	p.t.Helper()
	for hasState := false; !hasState; {
		f, _, err := p.receive()
		if err != nil {
			p.t.Fatal(err)
		}
		_, _ = fmt.Fprintf(all, "%s %s\n", f.Kind, f.Body)
		answer := frame{Number: f.Number, Answer: true, Body: json.RawMessage("null")}
		switch f.Kind {
		case "hello":
			answer.Body = json.RawMessage("false")
		case "give":
			answer.Body = json.RawMessage(state)
			p.send(answer, int(listener.Fd()))
			continue
		case "have":
			hasState = true
		}
		p.send(answer)
	}
}

// awaitReply waits for the reply to a request, and records all frames until then; requests among them are answered.
func (p *peerProcess) awaitReply(all io.Writer, number uint64) {
	p.t.Helper()
	for answered := false; !answered; {
		f, _, err := p.receive()
		if err != nil {
			p.t.Fatal(err)
		}
		_, _ = fmt.Fprintf(all, "after ask: %s%s %s\n", f.Kind, f.Bad, f.Body)
		if answered = f.Answer && f.Number == number; !answered && f.Number != 0 {
			p.send(frame{Number: f.Number, Answer: true, Body: json.RawMessage("null")})
		}
	}
}

// receiveReplies waits for some replies and returns their contents by number; other frames are dropped.
func (p *peerProcess) receiveReplies(count int) map[uint64]string {
	p.t.Helper()
	answers := map[uint64]string{}
	for len(answers) < count {
		f, _, err := p.receive()
		if err != nil {
			p.t.Fatal(err)
		}
		if f.Answer {
			answers[f.Number] = f.Bad + string(f.Body)
		}
	}
	return answers
}
