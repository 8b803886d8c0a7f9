package lockchecker

import (
	"fmt"
	"go/types"
	"maps"
	"slices"
	"strings"

	"golang.org/x/tools/go/callgraph"
	"golang.org/x/tools/go/ssa"
)

// lock names a lock: the package, the type and the field of a mutex.
type lock string

// pair is a lock that is taken while another one is held.
type pair struct{ held, taken lock }

// lockSet is a set of locks.
type lockSet map[lock]struct{}

// program finds the locks that each function takes.
type program struct {
	graph *callgraph.Graph
	// inModule reports whether the locks of a package count.
	inModule func(path string) bool
	// taken holds the locks that a function or what it calls takes.
	taken map[*ssa.Function]lockSet
}

func newProgram(graph *callgraph.Graph, inModule func(string) bool) *program {
	p := &program{graph: graph, inModule: inModule, taken: map[*ssa.Function]lockSet{}}
	p.propagate()
	return p
}

// propagate adds what each function takes to its callers until nothing changes.
func (p *program) propagate() {
	var pending []*callgraph.Node
	for function, node := range p.graph.Nodes {
		own := lockSet{}
		for _, block := range blocksOf(function) {
			for _, instruction := range block.Instrs {
				if l, kind := p.lockOf(instruction); kind == acquires {
					own[l] = struct{}{}
				}
			}
		}
		p.taken[function] = own
		if len(own) > 0 {
			pending = append(pending, node)
		}
	}
	for len(pending) > 0 {
		node := pending[len(pending)-1]
		pending = pending[:len(pending)-1]
		for _, edge := range node.In {
			if startsGoroutine(edge) {
				continue
			}
			caller := p.taken[edge.Caller.Func]
			before := len(caller)
			maps.Copy(caller, p.taken[node.Func])
			if len(caller) > before {
				pending = append(pending, edge.Caller)
			}
		}
	}
}

// startsGoroutine reports whether a call runs without the locks of its caller.
func startsGoroutine(edge *callgraph.Edge) bool {
	if edge.Site == nil {
		return false
	}
	_, isGo := edge.Site.(*ssa.Go)
	return isGo
}

// pairs returns each pair of locks with the first place that takes it.
func (p *program) pairs() map[pair]string {
	found := map[pair]string{}
	for function, node := range p.graph.Nodes {
		p.addPairs(function, node, found)
	}
	return found
}

// addPairs follows the locks that a function may hold through its blocks.
func (p *program) addPairs(function *ssa.Function, node *callgraph.Node, found map[pair]string) {
	blocks := blocksOf(function)
	if len(blocks) == 0 {
		return
	}
	callees := map[ssa.CallInstruction][]*ssa.Function{}
	for _, edge := range node.Out {
		if edge.Site != nil && !startsGoroutine(edge) {
			callees[edge.Site] = append(callees[edge.Site], edge.Callee.Func)
		}
	}
	entry := make([]lockSet, len(blocks))
	entry[0] = lockSet{}
	pending := []int{0}
	for len(pending) > 0 {
		index := pending[len(pending)-1]
		pending = pending[:len(pending)-1]
		held := maps.Clone(entry[index])
		for _, instruction := range blocks[index].Instrs {
			p.follow(instruction, held, callees, found)
		}
		for _, next := range blocks[index].Succs {
			if entry[next.Index] == nil {
				entry[next.Index] = maps.Clone(held)
				pending = append(pending, next.Index)
				continue
			}
			before := len(entry[next.Index])
			maps.Copy(entry[next.Index], held)
			if len(entry[next.Index]) > before {
				pending = append(pending, next.Index)
			}
		}
	}
}

