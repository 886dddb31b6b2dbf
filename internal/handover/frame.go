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
	frameHeaderBytes = 4       // the length of the JSON text that follows, big endian
	maxFrameBytes    = 8 << 20 // limit for the JSON text
	maxFrameFiles    = 8
	descriptorBytes  = 4 // size of a descriptor in a control message
)

// frame is one message on the link: JSON text and descriptors. Its keys and the kinds are part of the protocol between
// different versions.
type frame struct {
	Kind    string          `json:"kind,omitempty"`
	Number  uint64          `json:"number,omitempty"` // identifies a request and its reply; 0: no reply is expected
	IsReply bool            `json:"answer,omitempty"`
	Refusal string          `json:"bad,omitempty"` // in a reply: why the request was refused
	Body    json.RawMessage `json:"body,omitempty"`

	files       []*os.File     // received with the frame
	descriptors []syscall.Conn // to send with the frame
}

// encodeFrame returns the JSON text of a frame.
func encodeFrame(f frame) ([]byte, error) {
	text, err := json.Marshal(f)
	if err != nil {
		return nil, fmt.Errorf("encode frame: %w", err)
	}
	if len(text) > maxFrameBytes {
		return nil, fmt.Errorf("frame has %d bytes, at most %d are allowed", len(text), maxFrameBytes)
	}
	return text, nil
}

// writeFrame sends the text of a frame, and the descriptors as ancillary data of its header.
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

// encodeRights returns the SCM_RIGHTS control message for descriptors; nil if there are none.
func encodeRights(descriptors []syscall.Conn) ([]byte, error) {
	if len(descriptors) == 0 {
		return nil, nil
	}
	var fds []int
	for _, descriptor := range descriptors {
		// Not the duplicate that File returns: it sets the socket, which both processes share, to blocking mode.
		raw, err := descriptor.SyscallConn()
		if err == nil {
			err = raw.Control(func(fd uintptr) { fds = append(fds, int(fd)) })
		}
		if err != nil {
			return nil, fmt.Errorf("get descriptor to send: %w", err)
		}
	}
	return syscall.UnixRights(fds...), nil
}

// readFrame reads one complete frame, else it returns an error. The caller closes the files of the frame.
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
		return f, fmt.Errorf("frame has %d bytes, at most %d are allowed", length, maxFrameBytes)
	}
	// The buffer grows as bytes arrive: the length in the header alone must not allocate memory.
	text, err := io.ReadAll(io.LimitReader(conn, int64(length)))
	if err != nil {
		return f, err
	}
	if len(text) < int(length) {
		return f, io.ErrUnexpectedEOF
	}
	if err := json.Unmarshal(text, &f); err != nil {
		return f, fmt.Errorf("decode frame: %w", err)
	}
	return f, nil
}

// readFrameHeader reads the length of a frame and the descriptors sent with it. It returns the files received so far
// with an error too.
func readFrameHeader(conn *net.UnixConn) (length uint32, files []*os.File, err error) {
	header := make([]byte, frameHeaderBytes)
	control := make([]byte, syscall.CmsgSpace(descriptorBytes*maxFrameFiles))
	for received := 0; received < len(header); {
		n, controlBytes, _, _, err := conn.ReadMsgUnix(header[received:], control)
		newFiles, rightsErr := decodeRights(control[:controlBytes])
		files = append(files, newFiles...)
		switch {
		case err != nil:
			return 0, files, err
		case rightsErr != nil:
			return 0, files, rightsErr
		case n == 0:
			return 0, files, io.EOF
		}
		received += n
	}
	return binary.BigEndian.Uint32(header), files, nil
}

// decodeRights opens the descriptors in control messages. It returns those decoded before an error with the error.
func decodeRights(control []byte) (files []*os.File, err error) {
	if len(control) == 0 {
		return nil, nil
	}
	messages, err := syscall.ParseSocketControlMessage(control)
	if err != nil {
		return nil, fmt.Errorf("decode descriptors of frame: %w", err)
	}
	for _, message := range messages {
		fds, err := syscall.ParseUnixRights(&message)
		if err != nil {
			return files, fmt.Errorf("decode descriptors of frame: %w", err)
		}
		for _, fd := range fds {
			files = append(files, os.NewFile(uintptr(fd), "handed over"))
		}
	}
	return files, nil
}

// closeFiles closes received files. Errors are ignored: users of the descriptors have their own duplicates.
func closeFiles(files []*os.File) {
	for _, file := range files {
		_ = file.Close()
	}
}
