package main

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

// declaredNames returns the names "package", "package.Name" and "package.Type.Method" of the functions, methods and types that
// the packages below root declare outside test files.
func declaredNames(t *testing.T, root string) map[string]bool {
	t.Helper()
	names := map[string]bool{}
	err := filepath.WalkDir(root, func(path string, entry fs.DirEntry, err error) error {
		if err != nil || entry.IsDir() || filepath.Ext(path) != ".go" || strings.HasSuffix(path, "_test.go") {
			return err
		}
		file, err := parser.ParseFile(token.NewFileSet(), path, nil, 0)
		if err != nil {
			return err
		}
		for _, declaration := range file.Decls {
			addDeclaration(names, file.Name.Name, declaration)
		}
		return nil
	})
	if err != nil {
		t.Fatal(err)
	}
	return names
}

// addDeclaration adds the names that a declaration of a package declares.
func addDeclaration(names map[string]bool, pkg string, declaration ast.Decl) {
	names[pkg] = true
	switch d := declaration.(type) {
	case *ast.FuncDecl:
		names[pkg+"."+receiverPrefix(d)+d.Name.Name] = true
	case *ast.GenDecl:
		for _, spec := range d.Specs {
			if s, ok := spec.(*ast.TypeSpec); ok {
				names[pkg+"."+s.Name.Name] = true
				addInterfaceMethods(names, pkg+"."+s.Name.Name, s.Type)
			}
		}
	}
}

// receiverPrefix returns "Type." for a method and "" for a function.
func receiverPrefix(d *ast.FuncDecl) string {
	if d.Recv == nil {
		return ""
	}
	expression := d.Recv.List[0].Type
	if pointer, ok := expression.(*ast.StarExpr); ok {
		expression = pointer.X
	}
	if generic, ok := expression.(*ast.IndexExpr); ok {
		expression = generic.X
	}
	identifier, ok := expression.(*ast.Ident)
	if !ok {
		return ""
	}
	return identifier.Name + "."
}

func addInterfaceMethods(names map[string]bool, typeName string, expression ast.Expr) {
	interfaceType, ok := expression.(*ast.InterfaceType)
	if !ok {
		return
	}
	for _, method := range interfaceType.Methods.List {
		for _, name := range method.Names {
			names[typeName+"."+name.Name] = true
		}
	}
}

// Tests that every path, function, method and type that the architecture page names exists.
func TestArchitecturePage_NamesExist(t *testing.T) {
	const root = "../.."
	page, err := os.ReadFile(filepath.Join(root, "docs", "architecture.md"))
	if err != nil {
		t.Fatal(err)
	}
	names := declaredNames(t, filepath.Join(root, "internal"))
	for name := range declaredNames(t, filepath.Join(root, "control")) {
		names[name] = true
	}
	path := regexp.MustCompile(`^(internal|cmd|control|docs|deploy)(/[a-z0-9_./-]*)?$`)
	qualified := regexp.MustCompile(`^[a-z][a-z0-9]*(\.[A-Z][A-Za-z0-9]*){1,2}$`)
	checked := 0
	for _, match := range regexp.MustCompile("`([^`\n]+)`").FindAllSubmatch(page, -1) {
		name := string(match[1])
		switch {
		case path.MatchString(name):
			checked++
			if _, err := os.Stat(filepath.Join(root, name)); err != nil {
				t.Errorf("`%s`: %v", name, err)
			}
		case qualified.MatchString(name):
			checked++
			if !names[name] {
				t.Errorf("`%s`: no such declaration", name)
			}
		}
	}
	if checked < 60 {
		t.Errorf("only %d names found on the page: did its format change?", checked)
	}
}

// Tests that only the dispatcher and its test fakes issue send permits. A request cannot be encoded without a permit, so
// nothing else can send one.
func TestSendPermits_IssuedOnlyByDispatcher(t *testing.T) {
	err := filepath.WalkDir("../..", func(path string, entry fs.DirEntry, err error) error {
		if err != nil || entry.IsDir() || filepath.Ext(path) != ".go" || strings.HasSuffix(path, "_test.go") {
			return err
		}
		if strings.Contains(path, "internal/dispatch/") || strings.Contains(path, "internal/verification/goldentest/") {
			return nil
		}
		data, err := os.ReadFile(path)
		if strings.Contains(string(data), "dispatch.PermitSend(") {
			t.Errorf("%s issues a send permit, which only the dispatcher may do", path)
		}
		return err
	})
	if err != nil {
		t.Fatal(err)
	}
}
