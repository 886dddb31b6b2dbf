package main

import (
	"context"
	"errors"
	"io"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/urfave/cli/v3"
)

// runScaleText runs testbed scale run on an experiment text, with an output directory that already holds a report of the same name. It
// returns the content of the report before and after the run.
func runScaleText(t *testing.T, text string) (before, after string, err error) {
	t.Helper()
	directory := t.TempDir()
	file, report := filepath.Join(directory, "x.toml"), filepath.Join(directory, "x.json")
	before = "the report before"
	for path, content := range map[string]string{file: text, report: before} {
		if err := os.WriteFile(path, []byte(content), 0o644); err != nil {
			t.Fatal(err)
		}
	}
	command := scaleCommand()
	command.ExitErrHandler = func(context.Context, *cli.Command, error) {}
	command.Writer, command.ErrWriter = io.Discard, io.Discard
	err = command.Run(context.Background(), []string{"scale", "run", "--out", directory, file})
	now, readErr := os.ReadFile(report)
	if readErr != nil {
		t.Fatal(readErr)
	}
	return before, string(now), err
}

const validSweep = "sweep = \"balancers\"\nsizes = [2, 3]\nservers = 3\nconnections = 3\ngroups = 3\nzones = 1\n"

func TestScaleRunWithBadInput(t *testing.T) {
	for name, text := range map[string]string{
		"unknown key":         validSweep + "colour = 1\n",
		"size of zero":        strings.Replace(validSweep, "[2, 3]", "[0, 3]", 1),
		"negative":            strings.Replace(validSweep, "servers = 3", "servers = -3", 1),
		"size over the limit": strings.Replace(validSweep, "[2, 3]", "[2, 10001]", 1),
		"not TOML":            "sweep",
	} {
		t.Run(name, func(t *testing.T) {
			before, after, err := runScaleText(t, text)
			var code cli.ExitCoder
			if !errors.As(err, &code) || code.ExitCode() != badInput || !strings.Contains(err.Error(), "x.toml") {
				t.Errorf("error %v, want one that names the file and has exit code %d", err, badInput)
			}
			if after != before {
				t.Error("the existing report was overwritten")
			}
		})
	}
}

func TestScaleRunWritesItsReport(t *testing.T) {
	before, after, err := runScaleText(t, validSweep)
	if err != nil || after == before || !strings.Contains(after, "balancers.unevenness") {
		t.Errorf("error %v; want a new report with balancers.unevenness, got %s", err, after)
	}
}
