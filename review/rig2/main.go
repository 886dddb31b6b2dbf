package main

import (
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
	"time"
)

var cases = map[string]func(*world){}

// The exit code is 1 if the rule was broken, 0 if it held, and 2 if the case could not run.
func main() { os.Exit(run()) }

// runLimit is longer than any case takes.
const runLimit = 110 * time.Second

// endEarly ends the run, and all that it started, at a signal or after runLimit.
func (w *world) endEarly() {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGINT, syscall.SIGTERM, syscall.SIGHUP)
	select {
	case <-signals:
	case <-time.After(runLimit):
	}
	w.note("ended early")
	w.end()
	os.Exit(2)
}

func run() (code int) {
	if len(os.Args) != 4 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: rig2 CASE REPOSITORY CASE-FOLDER")
		return 2
	}
	root, err := filepath.Abs(os.Args[2])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	w, err := newWorld(root, os.Args[3])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	defer w.end()
	go w.endEarly()
	defer func() {
		switch cause := recover().(type) {
		case nil:
		case cannotRun:
			fmt.Fprintln(os.Stderr, "could not run:", cause.reason)
			code = 2
		default:
			fmt.Fprintln(os.Stderr, "could not run:", cause)
			code = 2
		}
	}()
	w.note("case %s, disruption: %v", os.Args[1], w.trouble)
	cases[os.Args[1]](w)
	if len(w.broken) > 0 {
		for _, text := range w.broken {
			fmt.Println("rule broken:", text)
		}
		return 1
	}
	fmt.Println("the rule held")
	w.note("the rule held")
	return 0
}
