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
	fileMode      = 0o644
	directoryMode = 0o755
)

// WriteReport writes a report atomically to EXPERIMENT.json in a directory, which it creates if necessary, and returns
// the file's path.
func WriteReport(directory string, r *Report) (file string, err error) {
	fail := func(err error) (string, error) {
		return "", &Error{
			Where:  directory,
			What:   "the report can't be written",
			Remedy: "name a writable directory with --out",
			Err:    err,
		}
	}
	text, err := json.MarshalIndent(r, "", " ")
	if err != nil {
		return fail(err)
	}
	if err := os.MkdirAll(directory, directoryMode); err != nil {
		return fail(err)
	}
	file = filepath.Join(directory, r.Experiment+".json")
	if err := replaceFile(file, append(text, '\n')); err != nil {
		return fail(err)
	}
	return file, nil
}

// replaceFile replaces a file atomically, by a temporary file in the same directory.
func replaceFile(file string, text []byte) error {
	temporary, err := os.CreateTemp(filepath.Dir(file), ".new-*")
	if err != nil {
		return err
	}
	defer func() { _ = os.Remove(temporary.Name()) }() // a renamed file is no longer there
	_, err = temporary.Write(text)
	err = errors.Join(err, temporary.Chmod(fileMode), temporary.Sync(), temporary.Close())
	if err != nil {
		return err
	}
	return os.Rename(temporary.Name(), file)
}

// ReadReport reads a report file. Its error is an *Error that names the file, and the line if the text can't be decoded.
func ReadReport(file string) (*Report, error) {
	const advice = "run its experiment again: testbed scale run writes complete reports"
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
		return nil, &Error{
			Where:  fmt.Sprintf("%s:%d", file, lineNumber(text, failureOffset(err, end))),
			What:   "is not a complete report",
			Remedy: advice,
			Err:    err,
		}
	}
	if r.Format != reportFormat {
		return nil, &Error{Where: file, What: fmt.Sprintf("format: want %d, got %d", reportFormat, r.Format), Remedy: advice}
	}
	if err := validateSeries(r.Series); err != nil {
		return nil, &Error{Where: file, What: "series", Remedy: advice, Err: err}
	}
	return &r, nil
}

// failureOffset is the byte at which decoding failed.
func failureOffset(err error, reached int64) int64 {
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

// lineNumber returns the line of an offset, counted from 1. An offset beyond a truncated text is on its last line.
func lineNumber(text []byte, offset int64) int {
	return 1 + bytes.Count(text[:min(int(offset), len(text))], []byte("\n"))
}
