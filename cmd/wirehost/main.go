// Wirehost hosts balancer instances on the simulator's wire.
package main

import (
	"fmt"
	"os"

	"yardwinch/simwire"
)

func main() {
	if err := simwire.Run(os.Stdin, os.Stdout); err != nil {
		fmt.Fprintln(os.Stderr, "wirehost:", err)
		os.Exit(1)
	}
}
