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
	directoryMode = 0o755
	barWidth      = 48
	dayBarWidth   = 40
	reportEvery   = 5 * time.Second // of a run in real time
	reportSlack   = 500 * time.Millisecond
)

// printf writes for the operator. Where the reader of the output is gone there is nobody to tell of it, and the exit code still says
// what the run found.
func printf(to io.Writer, format string, values ...any) { _, _ = fmt.Fprintf(to, format, values...) }

// printJSON is for commands whose result is one object.
func printJSON(value any) error {
	encoder := json.NewEncoder(os.Stdout)
	encoder.SetIndent("", "  ")
	return encoder.Encode(value)
}

// writeResults writes results where the flags name files for them.
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

// writeFile writes a file; - is standard output.
func writeFile(path string, write func(io.Writer) error) error {
	if path == "-" {
		return write(os.Stdout)
	}
	file, err := os.Create(path)
	if err != nil {
		return err
	}
	if err := write(file); err != nil {
		_ = file.Close() // it is incomplete anyhow
		return fmt.Errorf("%s: %w", path, err)
	}
	return file.Close()
}

// logDirectory is where logs go: as --logs says, or a temporary directory that remove removes.
func logDirectory(c *cli.Command) (directory string, remove func(), err error) {
	if directory = c.String("logs"); directory != "" {
		return directory, func() {}, os.MkdirAll(directory, directoryMode)
	}
	directory, err = os.MkdirTemp("", "testbed")
	return directory, func() { _ = os.RemoveAll(directory) }, err // what is left of a temporary directory harms nobody
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

// progressBar draws progress on standard error where that is a terminal; elsewhere it prints a line at the end. step may be called from
// several goroutines.
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

// showProgress shows how far a run in real time is: a bar on a terminal, else a line now and then.
func showProgress(to *os.File, e *experiment.Experiment) func(time.Duration) {
	if !isTerminal(to) {
		return func(now time.Duration) {
			if now%reportEvery < reportSlack {
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
