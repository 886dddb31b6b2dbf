package handover

import (
	"encoding/binary"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"os"
	"syscall"
)

const (
	frameHeaderBytes = 4       // the length of the text that follows, big endian
	maxFrameBytes    = 8 << 20 // of the text
	maxFrameFiles    = 8
	descriptorBytes  = 4 // of one descriptor in a control message
)

// frame is one message on the link: JSON text, with descriptors beside it. The keys and kinds are common to all
// versions that run side by side.
type frame struct {
	Kind    string          `json:"kind,omitempty"`
	Number  uint64          `json:"number,omitempty"` // of the request, and of the reply to it; 0: no reply is expected
	IsReply bool            `json:"answer,omitempty"`
	Refusal string          `json:"bad,omitempty"` // of a reply: why the request was refused
	Body    json.RawMessage `json:"body,omitempty"`

	files       []*os.File     // received with it
	descriptors []syscall.Conn // to be sent with it
}

// encodeFrame is the text of a frame.
func encodeFrame(f frame) ([]byte, error) {
	text, err := json.Marshal(f)
	if err != nil {
		return nil, fmt.Errorf("encode a frame: %w", err)
	}
	if len(text) > maxFrameBytes {
		return nil, fmt.Errorf("a frame of %d bytes, %d at most", len(text), maxFrameBytes)
	}
	return text, nil
}

// writeFrame sends the text of a frame, with descriptors beside the first byte.
func writeFrame(conn *net.UnixConn, text []byte, descriptors []syscall.Conn) error {
	rights, err := encodeRights(descriptors)
	if err != nil {
		return err
	}
	header := binary.BigEndian.AppendUint32(nil, uint32(len(text)))
	if _, _, err := conn.WriteMsgUnix(header, rights, nil); err != nil {
		return err
	}
	_, err = conn.Write(text)
	return err
}

// encodeRights is the control message that passes descriptors on; nil for none.
func encodeRights(descriptors []syscall.Conn) ([]byte, error) {
	if len(descriptors) == 0 {
		return nil, nil
	}
	var numbers []int
	for _, descriptor := range descriptors {
		// Not a copy from File: that would set the socket, which both processes share, to blocking mode.
		raw, err := descriptor.SyscallConn()
		if err == nil {
			err = raw.Control(func(number uintptr) { numbers = append(numbers, int(number)) })
		}
		if err != nil {
			return nil, fmt.Errorf("pass a descriptor on: %w", err)
		}
	}
	return syscall.UnixRights(numbers...), nil
}

// readFrame reads one frame, whole or not at all. The caller closes its files.
func readFrame(conn *net.UnixConn) (f frame, err error) {
	defer func() {
		if err != nil {
			closeFiles(f.files)
			f.files = nil
		}
	}()
	length, files, err := readFrameHeader(conn)
	f.files = files
	if err != nil {
		return f, err
	}
	if length > maxFrameBytes {
		return f, fmt.Errorf("a frame of %d bytes, %d at most", length, maxFrameBytes)
	}
	// Grows as bytes arrive: a length alone must not cost memory.
	text, err := io.ReadAll(io.LimitReader(conn, int64(length)))
	if err != nil {
		return f, err
	}
	if len(text) < int(length) {
		return f, io.ErrUnexpectedEOF
	}
	if err := json.Unmarshal(text, &f); err != nil {
		return f, fmt.Errorf("decode a frame: %w", err)
	}
	return f, nil
}

// readFrameHeader reads the length of a frame and the descriptors that came beside it. The files are given with an
// error too.
func readFrameHeader(conn *net.UnixConn) (length uint32, files []*os.File, err error) {
	header := make([]byte, frameHeaderBytes)
	control := make([]byte, syscall.CmsgSpace(descriptorBytes*maxFrameFiles))
	for received := 0; received < len(header); {
		n, controlBytes, _, _, err := conn.ReadMsgUnix(header[received:], control)
		newFiles, errRights := decodeRights(control[:controlBytes])
		files = append(files, newFiles...)
		switch {
		case err != nil:
			return 0, files, err
		case errRights != nil:
			return 0, files, errRights
		case n == 0:
			return 0, files, io.EOF
		}
		received += n
	}
	return binary.BigEndian.Uint32(header), files, nil
}

// decodeRights opens the descriptors of a control message. Those before a fault are given with the error.
func decodeRights(control []byte) (files []*os.File, err error) {
	if len(control) == 0 {
		return nil, nil
	}
	messages, err := syscall.ParseSocketControlMessage(control)
	if err != nil {
		return nil, fmt.Errorf("descriptors beside a frame: %w", err)
	}
	for _, message := range messages {
		numbers, err := syscall.ParseUnixRights(&message)
		if err != nil {
			return files, fmt.Errorf("descriptors beside a frame: %w", err)
		}
		for _, number := range numbers {
			files = append(files, os.NewFile(uintptr(number), "handed over"))
		}
	}
	return files, nil
}

// closeFiles closes received files. Each user has a copy, so that nothing is lost by a close that fails.
func closeFiles(files []*os.File) {
	for _, file := range files {
		_ = file.Close()
	}
}
