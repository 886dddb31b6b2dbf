package store

import (
	"errors"
	"fmt"
	"io/fs"
	"os"
	"path/filepath"
	"reflect"
	"syscall"
	"testing"
)

// faultyFileSystem is a file system in which one step fails, or all steps from that one on, as after a kill.
type faultyFileSystem struct {
	osFileSystem
	step   string // the step that fails; if killed is set it becomes empty when that step is reached
	err    error
	killed bool // all later steps fail too
}

func (f *faultyFileSystem) fails(step string) bool {
	if step != f.step {
		return f.killed && f.step == ""
	}
	if f.killed {
		f.step = ""
	}
	return true
}

func (f *faultyFileSystem) Create(path string) (writableFile, error) {
	if f.fails("create") {
		return nil, f.err
	}
	file, err := f.osFileSystem.Create(path)
	return &faultyFile{file, f}, err
}

func (f *faultyFileSystem) Rename(from, to string) error {
	if f.fails("rename") {
		return f.err
	}
	return f.osFileSystem.Rename(from, to)
}

func (f *faultyFileSystem) Remove(path string) error {
	if f.fails("remove") {
		return f.err
	}
	return f.osFileSystem.Remove(path)
}

func (f *faultyFileSystem) SyncDirectory(path string) error {
	if f.fails("sync directory") {
		return f.err
	}
	return f.osFileSystem.SyncDirectory(path)
}

func (f *faultyFileSystem) Lstat(path string) (fs.FileInfo, error) {
	if f.fails("lstat") {
		return nil, f.err
	}
	return f.osFileSystem.Lstat(path)
}

type faultyFile struct {
	writableFile
	files *faultyFileSystem
}

func (f *faultyFile) Write(text []byte) (int, error) {
	if f.files.fails("write") {
		n, _ := f.writableFile.Write(text[:len(text)/2])
		return n, f.files.err
	}
	return f.writableFile.Write(text)
}

func (f *faultyFile) Sync() error {
	if f.files.fails("sync") {
		return f.files.err
	}
	return f.writableFile.Sync()
}

func openDirectory(t *testing.T, root string) *Directory {
	t.Helper()
	directory, err := Open(root, "127.0.0.1:8080")
	if err != nil {
		t.Fatal(err)
	}
	return directory
}

func save(t *testing.T, directory *Directory, servers []string) {
	t.Helper()
	if err := directory.SaveDisabled(servers); err != nil {
		t.Fatal(err)
	}
}

func wantDisabled(t *testing.T, directory *Directory, want []string) {
	t.Helper()
	if got, err := directory.LoadDisabled(); err != nil || !reflect.DeepEqual(got, want) {
		t.Errorf("loaded %q, %v; want %q", got, err, want)
	}
}

func TestOpenWithEmptyPath(t *testing.T) {
	if _, err := Open("", "x"); err == nil {
		t.Error("an empty path is accepted")
	}
}

func TestDisabledServersAreStored(t *testing.T) {
	root := t.TempDir()
	for _, want := range [][]string{{"a", "b/c \""}, nil} {
		save(t, openDirectory(t, root), want)
		wantDisabled(t, openDirectory(t, root), want)
	}
}

func TestMissingDirectory(t *testing.T) {
	missing := openDirectory(t, filepath.Join(t.TempDir(), "none")) // the directory may be created later
	_, errLoad := missing.LoadDisabled()
	for what, err := range map[string]error{"save": missing.SaveDisabled(nil), "load": errLoad} {
		if !errors.Is(err, fs.ErrNotExist) {
			t.Errorf("%s: error %v, want fs.ErrNotExist", what, err)
		}
	}
}

func TestSymlinkInPlaceOfFile(t *testing.T) {
	directory := openDirectory(t, t.TempDir())
	if err := os.Symlink("/etc/hostname", directory.Path(disabledSuffix)); err != nil {
		t.Fatal(err)
	}
	var invalid *ContentError
	if got, err := directory.LoadDisabled(); got != nil || !errors.As(err, &invalid) {
		t.Errorf("loaded %q, error %v; want nothing, and a ContentError", got, err)
	}
}

// Whichever step of a write fails, or is the last one before a kill, either the previous or the new content is loaded,
// never an incomplete file or an error. A failed step gives a typed error with advice, and the next write succeeds.
func TestFaultsWhileWriting(t *testing.T) {
	for _, step := range []string{"create", "write", "sync", "rename", "sync directory"} {
		for _, err := range []error{syscall.ENOSPC, syscall.EIO} {
			for _, killed := range []bool{false, true} {
				t.Run(fmt.Sprintf("%s, %v, killed %v", step, err, killed), func(t *testing.T) {
					testFaultWhileWriting(t, &faultyFileSystem{step: step, err: err, killed: killed})
				})
			}
		}
	}
}

func testFaultWhileWriting(t *testing.T, files *faultyFileSystem) {
	before, after := []string{"a"}, []string{"a", "b"}
	step, cause := files.step, files.err
	root := t.TempDir()
	directory := openDirectory(t, root)
	save(t, directory, before)
	directory.files = files
	var failed *DirectoryError
	if err := directory.SaveDisabled(after); !errors.As(err, &failed) || !errors.Is(err, cause) || failed.Advice() == "" {
		t.Errorf("SaveDisabled returned %v, want a DirectoryError caused by %v, with advice", err, cause)
	}
	directory.files = osFileSystem{}
	want := before
	if step == "sync directory" {
		want = after // the file was replaced, but might not survive a power failure
	}
	wantDisabled(t, directory, want)
	save(t, directory, after)
	wantDisabled(t, directory, after)
	directory.RemoveTemporaryFiles()
	if files, err := os.ReadDir(root); err != nil || len(files) != 1 {
		t.Errorf("%d files remain, error %v; want one file", len(files), err)
	}
}

func TestTruncatedFile(t *testing.T) {
	directory := openDirectory(t, t.TempDir())
	save(t, directory, []string{"a", "b"})
	path := directory.Path(disabledSuffix)
	complete, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	for n := range complete {
		if err := os.WriteFile(path, complete[:n], 0o600); err != nil {
			t.Fatal(err)
		}
		var invalid *ContentError
		if got, err := directory.LoadDisabled(); got != nil || !errors.As(err, &invalid) {
			t.Errorf("truncated to %d bytes: loaded %q, error %v; want nothing, and a ContentError", n, got, err)
		}
	}
}

func TestUnreadableFile(t *testing.T) {
	directory := openDirectory(t, t.TempDir())
	directory.files = &faultyFileSystem{step: "lstat", err: syscall.EIO}
	var failed *DirectoryError
	if got, err := directory.LoadDisabled(); got != nil || !errors.As(err, &failed) || !errors.Is(err, syscall.EIO) {
		t.Errorf("loaded %q, error %v; want nothing, and a DirectoryError caused by EIO", got, err)
	}
}
