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

// Struct tags throughout the module define JSON keys, many of them in reports that no other test reads. Structs may move,
// but no tag may occur less often than recorded. New tags are allowed.
func TestStructTagsPreserved(t *testing.T) {
	tags := countTags(t)
	var output strings.Builder
	for _, tag := range slices.Sorted(maps.Keys(tags)) {
		fmt.Fprintf(&output, "%d %s\n", tags[tag], tag)
	}
	if *update {
		compareGolden(t, "keys/tags.txt", output.String())
		return
	}
	for line := range strings.Lines(readFile(t, "testdata/keys/tags.txt")) {
		times, tag, _ := strings.Cut(strings.TrimSuffix(line, "\n"), " ")
		if want := parseNumber(t, times); tags[tag] < want {
			t.Errorf("struct tag %s occurs %d times, want at least %d", tag, tags[tag], want)
		}
	}
}

// countTags counts the occurrences of each struct tag in the module's files except tests.
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
