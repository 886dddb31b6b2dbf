package simulator

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"strconv"
	"strings"

	"yardwinch/decide"
)

// decoder reads messages and their fields. The methods for fields keep the first error in err, so that callers decode a
// message first and check for errors once.
type decoder struct {
	in     *bufio.Reader
	line   int
	fields []string // of the current line
	err    error    // the first error in a field; it ends the run
}

// next reads the next line that isn't empty; false at the end of the input.
func (d *decoder) next() (bool, error) {
	for {
		d.line++
		line, err := d.in.ReadString('\n')
		isEnd := errors.Is(err, io.EOF)
		line = strings.TrimRight(line, "\r\n")
		if line == "" && isEnd {
			return false, nil
		}
		if err != nil && !isEnd {
			return false, fmt.Errorf("read line %d: %w", d.line, err)
		}
		if line != "" {
			d.split(line)
			return true, nil
		}
	}
}

// split splits a line into fields. It reuses the slice of the previous line's fields.
func (d *decoder) split(line string) {
	d.fields = d.fields[:0]
	for {
		field, tail, more := strings.Cut(line, "\t")
		d.fields = append(d.fields, field)
		if !more {
			return
		}
		line = tail
	}
}

// messageType returns the type of the current message.
func (d *decoder) messageType() string { return d.fields[typeField] }

// errorf returns an error that names the current line.
func (d *decoder) errorf(format string, a ...any) error {
	return fmt.Errorf("line %d: %s", d.line, fmt.Sprintf(format, a...))
}

// fail keeps an error if it is the first one.
func (d *decoder) fail(format string, a ...any) {
	if d.err == nil {
		d.err = d.errorf(format, a...)
	}
}

// text returns a field; empty if it is absent.
func (d *decoder) text(field int) string {
	if field >= len(d.fields) || d.fields[field] == absentField {
		return ""
	}
	return d.fields[field]
}

// required returns a field that must not be absent.
func (d *decoder) required(field int) string {
	text := d.text(field)
	if text == "" {
		d.fail("%s: field %d is missing", d.messageType(), field)
	}
	return text
}

// integer returns a field that is an integer; 0 if it is absent.
func (d *decoder) integer(field int) int64 {
	text := d.text(field)
	if text == "" {
		return 0
	}
	n, err := strconv.ParseInt(text, 10, 64)
	if err != nil {
		d.fail("%s: field %d: bad number %q", d.messageType(), field, text)
	}
	return n
}

func (d *decoder) requiredInteger(field int) int64 {
	d.required(field)
	return d.integer(field)
}

// float returns a field that is a number; 0 if it is absent.
func (d *decoder) float(field int) float64 {
	text := d.text(field)
	if text == "" {
		return 0
	}
	x, err := strconv.ParseFloat(text, 64)
	if err != nil {
		d.fail("%s: field %d: bad number %q", d.messageType(), field, text)
	}
	return x
}

func (d *decoder) flow() decide.FlowID { return decide.FlowID(d.required(flowField)) }

func (d *decoder) server(field int) decide.ServerID {
	n := d.requiredInteger(field)
	if n < 0 || n >= 1<<32 {
		d.fail("%s: field %d: no server number: %d", d.messageType(), field, n)
	}
	return decide.ServerID(n)
}

// oneOf returns the value of a field that holds one of the given words.
func oneOf[T any](d *decoder, words map[string]T, field int) T {
	value, ok := words[d.required(field)]
	if !ok {
		d.fail("%s: field %d: unknown word %q", d.messageType(), field, d.text(field))
	}
	return value
}
