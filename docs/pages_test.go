// Package docs_test checks that the names cited in the pages exist in the code.
package docs_test

import (
	"go/ast"
	"go/parser"
	"go/token"
	"io/fs"
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"
)

// citingPages are the pages that cite names from the code.
var citingPages = []string{
	"ARCHITECTURE.md", "assumptions.md", "connections.md", "design.md", "locality.md", "membership.md", "operations.md",
	"races.md", "scale.md", "terms-audit.md", "testbed.md",
}

// ignoredQualifiers are qualifiers of names that the module does not declare: packages of the standard library and
// tables of settings.
var ignoredQualifiers = map[string]bool{
	"net": true, "signal": true, "textproto": true,
	"limits": true, "reporting": true, "peers": true, "explain": true, "goal": true, "settings": true, "x": true,
}

var (
	codeSpan      = regexp.MustCompile("`([^`\n]+)`")
	qualifiedName = regexp.MustCompile(`^[A-Za-z]\w*(\.[A-Za-z]\w*)+(\(\))?$`)
	testName      = regexp.MustCompile(`^Test[A-Z]\w*$`)
	fileName      = regexp.MustCompile(`\.(go|json|md|mod|out|sock|toml|txt|yml)$`)
)

// declarations is the set of names that the code declares, with and without the name of their package. Fields and
// methods are qualified by their type, and methods are also in the set without it.
type declarations map[string]bool

func (d declarations) add(packageName, name string) {
	d[packageName] = true
	d[name] = true
	d[packageName+"."+name] = true
}

func (d declarations) addFile(file *ast.File) {
	packageName := file.Name.Name
	for _, declaration := range file.Decls {
		switch declared := declaration.(type) {
		case *ast.FuncDecl:
			if declared.Recv != nil {
				d.add(packageName, receiverType(declared)+"."+declared.Name.Name)
			}
			d.add(packageName, declared.Name.Name)
		case *ast.GenDecl:
			for _, spec := range declared.Specs {
				d.addSpec(packageName, spec)
			}
		}
	}
}

func (d declarations) addSpec(packageName string, spec ast.Spec) {
	switch declared := spec.(type) {
	case *ast.ValueSpec:
		for _, name := range declared.Names {
			d.add(packageName, name.Name)
		}
	case *ast.TypeSpec:
		d.add(packageName, declared.Name.Name)
		ast.Inspect(declared.Type, func(node ast.Node) bool {
			if field, ok := node.(*ast.Field); ok {
				for _, name := range field.Names {
					d.add(packageName, declared.Name.Name+"."+name.Name)
				}
			}
			return true
		})
	}
}

func receiverType(method *ast.FuncDecl) string {
	receiver := method.Recv.List[0].Type
	if pointer, ok := receiver.(*ast.StarExpr); ok {
		receiver = pointer.X
	}
	if name, ok := receiver.(*ast.Ident); ok {
		return name.Name
	}
	return ""
}

// readDeclarations reads all Go files of the repository.
func readDeclarations(t *testing.T) declarations {
	t.Helper()
	declared := declarations{}
	err := filepath.WalkDir("..", func(path string, _ fs.DirEntry, err error) error {
		if err != nil || filepath.Ext(path) != ".go" {
			return err
		}
		file, err := parser.ParseFile(token.NewFileSet(), path, nil, parser.SkipObjectResolution)
		if err != nil {
			return err
		}
		declared.addFile(file)
		return nil
	})
	if err != nil {
		t.Fatal(err)
	}
	return declared
}

func TestCitedNamesExist(t *testing.T) {
	declared := readDeclarations(t)
	for _, page := range citingPages {
		text, err := os.ReadFile(page)
		if err != nil {
			t.Fatal(err)
		}
		for _, quoted := range codeSpan.FindAllStringSubmatch(string(text), -1) {
			name, _, _ := strings.Cut(strings.TrimSuffix(quoted[1], "()"), "/") // without parentheses or the name of a subtest
			qualifier, _, isQualified := strings.Cut(name, ".")
			switch {
			case !testName.MatchString(name) && !qualifiedName.MatchString(quoted[1]):
			case isQualified && (ignoredQualifiers[qualifier] || fileName.MatchString(name)):
			case !declared[name]:
				t.Errorf("%s cites `%s`, which the code does not declare", page, quoted[1])
			}
		}
	}
}
