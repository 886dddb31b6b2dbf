package handover

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"io/fs"
	"os"

	"yardwinch/internal/routing"
)

const longestFile = 1 << 20

// kept is the file of what outlasts a process that was killed.
type kept struct {
	Version int      `json:"version"`
	Out     []string `json:"out_by_hand"`
}

// DirectoryError says that the folder could not be read or written.
type DirectoryError struct {
	Operation string
	Err       error
}

func (e *DirectoryError) Error() string { return e.Operation + ": " + e.Err.Error() }
func (e *DirectoryError) Unwrap() error { return e.Err }

// Advice says what an operator can do about it.
func (e *DirectoryError) Advice() string {
	return "see that the folder that $TMPDIR names is there, is writable and has room; it is tried again until it works"
}

// ContentError says that what the folder keeps can't be understood: unlike a folder that fails this does not pass.
type ContentError struct {
	Path string
	Err  error
}

func (e *ContentError) Error() string { return e.Path + ": " + e.Err.Error() }
func (e *ContentError) Unwrap() error { return e.Err }

// Advice says what an operator can do about it.
func (e *ContentError) Advice() string {
	return "call out again the servers that are to be out by hand; the next such call writes the file anew"
}

// SaveDisabled writes who is out by hand, whole or not at all, so that it is there after a kill and after a loss of power.
func (f *Directory) SaveDisabled(out []string) error {
	text, err := json.Marshal(kept{Version, out})
	if err != nil {
		return err
	}
	if len(text) > longestFile {
		return fmt.Errorf("%d bytes of servers out by hand, %d at most", len(text), longestFile)
	}
	temporary := fmt.Sprintf("%s.%d", f.at(".out"), os.Getpid())
	if err := f.write(temporary, text); err != nil {
		_ = f.files.Remove(temporary) // it may never have been there
		return err
	}
	return nil
}

// write brings a file to its place, each step on the disk before the next one.
func (f *Directory) write(temporary string, text []byte) error {
	file, err := f.files.Create(temporary)
	if err != nil {
		return &DirectoryError{"create a file of who is out by hand", err}
	}
	_, err = file.Write(text)
	if err == nil {
		err = whereKnown(file.Sync())
	}
	if err = errors.Join(err, file.Close()); err != nil {
		return &DirectoryError{"write who is out by hand", err}
	}
	if err := f.files.Rename(temporary, f.at(".out")); err != nil {
		return &DirectoryError{"put the file of who is out by hand in its place", err}
	}
	if err := f.files.SyncFolder(f.path); err != nil {
		return &DirectoryError{"sync the folder", err}
	}
	return nil
}

// RemoveUnfinished removes what processes that were killed had begun to write. It is for one that is alone.
func (f *Directory) RemoveUnfinished() {
	begun, err := f.files.Glob(f.at(".out.") + "*")
	if err != nil {
		return // the pattern is ours; nothing else can be wrong with it
	}
	for _, path := range begun {
		_ = f.files.Remove(path) // what stays takes a little room and is never read
	}
}

// LoadDisabled reads who was out by hand. What can't be read whole counts for nothing.
func (f *Directory) LoadDisabled() ([]string, error) {
	out, err := f.read()
	var content *ContentError
	if err == nil || errors.As(err, &content) {
		return out, err
	}
	return nil, &DirectoryError{"read who is out by hand", err}
}

func (f *Directory) read() ([]string, error) {
	info, err := f.files.Lstat(f.at(".out"))
	if errors.Is(err, fs.ErrNotExist) {
		_, err := f.files.Lstat(f.path) // without the folder it is not known whether there is such a file
		return nil, err
	}
	if err != nil {
		return nil, err
	}
	if !info.Mode().IsRegular() {
		return nil, &ContentError{f.at(".out"), errors.New("is no file of ours")}
	}
	file, err := f.files.Open(f.at(".out"))
	if err != nil {
		return nil, err
	}
	text, err := io.ReadAll(io.LimitReader(file, longestFile+1))
	if err = errors.Join(err, file.Close()); err != nil {
		return nil, err
	}
	out, err := decodeKept(text)
	if err != nil {
		return nil, &ContentError{f.at(".out"), err}
	}
	return out, nil
}

func decodeKept(text []byte) ([]string, error) {
	if len(text) > longestFile {
		return nil, fmt.Errorf("more than %d bytes", longestFile)
	}
	var k kept
	if err := strictly(text, &k); err != nil {
		return nil, err
	}
	if k.Version != Version {
		return nil, fmt.Errorf("version %d, want %d", k.Version, Version)
	}
	for _, id := range k.Out {
		if err := sound(id); err != nil {
			return nil, err
		}
	}
	return k.Out, nil
}

// strictly decodes one object of which every name is known and nothing follows.
func strictly(text []byte, into any) error {
	d := json.NewDecoder(bytes.NewReader(text))
	d.DisallowUnknownFields()
	if err := d.Decode(into); err != nil {
		return err
	}
	if _, err := d.Token(); !errors.Is(err, io.EOF) {
		return errors.New("something follows its end")
	}
	return nil
}

func sound(name string) error {
	if name == "" || len(name) > routing.MaxIDLength {
		return fmt.Errorf("an id of %d bytes, 1 to %d may be", len(name), routing.MaxIDLength)
	}
	return nil
}
