package store

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

const (
	formatVersion  = 1       // of the stored file; a file of any other version is rejected
	maxFileBytes   = 1 << 20 // size limit of the stored file
	disabledSuffix = ".out"
)

// disabledFile is the JSON content of the stored file.
type disabledFile struct {
	Version int      `json:"version"`
	Servers []string `json:"out_by_hand"`
}

// SaveDisabled atomically replaces the stored ids of the administratively disabled servers; they survive a kill and a
// power failure. If the file system fails the error is a *DirectoryError.
func (d *Directory) SaveDisabled(servers []string) error {
	text, err := json.Marshal(disabledFile{Version: formatVersion, Servers: servers})
	if err != nil {
		return fmt.Errorf("encode disabled servers: %w", err)
	}
	if len(text) > maxFileBytes {
		return fmt.Errorf("disabled servers take %d bytes, at most %d are allowed", len(text), maxFileBytes)
	}
	temporary := fmt.Sprintf("%s.%d", d.Path(disabledSuffix), os.Getpid())
	if err := d.replace(temporary, text); err != nil {
		_ = d.files.Remove(temporary) // it may not exist
		return err
	}
	return nil
}

// replace writes a temporary file and renames it. The file is synced to disk before the rename, so that the final name
// never refers to an incomplete file.
func (d *Directory) replace(temporary string, text []byte) error {
	file, err := d.files.Create(temporary)
	if err != nil {
		return &DirectoryError{Operation: "create a file for the disabled servers", Err: err}
	}
	_, err = file.Write(text)
	if err == nil {
		err = ignoreUnsupportedSync(file.Sync())
	}
	if err = errors.Join(err, file.Close()); err != nil {
		return &DirectoryError{Operation: "write the disabled servers", Err: err}
	}
	if err := d.files.Rename(temporary, d.Path(disabledSuffix)); err != nil {
		return &DirectoryError{Operation: "replace the file of disabled servers", Err: err}
	}
	if err := d.files.SyncDirectory(d.root); err != nil {
		return &DirectoryError{Operation: "sync the directory", Err: err}
	}
	return nil
}

// RemoveTemporaryFiles removes the temporary files of processes that were killed during a write. No other process of
// this balancer may be running.
func (d *Directory) RemoveTemporaryFiles() {
	unfinished, err := d.files.Glob(d.Path(disabledSuffix+".") + "*")
	if err != nil {
		return // the only possible error is a malformed pattern, due to the path; the files then remain
	}
	for _, path := range unfinished {
		_ = d.files.Remove(path) // a file that remains takes little space and is never read
	}
}

// LoadDisabled reads the stored ids of the administratively disabled servers; none if there is no file. If the content
// is invalid no part of it is used, and the error is a *ContentError; if the directory can't be read it is a
// *DirectoryError.
func (d *Directory) LoadDisabled() ([]string, error) {
	servers, err := d.readDisabled()
	var invalid *ContentError
	if err == nil || errors.As(err, &invalid) {
		return servers, err
	}
	return nil, &DirectoryError{Operation: "read the disabled servers", Err: err}
}

func (d *Directory) readDisabled() ([]string, error) {
	path := d.Path(disabledSuffix)
	info, err := d.files.Lstat(path)
	if errors.Is(err, fs.ErrNotExist) {
		_, err := d.files.Lstat(d.root) // if the directory is missing it is unknown whether there is a file
		return nil, err
	}
	if err != nil {
		return nil, err
	}
	if !info.Mode().IsRegular() {
		return nil, &ContentError{Path: path, Err: errors.New("is not a regular file")}
	}
	file, err := d.files.Open(path)
	if err != nil {
		return nil, err
	}
	text, err := io.ReadAll(io.LimitReader(file, maxFileBytes+1)) // one more byte, to detect a file that is too long
	if err = errors.Join(err, file.Close()); err != nil {
		return nil, err
	}
	servers, err := decodeDisabled(text)
	if err != nil {
		return nil, &ContentError{Path: path, Err: err}
	}
	return servers, nil
}

func decodeDisabled(text []byte) ([]string, error) {
	if len(text) > maxFileBytes {
		return nil, fmt.Errorf("longer than %d bytes", maxFileBytes)
	}
	var stored disabledFile
	if err := decodeStrictly(text, &stored); err != nil {
		return nil, err
	}
	if stored.Version != formatVersion {
		return nil, fmt.Errorf("version %d, want %d", stored.Version, formatVersion)
	}
	for _, id := range stored.Servers {
		if err := ValidateServerID(id); err != nil {
			return nil, err
		}
	}
	return stored.Servers, nil
}

// decodeStrictly decodes exactly one JSON object: unknown keys and trailing data are errors.
func decodeStrictly(text []byte, into any) error {
	decoder := json.NewDecoder(bytes.NewReader(text))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(into); err != nil {
		return fmt.Errorf("decode: %w", err)
	}
	if _, err := decoder.Token(); !errors.Is(err, io.EOF) {
		return errors.New("data after the JSON object")
	}
	return nil
}

// ValidateServerID returns an error if a server id, received from another process or read from disk, is empty or too
// long.
func ValidateServerID(id string) error {
	if id == "" || len(id) > routing.MaxServerNameLength {
		return fmt.Errorf("server id has %d bytes, want 1 to %d", len(id), routing.MaxServerNameLength)
	}
	return nil
}
