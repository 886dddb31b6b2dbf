// Yardwinch-gossip is the gossip engine of one balancer. yardwinch serve starts it where the options file has a
// table [peers].
package main

import (
	"os"

	"yardwinch/internal/membership/engine"
)

func main() { os.Exit(engine.Main(os.Stdin, os.Stdout, os.Stderr)) }
