package purity

import (
	"go/ast"
	"go/parser"
	"go/token"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

var bannedImports = []string{"net", "net/http", "os", "sync", "sync/atomic", "math/rand", "crypto/rand", "log", "context",
	"github.com/valyala/fasthttp", "google.golang.org/grpc", "github.com/panjf2000/ants/v2", "github.com/rs/zerolog"}

var bannedCalls = map[string][]string{
	"time": {"Now", "Sleep", "After", "Since", "Until", "Tick", "NewTimer", "NewTicker", "AfterFunc"},
	"rand": {"Int", "IntN", "Int64N", "Uint64", "Float64", "Perm", "Shuffle", "N", "ExpFloat64", "NormFloat64"},
}

func TestCoresArePure(t *testing.T) {
	for _, dir := range Cores {
		root := filepath.Join("..", "..", dir)
		if _, err := os.Stat(root); os.IsNotExist(err) {
			continue
		}
		files, err := filepath.Glob(filepath.Join(root, "*.go"))
		require.NoError(t, err)
		for _, file := range files {
			if strings.HasSuffix(file, "_test.go") {
				continue
			}
			checkFile(t, file)
		}
	}
}

func checkFile(t *testing.T, file string) {
	t.Helper()
	fset := token.NewFileSet()
	tree, err := parser.ParseFile(fset, file, nil, 0)
	require.NoError(t, err)
	for _, imp := range tree.Imports {
		path := strings.Trim(imp.Path.Value, `"`)
		for _, b := range bannedImports {
			if path == b {
				t.Errorf("%s imports %s: a core must be a pure state machine without I/O", fset.Position(imp.Pos()), path)
			}
		}
	}
	ast.Inspect(tree, func(n ast.Node) bool {
		switch n := n.(type) {
		case *ast.GoStmt:
			t.Errorf("%s starts a goroutine", fset.Position(n.Pos()))
		case *ast.SelectorExpr:
			checkSelector(t, fset, n)
		}
		return true
	})
}

// checkSelector reports a call to a banned function. An identifier with an Obj is declared
// in the file, so it isn't a package.
func checkSelector(t *testing.T, fset *token.FileSet, sel *ast.SelectorExpr) {
	t.Helper()
	pkg, ok := sel.X.(*ast.Ident)
	if !ok || pkg.Obj != nil {
		return
	}
	for _, name := range bannedCalls[pkg.Name] {
		if sel.Sel.Name == name {
			t.Errorf("%s uses %s.%s: a core must get time and randomness as input", fset.Position(sel.Pos()), pkg.Name, name)
		}
	}
}
