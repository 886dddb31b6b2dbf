package compatibility

import (
	"fmt"
	"go/ast"
	"go/parser"
	"go/token"
	"io/fs"
	"maps"
	"path/filepath"
	"slices"
	"strings"
	"testing"
)

// Keys of JSON stand in tags all over the module, many of reports that no other test reads. Wherever the structs
// move, each key stays, as often as it was; new ones may come.
func TestTagsStay(t *testing.T) {
	tags := countTags(t)
	var all strings.Builder
	for _, tag := range slices.Sorted(maps.Keys(tags)) {
		fmt.Fprintf(&all, "%d %s\n", tags[tag], tag)
	}
	if *update {
		golden(t, "keys/tags.txt", all.String())
		return
	}
	for line := range strings.Lines(readFile(t, "testdata/keys/tags.txt")) {
		times, tag, _ := strings.Cut(strings.TrimSuffix(line, "\n"), " ")
		if want := number(t, times); tags[tag] < want {
			t.Errorf("%s: %d times, was there %d times", tag, tags[tag], want)
		}
	}
}

// countTags counts each struct tag in all of the module's files but tests.
func countTags(t *testing.T) map[string]int {
	t.Helper()
	tags := map[string]int{}
	err := filepath.WalkDir(moduleRoot, func(path string, entry fs.DirEntry, err error) error {
		switch {
		case err != nil:
			return err
		case entry.IsDir() && (entry.Name() == "testdata" || entry.Name() != filepath.Base(moduleRoot) && strings.HasPrefix(entry.Name(), ".")):
			return filepath.SkipDir
		case entry.IsDir() || !strings.HasSuffix(path, ".go") || strings.HasSuffix(path, "_test.go"):
			return nil
		}
		file, err := parser.ParseFile(token.NewFileSet(), path, nil, parser.SkipObjectResolution)
		if err != nil {
			return err
		}
		ast.Inspect(file, func(n ast.Node) bool {
			if field, ok := n.(*ast.Field); ok && field.Tag != nil {
				tags[field.Tag.Value]++
			}
			return true
		})
		return nil
	})
	if err != nil {
		t.Fatal(err)
	}
	return tags
}
