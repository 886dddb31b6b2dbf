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

// Who is out by hand was written by an earlier build that was killed: this one reads it, and writes the same bytes
// under the same name.
func TestOutByHandOfAnEarlierBuild(t *testing.T) {
	t.Parallel()
	for _, c := range []struct{ name, file string }{
		{"one server", "kept/one.out"},
		{"several, one of them in no list", "kept/several.out"},
		{"none", "kept/none.out"},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			d := newDaemon(t, echo(t))
			want := read(t, "testdata/"+c.file)
			d.write(d.kept(".out"), want)
			d.start()
			d.ready()
			var all strings.Builder
			fmt.Fprintln(&all, "at the start:", d.outByHand())
			if out := strings.Contains(want, `"a"`); out {
				d.call("POST", "/control/servers/a/online")
				fmt.Fprintln(&all, "a is online, the file:", read(t, d.kept(".out")))
			}
			d.call("POST", "/control/servers/a/offline")
			fmt.Fprintln(&all, "a is offline, the file:", read(t, d.kept(".out")))
			golden(t, c.file+".txt", all.String())
		})
	}
}

// What can't be read whole counts for nothing, and the log and explain say so.
func TestOutByHandThatCanNotBeRead(t *testing.T) {
	t.Parallel()
	for _, c := range []struct{ name, text, want string }{
		{"another version", `{"version":2,"out_by_hand":["a"]}`, "version 2, want 1"},
		{"an unknown key", `{"version":1,"out_by_hand":["a"],"more":1}`, `unknown field \"more\"`},
		{"half of it", `{"version":1,"out_by_`, "unexpected EOF"},
		{"an empty id", `{"version":1,"out_by_hand":[""]}`, "an id of 0 bytes, 1 to"},
		{"more behind it", `{"version":1,"out_by_hand":[]}{}`, "something follows its end"},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			d := newDaemon(t, echo(t))
			d.write(d.kept(".out"), c.text)
			d.start()
			d.ready()
			if out := d.outByHand(); out != "a:false" {
				t.Errorf("out by hand: %s", out)
			}
			if !strings.Contains(d.log.String(), c.want) {
				t.Errorf("the log does not say %q", c.want)
			}
		})
	}
}

