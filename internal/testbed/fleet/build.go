package fleet

import (
	"archive/tar"
	"context"
	"errors"
	"fmt"
	"io"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
)

// Build builds the daemon of an earlier revision of the repository that holds dir, aside, and keeps it in the user's cache: an old
// build is to be beside the new one.
func Build(ctx context.Context, dir, revision string) (program string, err error) {
	fail := func(what string, err error) error {
		return &Error{
			Where:  "old build " + revision,
			What:   what,
			Remedy: "check that git knows the revision here, or name a program with --old",
			Err:    err,
		}
	}
	name, err := exec.CommandContext(ctx, "git", "-C", dir, "rev-parse", "--verify", "--quiet", revision+"^{commit}").Output()
	if err != nil {
		return "", fail("git does not know it", err)
	}
	commit := strings.TrimSpace(string(name))
	cache, err := os.UserCacheDir()
	if err != nil {
		cache = os.TempDir()
	}
	at := filepath.Join(cache, "yardwinch-builds", commit)
	program = filepath.Join(at, "yardwinch")
	if _, err := os.Stat(program); err == nil {
		return program, nil
	}
	top, err := exec.CommandContext(ctx, "git", "-C", dir, "rev-parse", "--show-toplevel").Output()
	if err != nil {
		return "", fail("no repository", err)
	}
	if err := os.MkdirAll(at, 0o755); err != nil {
		return "", fail("no place for it", err)
	}
	src, err := os.MkdirTemp(at, "src")
	if err != nil {
		return "", fail("no place for it", err)
	}
	defer func() { _ = os.RemoveAll(src) }() // what is left of it lies in the directory of builds, and harms nobody
	archive := exec.CommandContext(ctx, "git", "-C", strings.TrimSpace(string(top)), "archive", "--format=tar", commit, ":(exclude)journal")
	out, err := archive.StdoutPipe()
	if err == nil {
		err = archive.Start()
	}
	if err != nil {
		return "", fail("git gives no archive", err)
	}
	if err := errors.Join(unpack(out, src), archive.Wait()); err != nil {
		return "", fail("unpacking", err)
	}
	made := program + fmt.Sprintf(".%d", os.Getpid())
	build := exec.CommandContext(ctx, "go", "build", "-ldflags=-linkmode=external", "-o", made, "./cmd/yardwinch")
	build.Dir, build.Env = src, append(os.Environ(), "CGO_ENABLED=1")
	if text, err := build.CombinedOutput(); err != nil {
		return "", fail("building: "+strings.TrimSpace(string(text)), err)
	}
	return program, os.Rename(made, program)
}

func unpack(r io.Reader, to string) error {
	t := tar.NewReader(r)
	for {
		h, err := t.Next()
		if errors.Is(err, io.EOF) {
			_, err = io.Copy(io.Discard, r) // what pads the archive, or git would wait
			return err
		}
		if err != nil {
			return err
		}
		if !filepath.IsLocal(h.Name) {
			continue
		}
		at := filepath.Join(to, h.Name)
		switch h.Typeflag {
		case tar.TypeDir:
			err = os.MkdirAll(at, 0o755)
		case tar.TypeReg:
			var f *os.File
			if err = os.MkdirAll(filepath.Dir(at), 0o755); err != nil {
				return err
			}
			if f, err = os.OpenFile(at, os.O_CREATE|os.O_WRONLY|os.O_TRUNC, 0o644); err == nil {
				_, err = io.Copy(f, t)
				err = errors.Join(err, f.Close())
			}
		}
		if err != nil {
			return err
		}
	}
}
