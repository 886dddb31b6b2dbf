package main

import (
	"context"
	"errors"
	"os"
	"path/filepath"
	"testing"

	"github.com/urfave/cli/v3"
)

// A malformed report must end the command with exit code 2 and leave the page unchanged.
func TestScalePageRejectsBadReport(t *testing.T) {
	directory := t.TempDir()
	page := filepath.Join(directory, "CAPACITY.md")
	if err := os.WriteFile(page, []byte("as it was"), 0o644); err != nil {
		t.Fatal(err)
	}
	if err := os.WriteFile(filepath.Join(directory, "cut.json"), []byte(`{"format": 1, "series": [{`), 0o644); err != nil {
		t.Fatal(err)
	}
	err := runScalePage(directory, page)
	var code cli.ExitCoder
	if !errors.As(err, &code) || code.ExitCode() != badInput {
		t.Errorf("got %v, want exit code %d", err, badInput)
	}
	if left, err := os.ReadFile(page); err != nil || string(left) != "as it was" {
		t.Errorf("the page is %q, want it unchanged; error %v", left, err)
	}
}

func TestScalePageWritesThePage(t *testing.T) {
	page := filepath.Join(t.TempDir(), "CAPACITY.md")
	if err := runScalePage("../../"+scaleResults, page); err != nil {
		t.Fatal(err)
	}
	written, err := os.ReadFile(page)
	if err != nil {
		t.Fatal(err)
	}
	committed, err := os.ReadFile("../../" + capacityPage)
	if err != nil {
		t.Fatal(err)
	}
	if string(written) != string(committed) {
		t.Error("the committed page differs from what the command writes; run testbed scale page")
	}
}

func runScalePage(results, out string) error {
	command := scalePageCommand()
	command.ExitErrHandler = func(context.Context, *cli.Command, error) {}
	return command.Run(context.Background(), []string{"page", "--results", results, "--out", out})
}
