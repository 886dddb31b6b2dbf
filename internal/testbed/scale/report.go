package scale

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"
	"path/filepath"
)

const (
	resultMode = 0o644
	folderMode = 0o755
)

// Write writes a report to NAME.json in a folder, whole or not at all, and tells where.
func Write(folder string, r *Report) (file string, err error) {
	fail := func(err error) (string, error) {
		return "", &Error{Where: folder, What: "the report can't be written", Remedy: "name a folder that can be written to with --out", Err: err}
	}
	text, err := json.MarshalIndent(r, "", " ")
	if err != nil {
		return fail(err)
	}
	if err := os.MkdirAll(folder, folderMode); err != nil {
		return fail(err)
	}
	temporary, err := os.CreateTemp(folder, ".report-*")
	if err != nil {
		return fail(err)
	}
	defer func() { _ = os.Remove(temporary.Name()) }() // nothing there once it was renamed
	_, err = temporary.Write(append(text, '\n'))
	err = errors.Join(err, temporary.Chmod(resultMode), temporary.Sync(), temporary.Close())
	if err != nil {
		return fail(err)
	}
	file = filepath.Join(folder, r.Experiment+".json")
	if err := os.Rename(temporary.Name(), file); err != nil {
		return fail(err)
	}
	return file, nil
}

// ReadReport reads a report file. A fault is one *Error that names file and line.
func ReadReport(file string) (*Report, error) {
	const advice = "run its experiment again: testbed scale run writes reports whole"
	text, err := os.ReadFile(file)
	if err != nil {
		return nil, &Error{Where: file, What: "can't be read", Remedy: advice, Err: err}
	}
	decoder := json.NewDecoder(bytes.NewReader(text))
	decoder.DisallowUnknownFields()
	var r Report
	err = decoder.Decode(&r)
	end := decoder.InputOffset()
	if err == nil {
		if _, more := decoder.Token(); !errors.Is(more, io.EOF) {
			err = errors.New("text after the report")
		}
	}
	if err != nil {
		return nil, &Error{Where: fmt.Sprintf("%s:%d", file, line(text, place(err, end))), What: "no whole report", Remedy: advice, Err: err}
	}
	if r.Format != reportFormat {
		return nil, &Error{Where: file, What: fmt.Sprintf("format: want %d, got %d", reportFormat, r.Format), Remedy: advice}
	}
	if err := valid(r.Series); err != nil {
		return nil, &Error{Where: file, What: "series", Remedy: advice, Err: err}
	}
	return &r, nil
}

// place is the byte at which reading failed.
func place(err error, reached int64) int64 {
	var syntax *json.SyntaxError
	var kind *json.UnmarshalTypeError
	switch {
	case errors.As(err, &syntax):
		return syntax.Offset
	case errors.As(err, &kind):
		return kind.Offset
	}
	return reached
}

// line counts from 1. A text cut short has its fault at its end.
func line(text []byte, offset int64) int {
	return 1 + bytes.Count(text[:min(int(offset), len(text))], []byte("\n"))
}
