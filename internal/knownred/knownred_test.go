package knownred

import (
	"bytes"
	"errors"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"
)

func TestReadList(t *testing.T) {
	const a, b, c, d = "TestA — cause — 1\n", "TestB — cause — 2\n", "TestC — cause — 3\n", "TestD — cause — 4\n"
	for _, test := range []struct {
		name, text string
		line       int // of the LineError; 0: no error
	}{
		{"an empty list", "", 0},
		{"three entries", a + b + c, 0},
		{"a fourth entry", a + b + c + d, 4},
		{"a test listed twice", a + a, 2},
		{"no issue", a + "TestB — cause\n", 2},
		{"an empty cause", "TestA —   — 1\n", 1},
		{"a subtest", "TestA/b — cause — 1\n", 1},
		{"not a test name", "Flaky — cause — 1\n", 1},
		{"an empty line", a + "\n", 2},
	} {
		t.Run(test.name, func(t *testing.T) {
			_, err := ReadList(strings.NewReader(test.text))
			var lineError *LineError
			if errors.As(err, &lineError) != (test.line > 0) || lineError != nil && lineError.Line != test.line {
				t.Errorf("got %v, want an error in line %d", err, test.line)
			}
		})
	}
}

// Each case runs go test on a generated module.
func TestJudge(t *testing.T) {
	const green = "func TestGreen(t *testing.T) {}\n"
	const red = `func TestRed(t *testing.T) { t.Run("x", func(t *testing.T) { t.Error("seen") }) }` + "\n"
	const list = "TestRed — a cause — 7\n"
	for _, test := range []struct{ name, code, list, want string }{
		{"all pass", green, "", ""},
		{"a listed one fails and is shown", green + red, list, ""},
		{"an unlisted one fails", green + red, "", "x TestRed fails"},
		{"an unlisted one fails beside a listed one", green + red + "func TestOther(t *testing.T) { t.Error() }\n", list, "x TestOther fails"},
		{"a listed one passes", strings.Replace(green, "Green", "Red", 1), list, "TestRed is listed as a known failure but passes"},
		{"a listed one is skipped", "func TestRed(t *testing.T) { t.Skip() }\n", list, "was skipped"},
		{"no test has a listed name", green, list, "no test has that name"},
		{"a listed one panics before the others ran", "func TestRed(t *testing.T) { panic(1) }\n" + green, list, "package x fails although none of its unlisted tests does"},
		{"the package does not build", "func TestRed(t *testing.T) { none() }\n", list, "package x fails although none of its unlisted tests does"},
	} {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			dir := t.TempDir()
			for name, text := range map[string]string{
				"go.mod":    "module x\n",
				"x_test.go": "package x\n\nimport \"testing\"\n\n" + test.code,
			} {
				if err := os.WriteFile(filepath.Join(dir, name), []byte(text), 0o600); err != nil {
					t.Fatal(err)
				}
			}
			command := exec.CommandContext(t.Context(), "go", "test", "-count=1", "-json", "./...")
			command.Dir = dir
			output, _ := command.Output() // go test fails if a test does
			entries, err := ReadList(strings.NewReader(test.list))
			if err != nil {
				t.Fatal(err)
			}
			var show strings.Builder
			err = Evaluate(bytes.NewReader(output), entries, &show)
			if test.want != "" {
				if !errors.Is(err, ErrFailed) || !strings.Contains(err.Error(), test.want) {
					t.Errorf("got %v, want %q\n%s", err, test.want, show.String())
				}
				return
			}
			if err != nil {
				t.Errorf("got %v, want no error\n%s", err, show.String())
			}
			if test.list == "" {
				return
			}
			for _, want := range []string{"seen", "known failure, ignored: TestRed — a cause — 7"} {
				if !strings.Contains(show.String(), want) {
					t.Errorf("%q is missing from the output:\n%s", want, show.String())
				}
			}
		})
	}
}
