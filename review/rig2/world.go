// Command rig2 runs the cases 6 to 10 of the review. Each case starts the balancer's own program with the command of
// the deploy file and plays clients, servers, discovery and the platform in this process, on loopback addresses.
package main

import (
	"crypto/rand"
	"encoding/hex"
	"fmt"
	mathrand "math/rand/v2"
	"net"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"time"
)

// world is one run of a case: its folders, its record and whether the disruption takes place.
type world struct {
	root    string // of the repository
	temp    string // temporary folder, removed at the end
	host    string // a loopback address for the balancers
	trouble bool
	started time.Time

	mu        sync.Mutex
	record    *os.File
	processes []*process
	broken    []string
}

func newWorld(root, caseFolder string) (*world, error) {
	temp, err := os.MkdirTemp("", "rig2-")
	if err != nil {
		return nil, err
	}
	record, err := os.Create(filepath.Join(caseFolder, "record.txt"))
	if err != nil {
		return nil, err
	}
	return &world{
		root:    root,
		temp:    temp,
		host:    fmt.Sprintf("127.%d.%d.%d", 16+mathrand.IntN(200), mathrand.IntN(250), 1+mathrand.IntN(250)),
		trouble: os.Getenv("TROUBLE") != "0",
		started: time.Now(),
		record:  record,
	}, nil
}

// note adds a line to the record, with the time since the start of the run.
func (w *world) note(format string, a ...any) {
	w.mu.Lock()
	defer w.mu.Unlock()
	_, _ = fmt.Fprintf(w.record, "%8.3f  %s\n", time.Since(w.started).Seconds(), fmt.Sprintf(format, a...))
}

// breach records that the rule of the case was broken.
func (w *world) breach(format string, a ...any) {
	text := fmt.Sprintf(format, a...)
	w.note("RULE BROKEN: %s", text)
	w.mu.Lock()
	defer w.mu.Unlock()
	w.broken = append(w.broken, text)
}

// end ends all processes, adds their logs to the record and removes the temporary folder.
func (w *world) end() {
	w.mu.Lock()
	processes := w.processes
	w.mu.Unlock()
	for _, p := range processes {
		p.kill()
	}
	for _, p := range processes {
		text, err := os.ReadFile(p.logPath)
		if err != nil {
			continue
		}
		w.mu.Lock()
		_, _ = fmt.Fprintf(w.record, "\nlog of %s:\n%s", p.name, strings.ReplaceAll(string(text), w.temp, "TEMP"))
		w.mu.Unlock()
	}
	_ = w.record.Close()
	_ = os.RemoveAll(w.temp)
}

// cannotRun is the panic value with which a case ends that could not run.
type cannotRun struct{ reason string }

func (w *world) fail(format string, a ...any) {
	reason := fmt.Sprintf(format, a...)
	w.note("could not run: %s", reason)
	panic(cannotRun{reason})
}

// freeAddress returns an address on a loopback host of this run alone. Its port lies below those that the system gives to
// connections, so that none of them takes it before the balancer does.
func (w *world) freeAddress() string {
	for range 100 {
		address := fmt.Sprintf("%s:%d", w.host, 12_000+mathrand.IntN(18_000))
		l, err := net.Listen("tcp", address)
		if err != nil {
			continue
		}
		_ = l.Close()
		return address
	}
	w.fail("no free address")
	return ""
}

func newID() string {
	var b [8]byte
	_, _ = rand.Read(b[:])
	return hex.EncodeToString(b[:])
}

// waitUntil polls a condition until it holds or the time is over.
func waitUntil(limit time.Duration, holds func() bool) bool {
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(5 * time.Millisecond) {
		if holds() {
			return true
		}
	}
	return holds()
}