// follow applies one instruction to the locks held.
func (p *program) follow(instruction ssa.Instruction, held lockSet, callees map[ssa.CallInstruction][]*ssa.Function, found map[pair]string) {
	l, kind := p.lockOf(instruction)
	switch kind {
	case acquires:
		record(held, l, p.position(instruction), found)
		held[l] = struct{}{}
		return
	case releases:
		delete(held, l)
		return
	case unrelated:
	}
	// A call deferred after a lock was taken runs before its deferred release.
	call, isCall := instruction.(ssa.CallInstruction)
	if !isCall || len(held) == 0 {
		return
	}
	for _, callee := range callees[call] {
		for taken := range p.taken[callee] {
			record(held, taken, p.position(instruction)+" by "+callee.String(), found)
		}
	}
}

func record(held lockSet, taken lock, place string, found map[pair]string) {
	for h := range held {
		key := pair{h, taken}
		if known, exists := found[key]; !exists || place < known {
			found[key] = place
		}
	}
}

func (p *program) position(instruction ssa.Instruction) string {
	position := instruction.Parent().Prog.Fset.Position(instruction.Pos())
	return fmt.Sprintf("%s:%d", position.Filename, position.Line)
}

// effect is what an instruction does with a lock.
type effect int

const (
	unrelated effect = iota
	acquires
	releases
)

// lockOf returns the lock of a call of Lock or Unlock. A deferred Unlock has no effect,
// since the lock is held to the end of the function.
func (p *program) lockOf(instruction ssa.Instruction) (lock, effect) {
	call, isCall := instruction.(*ssa.Call)
	if !isCall {
		return "", unrelated
	}
	callee := call.Call.StaticCallee()
	if callee == nil || callee.Signature.Recv() == nil || len(call.Call.Args) == 0 {
		return "", unrelated
	}
	receiver := strings.TrimPrefix(callee.Signature.Recv().Type().String(), "*")
	if receiver != "sync.Mutex" && receiver != "sync.RWMutex" {
		return "", unrelated
	}
	name, inModule := p.nameOf(call.Call.Args[0])
	if !inModule {
		return "", unrelated
	}
	switch callee.Name() {
	case "Lock", "RLock", "TryLock", "TryRLock":
		return name, acquires
	case "Unlock", "RUnlock":
		return name, releases
	}
	return "", unrelated
}

// nameOf names the mutex that a value points to.
func (p *program) nameOf(value ssa.Value) (lock, bool) {
	switch v := value.(type) {
	case *ssa.FieldAddr:
		owner := v.X.Type().Underlying().(*types.Pointer).Elem()
		named, isNamed := types.Unalias(owner).(*types.Named)
		if !isNamed || named.Obj().Pkg() == nil {
			return nameOfFunction(v.Parent()), p.inModule(packageOf(v.Parent()))
		}
		field := owner.Underlying().(*types.Struct).Field(v.Field)
		path := named.Obj().Pkg().Path()
		return lock(fmt.Sprintf("%s.%s.%s", path, named.Obj().Name(), field.Name())), p.inModule(path)
	case *ssa.Global:
		return lock(v.String()), p.inModule(v.Pkg.Pkg.Path())
	default:
		// A local variable, also one of an enclosing function.
		outer := value.Parent()
		for outer != nil && outer.Parent() != nil {
			outer = outer.Parent()
		}
		return nameOfFunction(outer), p.inModule(packageOf(outer))
	}
}

// nameOfFunction names the locks that are variables of a function.
func nameOfFunction(function *ssa.Function) lock {
	return lock(strings.NewReplacer("(*", "", ")", "").Replace(function.String()))
}

func packageOf(function *ssa.Function) string {
	if function == nil || function.Pkg == nil {
		return ""
	}
	return function.Pkg.Pkg.Path()
}

func blocksOf(function *ssa.Function) []*ssa.BasicBlock {
	if function == nil {
		return nil
	}
	return function.Blocks
}

// locks returns all locks that are taken somewhere.
func (p *program) locks() []lock {
	all := lockSet{}
	for _, taken := range p.taken {
		maps.Copy(all, taken)
	}
	return slices.Sorted(maps.Keys(all))
}
