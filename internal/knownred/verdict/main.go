// Verdict reads the output of go test -json from standard input and ends with exit code 1 unless all tests pass but for those that the
// list named as its argument holds. A list that doesn't exist is empty.
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
		fmt.Fprintln(os.Stderr, "want one argument: the list of tests that are known to fail")
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
	return knownred.Judge(os.Stdin, entries, os.Stdout)
}

func readList(path string) ([]knownred.Entry, error) {
	file, err := os.Open(path)
	if errors.Is(err, fs.ErrNotExist) {
		return nil, nil
	}
	if err != nil {
		return nil, err
	}
	defer func() { _ = file.Close() }() // it was only read
	entries, err := knownred.ReadList(file)
	if err != nil {
		return nil, fmt.Errorf("%s: %w", path, err)
	}
	return entries, nil
}
