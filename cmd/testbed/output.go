package main

import (
	"encoding/json"
	"fmt"
	"io"
	"os"
	"strings"
	"sync/atomic"
	"time"

	"github.com/urfave/cli/v3"
	"github.com/vbauerster/mpb/v8"
	"github.com/vbauerster/mpb/v8/decor"

	"yardwinch/internal/testbed/count"
	"yardwinch/internal/testbed/experiment"
	"yardwinch/internal/testbed/report"
)

const (
	directoryMode    = 0o755
	barWidth         = 48
	dayBarWidth      = 40
	progressInterval = 5 * time.Second        // between progress lines of a run in real time
	progressSlack    = 500 * time.Millisecond // a report of progress within this time after a multiple of progressInterval is printed
)

// printf writes output for the operator. Write errors are ignored: if the output's reader is gone, the exit code still reports the result.
func printf(to io.Writer, format string, values ...any) { _, _ = fmt.Fprintf(to, format, values...) }

// printJSON writes a command's result to standard output as indented JSON.
func printJSON(value any) error {
	encoder := json.NewEncoder(os.Stdout)
	encoder.SetIndent("", "  ")
	return encoder.Encode(value)
}

// writeResults writes the results to the files of --json and --html, if given.
func writeResults(c *cli.Command, e *experiment.Experiment, results []*count.Result) error {
	if path := c.String("json"); path != "" {
		if err := writeFile(path, func(w io.Writer) error { return report.JSON(w, e.Name, e.About, results) }); err != nil {
			return err
		}
	}
	if path := c.String("html"); path != "" {
		return writeFile(path, func(w io.Writer) error { return report.HTML(w, e.Name, e.About, results) })
	}
	return nil
}

// writeFile writes a file; the path - stands for standard output.
func writeFile(path string, write func(io.Writer) error) error {
	if path == "-" {
		return write(os.Stdout)
	}
	file, err := os.Create(path)
	if err != nil {
		return err
	}
	if err := write(file); err != nil {
		_ = file.Close() // the file is incomplete in any case
		return fmt.Errorf("%s: %w", path, err)
	}
	return file.Close()
}

// logDirectory returns the directory of --logs, or a temporary one, which remove deletes.
func logDirectory(c *cli.Command) (directory string, remove func(), err error) {
	if directory = c.String("logs"); directory != "" {
		return directory, func() {}, os.MkdirAll(directory, directoryMode)
	}
	directory, err = os.MkdirTemp("", "testbed")
	return directory, func() { _ = os.RemoveAll(directory) }, err // a temporary directory may be left behind
}

func isTerminal(file *os.File) bool {
	info, err := file.Stat()
	return err == nil && info.Mode()&os.ModeCharDevice != 0
}

func newBar(name string, total int) (*mpb.Progress, *mpb.Bar) {
	progress := mpb.New(mpb.WithOutput(os.Stderr), mpb.WithWidth(barWidth))
	return progress, progress.AddBar(int64(total), mpb.PrependDecorators(decor.Name(name+" "), decor.CountersNoUnit("%d of %d")),
		mpb.AppendDecorators(decor.Elapsed(decor.ET_STYLE_GO)))
}

// progressBar shows progress on standard error: a bar on a terminal, otherwise one line at the end. step may be called concurrently.
func progressBar(name string, total int) (step, end func()) {
	if isTerminal(os.Stderr) {
		progress, bar := newBar(name, total)
		return bar.Increment, func() { bar.Abort(false); progress.Wait() }
	}
	start := time.Now()
	var done atomic.Int64
	return func() { done.Add(1) }, func() {
		printf(os.Stderr, "%s: %d of %d in %v\n", name, done.Load(), total, time.Since(start).Round(time.Millisecond))
	}
}

// showProgress shows the progress of a run in real time: a bar on a terminal, otherwise a line every progressInterval.
func showProgress(to *os.File, e *experiment.Experiment) func(time.Duration) {
	if !isTerminal(to) {
		return func(now time.Duration) {
			if now%progressInterval < progressSlack {
				printf(to, "%s: %v of %v\n", e.Name, now.Truncate(time.Second), e.Length)
			}
		}
	}
	return func(now time.Duration) {
		filled := 0
		for filled < dayBarWidth && time.Duration(filled)*e.Length/dayBarWidth < now {
			filled++
		}
		end := ""
		if now+time.Second > e.Length {
			end = "\n"
		}
		bar := strings.Repeat("=", filled) + strings.Repeat(" ", dayBarWidth-filled)
		printf(to, "\r[%s] %v of %v %s", bar, now.Truncate(100*time.Millisecond), e.Length, end)
	}
}
