// Wirehost hosts balancer instances on the simulator's wire.
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
