// Package protocol speaks the platform's lines of text with clients and servers, and follows discovery's endpoint list.
// It decides nothing: what it decodes goes straight into a call of package routing.
package protocol

import (
	"bufio"
	"net/textproto"
	"strings"
	"sync"

	"yardwinch/internal/transport"
)

const (
	lineReadBufferBytes  = 256
	lineWriteBufferBytes = 4200 // more than the longest line
)

// lineCodec reads and writes single lines with net/textproto. A Conn never gives it more than one line, so that
// nothing stays behind in its buffers and one codec serves any number of connections. A textproto.Conn for each
// connection would keep two buffers of 4 KiB that never shrink, and would read lines of any length.
type lineCodec struct {
	in     *bufio.Reader
	reader textproto.Reader
	out    *bufio.Writer
	writer textproto.Writer
}

var lineCodecs = sync.Pool{New: func() any {
	codec := &lineCodec{
		in:  bufio.NewReaderSize(nil, lineReadBufferBytes),
		out: bufio.NewWriterSize(nil, lineWriteBufferBytes),
	}
	codec.reader.R = codec.in
	codec.writer.W = codec.out
	return codec
}}

// readLine reads one line, without its end.
func readLine(c *transport.Conn) (string, error) {
	codec := lineCodecs.Get().(*lineCodec)
	defer lineCodecs.Put(codec)
	codec.in.Reset(c)
	return codec.reader.ReadLine()
}

// writeLine sends one line. An error means that its last byte was not written.
func writeLine(c *transport.Conn, format string, a ...any) error {
	codec := lineCodecs.Get().(*lineCodec)
	defer lineCodecs.Put(codec)
	codec.out.Reset(c)
	return codec.writer.PrintfLine(format, a...)
}

// lineKind is the first word of a line, which says what the line is.
func lineKind(line string) string {
	kind, _, _ := strings.Cut(line, " ")
	return kind
}
