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

// faultyFiles are the system's files, of which one step fails, or all from that step on, as after a kill.
type faultyFiles struct {
	systemFiles
	step   string
	err    error
	killed bool // nothing that comes after the step is done either
}

func (f *faultyFiles) fails(step string) bool {
	if step != f.step {
		return f.killed && f.step == ""
	}
	if f.killed {
		f.step = ""
	}
	return true
}

func (f *faultyFiles) Create(path string) (writableFile, error) {
	if f.fails("create") {
		return nil, f.err
	}
	file, err := f.systemFiles.Create(path)
	return &faultyFile{file, f}, err
}

func (f *faultyFiles) Rename(from, to string) error {
	if f.fails("rename") {
		return f.err
	}
	return f.systemFiles.Rename(from, to)
}

func (f *faultyFiles) Remove(path string) error {
	if f.fails("remove") {
		return f.err
	}
	return f.systemFiles.Remove(path)
}

func (f *faultyFiles) SyncDirectory(path string) error {
	if f.fails("sync directory") {
		return f.err
	}
	return f.systemFiles.SyncDirectory(path)
}

func (f *faultyFiles) Lstat(path string) (fs.FileInfo, error) {
	if f.fails("lstat") {
		return nil, f.err
	}
	return f.systemFiles.Lstat(path)
}

type faultyFile struct {
	writableFile
	files *faultyFiles
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

func TestOpenWithoutName(t *testing.T) {
	if _, err := Open("", "x"); err == nil {
		t.Error("a directory without a name is opened")
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
	missing := openDirectory(t, filepath.Join(t.TempDir(), "none")) // it may be created later
	_, errLoad := missing.LoadDisabled()
	for what, err := range map[string]error{"save": missing.SaveDisabled(nil), "load": errLoad} {
		if !errors.Is(err, fs.ErrNotExist) {
			t.Errorf("%s: %v", what, err)
		}
	}
}

func TestLinkInPlaceOfTheFile(t *testing.T) {
	directory := openDirectory(t, t.TempDir())
	if err := os.Symlink("/etc/hostname", directory.Path(disabledSuffix)); err != nil {
		t.Fatal(err)
	}
	var invalid *ContentError
	if got, err := directory.LoadDisabled(); got != nil || !errors.As(err, &invalid) {
		t.Errorf("loaded %q, %v", got, err)
	}
}

// Whichever step of a write fails, or is the last before a kill, the content before or the content after is
// loaded: never a part, and never an error. A step that failed is a typed error with advice, and the next write
// succeeds.
func TestFaultsWhileWriting(t *testing.T) {
	for _, step := range []string{"create", "write", "sync", "rename", "sync directory"} {
		for _, err := range []error{syscall.ENOSPC, syscall.EIO} {
			for _, killed := range []bool{false, true} {
				t.Run(fmt.Sprintf("%s, %v, killed %v", step, err, killed), func(t *testing.T) {
					testFaultWhileWriting(t, &faultyFiles{step: step, err: err, killed: killed})
				})
			}
		}
	}
}

func testFaultWhileWriting(t *testing.T, files *faultyFiles) {
	before, after := []string{"a"}, []string{"a", "b"}
	step, cause := files.step, files.err
	root := t.TempDir()
	directory := openDirectory(t, root)
	save(t, directory, before)
	directory.files = files
	var failed *DirectoryError
	if err := directory.SaveDisabled(after); !errors.As(err, &failed) || !errors.Is(err, cause) || failed.Advice() == "" {
		t.Errorf("fails with %v", err)
	}
	directory.files = systemFiles{}
	want := before
	if step == "sync directory" {
		want = after // the file was replaced; that it survives a loss of power is not certain
	}
	wantDisabled(t, directory, want)
	save(t, directory, after)
	wantDisabled(t, directory, after)
	directory.RemoveUnfinished()
	if files, err := os.ReadDir(root); err != nil || len(files) != 1 {
		t.Errorf("%d files are left, %v", len(files), err)
	}
}

func TestFileCutAtEachByte(t *testing.T) {
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
			t.Errorf("cut after %d bytes %q is loaded, %v", n, got, err)
		}
	}
}

func TestUnreadableFile(t *testing.T) {
	directory := openDirectory(t, t.TempDir())
	directory.files = &faultyFiles{step: "lstat", err: syscall.EIO}
	var failed *DirectoryError
	if got, err := directory.LoadDisabled(); got != nil || !errors.As(err, &failed) || !errors.Is(err, syscall.EIO) {
		t.Errorf("loaded %q, %v", got, err)
	}
}
