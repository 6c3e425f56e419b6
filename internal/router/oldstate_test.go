package router

import (
	"go/ast"
	"go/parser"
	"go/token"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/catkinstair/catkinstair/internal/basis"
)

// forOperators are types with fields on the wire that no VM reads.
var forOperators = map[string]bool{"router.vmBuild": true}

// messageRows returns the rows of the table of messages in docs/design/old-state.md by message.
func messageRows(t *testing.T) map[string][]string {
	text, err := os.ReadFile("../../docs/design/old-state.md")
	require.NoError(t, err)
	_, table, _ := strings.Cut(string(text), "## Messages")
	rows := map[string][]string{}
	for line := range strings.Lines(table) {
		cells := strings.Split(strings.Trim(strings.TrimSpace(line), "|"), "|")
		for i := range cells {
			cells[i] = strings.TrimSpace(cells[i])
		}
		const columns = 5 // message, rests on, receiver older, newer, another era
		if len(cells) != columns || !strings.HasPrefix(cells[0], "`") {
			continue
		}
		name := strings.Trim(cells[0], "`")
		require.NotContains(t, rows, name, "the table has a message twice")
		require.NotEmpty(t, cells[1], "%s: what it rests on, or why it rests on nothing", name)
		rows[name] = cells[1:]
	}
	return rows
}

// parsed returns the files of a package without its tests.
func parsed(t *testing.T, dir string) (files []*ast.File) {
	names, err := filepath.Glob(filepath.Join(dir, "*.go"))
	require.NoError(t, err)
	for _, name := range names {
		if strings.HasSuffix(name, "_test.go") {
			continue
		}
		f, err := parser.ParseFile(token.NewFileSet(), name, nil, 0)
		require.NoError(t, err)
		files = append(files, f)
	}
	return files
}

// taggedTypes returns the struct types of a package that have keys on the wire.
func taggedTypes(t *testing.T, dir string) (names []string) {
	for _, f := range parsed(t, dir) {
		ast.Inspect(f, func(n ast.Node) bool {
			spec, ok := n.(*ast.TypeSpec)
			if !ok {
				return true
			}
			if s, ok := spec.Type.(*ast.StructType); ok && isTagged(s) {
				names = append(names, f.Name.Name+"."+spec.Name.Name)
			}
			return true
		})
	}
	return names
}

func isTagged(s *ast.StructType) bool {
	for _, field := range s.Fields.List {
		if field.Tag != nil && (strings.Contains(field.Tag.Value, "cbor:") || strings.Contains(field.Tag.Value, "json:")) {
			return true
		}
	}
	return false
}

// textConstants returns the text constants of a package by name. A sum has the value of its parts.
func textConstants(t *testing.T, dir string) map[string]string {
	out := map[string]string{}
	var value func(ast.Expr) string
	value = func(e ast.Expr) string {
		switch e := e.(type) {
		case *ast.BasicLit:
			text, _ := strconv.Unquote(e.Value) // "" for a number
			return text
		case *ast.Ident:
			return out[e.Name]
		case *ast.BinaryExpr:
			return value(e.X) + value(e.Y)
		}
		return ""
	}
	for _, f := range parsed(t, dir) {
		ast.Inspect(f, func(n ast.Node) bool {
			if spec, ok := n.(*ast.ValueSpec); ok {
				for i, name := range spec.Names {
					if i < len(spec.Values) {
						out[name.Name] = value(spec.Values[i])
					}
				}
			}
			return true
		})
	}
	return out
}

// peerPaths returns the paths that handlePeerRequest serves.
func peerPaths(t *testing.T) (paths []string) {
	constants := textConstants(t, ".")
	for _, f := range parsed(t, ".") {
		for _, decl := range f.Decls {
			fn, ok := decl.(*ast.FuncDecl)
			if !ok || fn.Name.Name != "handlePeerRequest" {
				continue
			}
			ast.Inspect(fn, func(n ast.Node) bool {
				if c, ok := n.(*ast.CaseClause); ok {
					for _, e := range c.List {
						paths = append(paths, constants[e.(*ast.Ident).Name])
					}
				}
				return true
			})
		}
	}
	return paths
}

// messages returns everything that VMs write to one another or to the store, as the table names it.
func messages(t *testing.T) []string {
	names := append(taggedTypes(t, "."), peerPaths(t)...)
	for _, dir := range []string{"../loads", "../poison", "../backpressure", "../reach"} {
		names = append(names, taggedTypes(t, dir)...)
	}
	for _, w := range wireFields(t, exchanged) {
		names = append(names, w.message)
	}
	for _, header := range textConstants(t, "../../platform") {
		if strings.HasPrefix(header, "Catkin-") {
			names = append(names, header)
		}
	}
	for name, key := range textConstants(t, ".") {
		if name != "systemPrefix" && strings.HasPrefix(key, systemPrefix) {
			names = append(names, key)
		}
	}
	for name := range basisMessages {
		names = append(names, name)
	}
	return names
}

var basisMessages = map[string]basis.Message{"basis.Request": basis.Request, "basis.Response": basis.Response}

func written(a basis.Action) string {
	text := "refuse"
	if a.Act {
		text = "act"
	}
	if a.CatchUp {
		text += ", catch up"
	}
	return text
}

// Guards against a new message between VMs of which nobody has said what it rests on, and what a VM
// does with it that knows less.
func TestEveryMessageStatesWhatItRestsOn(t *testing.T) {
	rows, names := messageRows(t), messages(t)
	require.Subset(t, names, []string{"loads.Message", "router.member", "/changes", "/configuration", "Catkin-State", "catkin/vms/", "catkin/orders-giver"})
	for _, name := range names {
		if !forOperators[name] {
			assert.Contains(t, rows, name, "docs/design/old-state.md does not say what it rests on")
		}
	}
	older, newer := basis.State{Known: true, Version: 7, Era: 1}, basis.State{Known: true, Version: 8}
	for name, kind := range basisMessages {
		assert.Equal(t, written(basis.Decide(kind, older, newer)), rows[name][1], name)
		assert.Equal(t, written(basis.Decide(kind, newer, older)), rows[name][2], name)
	}
	assert.Len(t, basisMessages, constantsOfType(t, "../basis", "Message"))
}

// constantsOfType returns the number of constants in the groups that begin with one of a type.
func constantsOfType(t *testing.T, dir, typ string) (n int) {
	for _, f := range parsed(t, dir) {
		for _, decl := range f.Decls {
			group, ok := decl.(*ast.GenDecl)
			if !ok || group.Tok != token.CONST {
				continue
			}
			if first, ok := group.Specs[0].(*ast.ValueSpec).Type.(*ast.Ident); ok && first.Name == typ {
				n += len(group.Specs)
			}
		}
	}
	return n
}
