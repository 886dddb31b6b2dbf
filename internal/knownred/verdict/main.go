// Verdict reads go test -json and ends with 1 unless all tests pass but for those that the file named as its
// argument lists.
package main

import (
	"errors"
	"fmt"
	"io/fs"
	"os"

	"yardwinch/internal/knownred"
)

func main() {
	if err := run(os.Args[1]); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}

func run(path string) error {
	var reds []knownred.Red
	f, err := os.Open(path)
	if err == nil {
		defer f.Close()
		if reds, err = knownred.List(f); err != nil {
			return fmt.Errorf("%s: %w", path, err)
		}
	} else if !errors.Is(err, fs.ErrNotExist) {
		return err
	}
	return knownred.Judge(os.Stdin, reds, os.Stdout)
}
