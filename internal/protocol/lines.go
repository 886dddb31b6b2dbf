// Package protocol implements the platform's line protocol with clients and servers, and watches discovery's endpoint
// list. It makes no routing decisions: what it decodes is passed to package routing.
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

// lineCodec reads and writes single lines with net/textproto. A transport.Conn never returns more than one line per
// read, so that nothing is left in the buffers and codecs can be shared between connections. A textproto.Conn for each
// connection would keep two buffers of 4 KiB that never shrink, and would accept lines of any length.
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

// readLine reads one line and returns it without its line ending.
func readLine(c *transport.Conn) (string, error) {
	codec := lineCodecs.Get().(*lineCodec)
	defer lineCodecs.Put(codec)
	codec.in.Reset(c)
	return codec.reader.ReadLine()
}

// writeLine sends one line. After an error, the line was not written completely.
func writeLine(c *transport.Conn, format string, a ...any) error {
	codec := lineCodecs.Get().(*lineCodec)
	defer lineCodecs.Put(codec)
	codec.out.Reset(c)
	return codec.writer.PrintfLine(format, a...)
}

// lineKind returns the kind of a line, which is its first word.
func lineKind(line string) string {
	kind, _, _ := strings.Cut(line, " ")
	return kind
}
