// Yardwinch-gossip is the gossip engine of one balancer. yardwinch serve starts it if the options file has a [peers]
// table.
package main

import (
	"os"

	"yardwinch/internal/membership/engine"
)

func main() { os.Exit(engine.Main(os.Stdin, os.Stdout, os.Stderr)) }
