package handover

import (
	"errors"
	"fmt"
	"io/fs"
	"os"
	"reflect"
	"syscall"
	"testing"
)

// faulty is the system's files, of which one step fails, or all from that step on, as after a kill.
type faulty struct {
	systemFiles
	step   string
	err    error
	killed bool // nothing that comes after the step is done either
}

func (f *faulty) fails(step string) bool {
	if step != f.step {
		return f.killed && f.step == ""
	}
	if f.killed {
		f.step = ""
	}
	return true
}

func (f *faulty) Create(path string) (writtenFile, error) {
	if f.fails("create") {
		return nil, f.err
	}
	file, err := f.systemFiles.Create(path)
	return &faultyFile{file, f}, err
}

func (f *faulty) Rename(from, to string) error {
	if f.fails("rename") {
		return f.err
	}
	return f.systemFiles.Rename(from, to)
}

func (f *faulty) Remove(path string) error {
	if f.fails("remove") {
		return f.err
	}
	return f.systemFiles.Remove(path)
}

func (f *faulty) SyncFolder(path string) error {
	if f.fails("sync folder") {
		return f.err
	}
	return f.systemFiles.SyncFolder(path)
}

func (f *faulty) Lstat(path string) (fs.FileInfo, error) {
	if f.fails("look") {
		return nil, f.err
	}
	return f.systemFiles.Lstat(path)
}

type faultyFile struct {
	writtenFile
	f *faulty
}

func (f *faultyFile) Write(text []byte) (int, error) {
	if f.f.fails("write") {
		n, _ := f.writtenFile.Write(text[:len(text)/2])
		return n, f.f.err
	}
	return f.writtenFile.Write(text)
}

func (f *faultyFile) Sync() error {
	if f.f.fails("sync") {
		return f.f.err
	}
	return f.writtenFile.Sync()
}

// Whichever step of a write fails, or is the last before a kill, what was kept before is read, or what was to be kept: never a part, and never
// an error. A step that failed is a typed error with advice, and the next write goes well.
func TestKeepWhileStepsFail(t *testing.T) {
	before, after := []string{"a"}, []string{"a", "b"}
	for _, step := range []string{"create", "write", "sync", "rename", "sync folder"} {
		for _, err := range []error{syscall.ENOSPC, syscall.EIO} {
			for _, killed := range []bool{false, true} {
				t.Run(fmt.Sprintf("%s, %v, killed %v", step, err, killed), func(t *testing.T) {
					dir := t.TempDir()
					folder, errOpen := Open(dir, "x")
					if errOpen != nil {
						t.Fatal(errOpen)
					}
					if err := folder.SaveDisabled(before); err != nil {
						t.Fatal(err)
					}
					folder.files = &faulty{step: step, err: err, killed: killed}
					var failed *DirectoryError
					if got := folder.SaveDisabled(after); !errors.As(got, &failed) || !errors.Is(got, err) || failed.Advice() == "" {
						t.Errorf("fails with %v", got)
					}
					folder.files = systemFiles{}
					want := before
					if step == "sync folder" {
						want = after // it stands in its place; that it lasts is not sure
					}
					if got, err := folder.LoadDisabled(); err != nil || !reflect.DeepEqual(got, want) {
						t.Errorf("kept are %q, %v; want %q", got, err, want)
					}
					if err := folder.SaveDisabled(after); err != nil {
						t.Error(err)
					}
					if got, err := folder.LoadDisabled(); err != nil || !reflect.DeepEqual(got, after) {
						t.Errorf("afterwards kept are %q, %v", got, err)
					}
					folder.RemoveUnfinished()
					if all, err := os.ReadDir(dir); err != nil || len(all) != 1 {
						t.Errorf("%d files are left, %v", len(all), err)
					}
				})
			}
		}
	}
	t.Run("a file cut at each byte", func(t *testing.T) {
		folder, err := Open(t.TempDir(), "x")
		if err != nil {
			t.Fatal(err)
		}
		if err := folder.SaveDisabled(after); err != nil {
			t.Fatal(err)
		}
		whole, err := os.ReadFile(folder.at(".out"))
		if err != nil {
			t.Fatal(err)
		}
		for n := range whole {
			if err := os.WriteFile(folder.at(".out"), whole[:n], 0o600); err != nil {
				t.Fatal(err)
			}
			var content *ContentError
			if got, err := folder.LoadDisabled(); got != nil || !errors.As(err, &content) {
				t.Errorf("cut after %d bytes it is read as %q, %v", n, got, err)
			}
		}
	})
	t.Run("it can't be read", func(t *testing.T) {
		folder, err := Open(t.TempDir(), "x")
		if err != nil {
			t.Fatal(err)
		}
		folder.files = &faulty{step: "look", err: syscall.EIO}
		var failed *DirectoryError
		if got, err := folder.LoadDisabled(); got != nil || !errors.As(err, &failed) || !errors.Is(err, syscall.EIO) {
			t.Errorf("read as %q, %v", got, err)
		}
	})
}
