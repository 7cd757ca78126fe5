package internal_test

import (
	"go/parser"
	"go/token"
	"io/fs"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"testing"
)

const module = "github.com/samphirerail/samphirerail/"

// layers lists the layers from the top down. A layer imports only itself and the layers
// below it.
var layers = []string{"transport", "protocol", "coordination", "state"}

// impure lists packages that the state layer must not import, because it does no I/O,
// reads no clock and starts no goroutine.
var impure = []string{"net", "net/http", "os", "sync", "sync/atomic", "context", "net/rpc"}

func TestLayersImportDownward(t *testing.T) {
	for i, layer := range layers {
		for _, file := range sources(t, layer) {
			for _, path := range imports(t, file) {
				if forbidden(path, i) {
					t.Errorf("%s imports %s", file, path)
				}
			}
		}
	}
}

func TestStateIsPure(t *testing.T) {
	for _, file := range sources(t, "state") {
		for _, path := range imports(t, file) {
			if slices.Contains(impure, path) || strings.HasPrefix(path, module+"platform") || strings.HasPrefix(path, module+"standin") {
				t.Errorf("%s imports %s", file, path)
			}
		}
	}
}

// wireNames are field names and paths of the users' wire protocol. Only the adapter in
// platform/ may contain them.
var wireNames = []string{`"run_id"`, `"last_seen"`, `"fencing_token"`, `"api_keys"`, `"path_prefix"`, `"task_spec"`, "/-/hold", "/-/run-start", "/-/run-stop", "/-/log-", "/-/advise"}

func TestWireNamesOnlyInAdapter(t *testing.T) {
	err := filepath.WalkDir("..", func(path string, d fs.DirEntry, err error) error {
		if err != nil || d.IsDir() || !strings.HasSuffix(path, ".go") {
			return err
		}
		rest, _ := filepath.Rel("..", path)
		if strings.HasPrefix(rest, "platform"+string(filepath.Separator)) || rest == filepath.Join("internal", "layers_test.go") {
			return nil
		}
		text, err := os.ReadFile(path)
		for _, name := range wireNames {
			if strings.Contains(string(text), name) {
				t.Errorf("%s contains %s, which belongs in platform/", rest, name)
			}
		}
		return err
	})
	if err != nil {
		t.Fatal(err)
	}
}

// forbidden reports whether a file of a layer must not import a path.
func forbidden(path string, layer int) bool {
	rest, ok := strings.CutPrefix(path, module+"internal/")
	if !ok {
		return false
	}
	top, _, _ := strings.Cut(rest, "/")
	target := slices.Index(layers, top)
	return target < layer
}

// sources returns the Go files of a layer, without its tests.
func sources(t *testing.T, layer string) []string {
	t.Helper()
	var files []string
	err := filepath.WalkDir(layer, func(path string, d fs.DirEntry, err error) error {
		if err == nil && strings.HasSuffix(path, ".go") && !strings.HasSuffix(path, "_test.go") {
			files = append(files, path)
		}
		return err
	})
	if err != nil || len(files) == 0 {
		t.Fatalf("layer %s: %d files, error %v", layer, len(files), err)
	}
	return files
}

func imports(t *testing.T, file string) []string {
	t.Helper()
	parsed, err := parser.ParseFile(token.NewFileSet(), file, nil, parser.ImportsOnly)
	if err != nil {
		t.Fatal(err)
	}
	var paths []string
	for _, spec := range parsed.Imports {
		paths = append(paths, strings.Trim(spec.Path.Value, `"`))
	}
	return paths
}
