package lockchecker

import (
	"bufio"
	"cmp"
	"maps"
	"os"
	"slices"
	"strings"
	"testing"

	"golang.org/x/tools/go/callgraph/cha"
	"golang.org/x/tools/go/callgraph/vta"
	"golang.org/x/tools/go/packages"
	"golang.org/x/tools/go/ssa/ssautil"
)

const (
	module     = "github.com/magnoliaknot/magnoliaknot"
	root       = "../.."
	orderFile  = root + "/docs/design.md"
	orderTitle = "Lock order"
)

// load returns the call graph of the daemon with all that it imports.
func load(t *testing.T) *program {
	t.Helper()
	loaded, err := packages.Load(&packages.Config{Mode: packages.LoadAllSyntax, Dir: root}, "./cmd/magnoliaknot")
	if err != nil {
		t.Fatal(err)
	}
	if packages.PrintErrors(loaded) > 0 {
		t.Fatal("the program cannot be loaded")
	}
	built, _ := ssautil.AllPackages(loaded, 0)
	built.Build()
	functions := ssautil.AllFunctions(built)
	graph := vta.CallGraph(functions, vta.CallGraph(functions, cha.CallGraph(built)))
	return newProgram(graph, func(path string) bool { return strings.HasPrefix(path, module) })
}

// readOrder returns the places of the locks in the written order, from 1.
func readOrder(t *testing.T) map[lock]int {
	t.Helper()
	file, err := os.Open(orderFile)
	if err != nil {
		t.Fatal(err)
	}
	defer file.Close()
	order, inside := map[lock]int{}, false
	for lines := bufio.NewScanner(file); lines.Scan(); {
		line := lines.Text()
		if strings.HasPrefix(line, "#") {
			inside = strings.HasSuffix(line, orderTitle)
		}
		if name, isItem := strings.CutPrefix(line, "1. `"); inside && isItem {
			name, _, _ = strings.Cut(name, "`")
			order[lock(module+"/"+name)] = len(order) + 1
		}
	}
	return order
}

// Guards against two goroutines that take two locks in opposite orders and wait for each
// other for ever, whether or not a run has shown it.
func TestLockOrder(t *testing.T) {
	p, order := load(t), readOrder(t)
	all := p.locks()
	for _, l := range all {
		if order[l] == 0 {
			t.Errorf("%s has no place in the written order", l)
		}
	}
	for l := range order {
		if !slices.Contains(all, l) {
			t.Errorf("%s is in the written order and is not taken anywhere", l)
		}
	}
	pairs := p.pairs()
	sorted := slices.SortedFunc(maps.Keys(pairs), func(x, y pair) int {
		return cmp.Or(cmp.Compare(x.held, y.held), cmp.Compare(x.taken, y.taken))
	})
	for _, found := range sorted {
		t.Logf("%s, then %s: %s", found.held, found.taken, pairs[found])
		if order[found.held] >= order[found.taken] {
			t.Errorf("%s is taken while %s is held: %s", found.taken, found.held, pairs[found])
		}
	}
}
