// Verdict reads the output of go test -json from standard input and exits with code 1 unless the listed tests fail and all others pass.
// Its argument is the path of the list of known failures; a list that doesn't exist is treated as empty.
package main

import (
	"errors"
	"fmt"
	"io/fs"
	"os"

	"yardwinch/internal/knownred"
)

func main() {
	if len(os.Args) != 2 {
		fmt.Fprintln(os.Stderr, "usage: verdict LIST\nLIST is the path of the list of known failures")
		os.Exit(1)
	}
	if err := judge(os.Args[1]); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}

func judge(listPath string) error {
	entries, err := readList(listPath)
	if err != nil {
		return err
	}
	return knownred.Evaluate(os.Stdin, entries, os.Stdout)
}

func readList(path string) ([]knownred.Entry, error) {
	file, err := os.Open(path)
	if errors.Is(err, fs.ErrNotExist) {
		return nil, nil
	}
	if err != nil {
		return nil, err
	}
	defer func() { _ = file.Close() }() // opened for reading only
	entries, err := knownred.ReadList(file)
	if err != nil {
		return nil, fmt.Errorf("%s: %w", path, err)
	}
	return entries, nil
}
