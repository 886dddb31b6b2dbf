// Wirehost runs instances of the decisions on the wire of the simulator, on standard input and output.
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