// outByHand tells of each server whether it is out by hand.
func (d *daemon) outByHand() string {
	d.t.Helper()
	r := ran(d.t, "daemon", "", "", "explain", "--json", "--socket", d.socket)
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

// frame is what passes between two processes of one balancer: four bytes of length, then this.
type frame struct {
	Kind   string          `json:"kind,omitempty"`
	Number uint64          `json:"number,omitempty"`
	Answer bool            `json:"answer,omitempty"`
	Bad    string          `json:"bad,omitempty"`
	Body   json.RawMessage `json:"body,omitempty"`
}

// peerProcess is the other process of a balancer, as an earlier build speaks.
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

// next is the next frame, and how many descriptors came beside it; io.EOF: there is none.
func (p *peerProcess) next() (f frame, files int, err error) {
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

// ask puts a question and reads on until it is answered; what else comes is answered with nothing.
func (p *peerProcess) ask(number uint64, kind, body string) (frame, int) {
	p.t.Helper()
	p.send(frame{Kind: kind, Number: number, Body: json.RawMessage(body)})
	for {
		f, files, err := p.next()
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

// connect is the connection of a successor to a daemon.
func (d *daemon) connect() *peerProcess {
	d.t.Helper()
	folder, err := os.Open(d.folder)
	if err != nil {
		d.t.Fatal(err)
	}
	defer folder.Close()
	name := d.kept(".sock")[len(d.folder):]
	conn, err := net.Dial("unix", fmt.Sprintf("/proc/self/fd/%d%s", folder.Fd(), name))
	if err != nil {
		d.t.Fatal(err)
	}
	d.t.Cleanup(func() { _ = conn.Close() })
	_ = conn.SetDeadline(time.Now().Add(patience))
	return &peerProcess{d.t, conn.(*net.UnixConn)}
}

// A process of an earlier build takes over from this one: questions and answers have their names, and the state
// its keys.
func TestSuccessorOfAnEarlierBuild(t *testing.T) {
	t.Parallel()
	d := newDaemon(t, echo(t))
	d.start()
	d.ready()
	d.says("OPEN 1 k c=live,d=800,g=one")
	d.call("POST", "/control/servers/a/offline")
	d.call("POST", "/control/out-of-service")
	d.until("its socket is there", func() bool { _, err := os.Lstat(d.kept(".sock")); return err == nil })
	var all strings.Builder
	refused := d.connect()
	for i, x := range [][2]string{{"nonsense", "null"}, {"give", "null"}, {"have", "null"}, {"hello", `{"version":2,"listen":"x"}`}} {
		f, files := refused.ask(uint64(i+1), x[0], x[1])
		fmt.Fprintf(&all, "%s: %s%s, %d files\n", x[0], f.Bad, f.Body, files)
	}
	_ = refused.conn.Close()
	p := d.connect()
	hello, _ := p.ask(1, "hello", fmt.Sprintf(`{"version":1,"listen":%q}`, d.clients()))
	fmt.Fprintf(&all, "hello: %s%s\n", hello.Bad, hello.Body)
	given, files := p.ask(2, "give", "null")
	fmt.Fprintf(&all, "give: %s%d files\n%s", given.Bad, files, keysOf(t, string(given.Body)))
	have, _ := p.ask(3, "have", "null")
	fmt.Fprintf(&all, "have: %s%s\n", have.Bad, have.Body)
	kinds := map[string]bool{}
	for !kinds["held"] || !kinds["carry"] { // it says what it holds, and passes its connections on
		f, files, err := p.next()
		if err != nil {
			t.Fatal(err)
		}
		kinds[f.Kind] = true
		if f.Kind == "carry" {
			fmt.Fprintf(&all, "carry: %d files\n%s", files, keysOf(t, string(f.Body)))
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
	d := newDaemon(t, echo(t))
	state := read(t, "testdata/handover/state.json")
	listener, err := net.Listen("tcp", d.clients())
	if err != nil {
		t.Fatal(err)
	}
	file, err := listener.(*net.TCPListener).File()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _, _ = file.Close(), listener.Close() })
	socket, err := net.Listen("unix", d.kept(".sock"))
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = socket.Close() })
	d.start()
	conn, err := socket.Accept()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = conn.Close() })
	_ = conn.SetDeadline(time.Now().Add(patience))
	p := &peerProcess{t, conn.(*net.UnixConn)}
	var all strings.Builder
	for has := false; !has; {
		f, _, err := p.next()
		if err != nil {
			t.Fatal(err)
		}
		fmt.Fprintf(&all, "%s %s\n", f.Kind, f.Body)
		answer := frame{Number: f.Number, Answer: true, Body: json.RawMessage("null")}
		switch f.Kind {
		case "hello":
			answer.Body = json.RawMessage("false")
		case "give":
			answer.Body = json.RawMessage(state)
			p.send(answer, int(file.Fd()))
			continue
		case "have":
			has = true
		}
		p.send(answer)
	}
	d.ready()
	fmt.Fprintln(&all, "explain:", d.outByHand())
	p.send(frame{Kind: "ask", Number: 1, Body: json.RawMessage(`{"kind":"online","server":"b"}`)})
	for answered := false; !answered; {
		f, _, err := p.next()
		if err != nil {
			t.Fatal(err)
		}
		fmt.Fprintf(&all, "after ask: %s%s %s\n", f.Kind, f.Bad, f.Body)
		if answered = f.Answer && f.Number == 1; !answered && f.Number != 0 {
			p.send(frame{Number: f.Number, Answer: true, Body: json.RawMessage("null")})
		}
	}
	p.send(frame{Kind: "claim", Number: 2, Body: json.RawMessage("72623859790382856")}) // the id that the state has
	p.send(frame{Kind: "claim", Number: 3, Body: json.RawMessage("5")})
	answers := map[uint64]string{}
	for len(answers) < 2 {
		f, _, err := p.next()
		if err != nil {
			t.Fatal(err)
		}
		if f.Answer {
			answers[f.Number] = f.Bad + string(f.Body)
		}
	}
	fmt.Fprintln(&all, "claims:", answers[2], answers[3])
	_ = conn.Close()
	d.until("it sees that the other ended", func() bool { return strings.Contains(d.log.String(), "the predecessor has ended") })
	fmt.Fprintln(&all, "explain:", d.outByHand())
	golden(t, "handover/predecessor.txt", strings.ReplaceAll(all.String(), d.clients(), "LISTEN"))
}
