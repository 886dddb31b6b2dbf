// Command standin runs one case of the review: it starts the project's balancers with the command of the deploy file,
// and stands in for clients, servers, discovery and the platform. Its exit code is 1 if the rule was broken, 0 if it
// held, and 2 if the case couldn't run.
package main

import (
	"fmt"
	"os"
	"runtime"
	"time"
)

// longestRun ends a run that hangs; the balancers end with this process.
const longestRun = 115 * time.Second

// verdict is the result of a case.
type verdict int

const (
	held   verdict = 0
	broken verdict = 1
	failed verdict = 2
)

var cases = map[string]func(*rig) (verdict, error){
	"slow": slowDiscovery,
	"ids":  idAfterUpgrade,
	"deaf": deafAfterAbortedUpgrade,
}

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standin CASE FOLDER")
		os.Exit(int(failed))
	}
	runtime.LockOSThread() // balancers are started on this thread, see rig.balancer
	time.AfterFunc(longestRun, func() { os.Exit(int(failed)) })
	r, err := newRig(os.Args[2])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(int(failed))
	}
	result, err := cases[os.Args[1]](r)
	if err != nil {
		r.log("the case couldn't run: %v", err)
		result = failed
	}
	r.log("result: %s", [...]string{"the rule held", "the rule was BROKEN", "the case couldn't run"}[result])
	r.close()
	os.Exit(int(result))
}
