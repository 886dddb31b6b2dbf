// Wirehost runs balancers for the simulator. It reads events from standard input and writes actions to standard output,
// in the simulator's wire format.
package main

import (
	"fmt"
	"os"

	"yardwinch/internal/simulator"
)

func main() {
	if err := simulator.Run(os.Stdin, os.Stdout); err != nil {
		fmt.Fprintln(os.Stderr, "wirehost:", err)
		os.Exit(1)
	}
}
