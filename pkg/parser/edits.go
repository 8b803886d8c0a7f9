package parser

import (
	"encoding/json"
	"fmt"

	"github.com/magnoliaknot/magnoliaknot/pkg/decoder"
	"github.com/magnoliaknot/magnoliaknot/pkg/identifier"
	"github.com/magnoliaknot/magnoliaknot/pkg/reporter"
)

// Edits is a list of edits that take effect together. In JSON each one is an
// object with a kind field.
type Edits []Edit

// Values of the kind field.
const (
	kindSetGlobals          = "set_globals"
	kindSetFailureDomain    = "set_failure_domain"
	kindRemoveFailureDomain = "remove_failure_domain"
	kindSetInstanceClass    = "set_instance_class"
	kindRemoveInstanceClass = "remove_instance_class"
	kindSetService          = "set_service"
	kindRemoveService       = "remove_service"
)

// wireEdit is the JSON form of every edit. The kind determines which one of the
// other fields is set.
type wireEdit struct {
	Kind          string         `json:"kind"`
	Globals       *Globals       `json:"globals,omitempty"`
	FailureDomain *FailureDomain `json:"failure_domain,omitempty"`
	InstanceClass *InstanceClass `json:"instance_class,omitempty"`
	Service       *Service       `json:"service,omitempty"`
	Name          string         `json:"name,omitempty"`
}

func (e SetGlobals) wire() wireEdit {
	return wireEdit{Kind: kindSetGlobals, Globals: &e.Globals}
}

func (e SetFailureDomain) wire() wireEdit {
	return wireEdit{Kind: kindSetFailureDomain, FailureDomain: e.FailureDomain}
}

func (e RemoveFailureDomain) wire() wireEdit {
	return wireEdit{Kind: kindRemoveFailureDomain, Name: string(e.Name)}
}

func (e SetInstanceClass) wire() wireEdit {
	return wireEdit{Kind: kindSetInstanceClass, InstanceClass: e.InstanceClass}
}

func (e RemoveInstanceClass) wire() wireEdit {
	return wireEdit{Kind: kindRemoveInstanceClass, Name: string(e.Name)}
}

func (e SetService) wire() wireEdit {
	return wireEdit{Kind: kindSetService, Service: e.Service}
}

func (e RemoveService) wire() wireEdit {
	return wireEdit{Kind: kindRemoveService, Name: string(e.Name)}
}

// fields returns the names of the fields that are set, without the kind.
func (w wireEdit) fields() []string {
	var names []string
	for _, field := range []struct {
		name string
		set  bool
	}{
		{"globals", w.Globals != nil},
		{"failure_domain", w.FailureDomain != nil},
		{"instance_class", w.InstanceClass != nil},
		{"service", w.Service != nil},
		{"name", w.Name != ""},
	} {
		if field.set {
			names = append(names, field.name)
		}
	}
	return names
}

// edit returns the edit and the name of the only field that its kind allows.
// The edit is nil if the kind is unknown.
func (w wireEdit) edit() (Edit, string) {
	switch w.Kind {
	case kindSetGlobals:
		return SetGlobals{valueOf(w.Globals)}, "globals"
	case kindSetFailureDomain:
		return SetFailureDomain{w.FailureDomain}, "failure_domain"
	case kindRemoveFailureDomain:
		return RemoveFailureDomain{identifier.FailureDomain(w.Name)}, "name"
	case kindSetInstanceClass:
		return SetInstanceClass{w.InstanceClass}, "instance_class"
	case kindRemoveInstanceClass:
		return RemoveInstanceClass{identifier.InstanceClass(w.Name)}, "name"
	case kindSetService:
		return SetService{w.Service}, "service"
	case kindRemoveService:
		return RemoveService{identifier.ServiceName(w.Name)}, "name"
	default:
		return nil, ""
	}
}

func valueOf(globals *Globals) Globals {
	if globals == nil {
		return Globals{}
	}
	return *globals
}

// check returns the edit if its kind is known and the field of that kind is
// present, and adds a finding for each problem.
func (w wireEdit) check(place string, findings *reporter.Findings) (Edit, bool) {
	edit, field := w.edit()
	if edit == nil {
		findings.Add(joinPlace(place, "kind"), decoder.Clip(w.Kind), "is not a known kind of edit")
		return nil, false
	}
	present := false
	for _, name := range w.fields() {
		if name == field {
			present = true
			continue
		}
		findings.Add(joinPlace(place, name), "", "does not belong to an edit of kind "+w.Kind)
	}
	if !present {
		findings.Add(joinPlace(place, field), "", "is missing")
		return nil, false
	}
	edit.Check(place, findings)
	return edit, true
}

// DecodeEdits reads a list of edits from JSON and checks each on its own. Apply
// checks the rules that depend on the sheet. The error is an *InvalidError.
func DecodeEdits(data []byte) (Edits, error) {
	var findings reporter.Findings
	var wires []wireEdit
	var edits Edits
	decoder.Decode(data, &wires, &findings, decoder.Options{Place: "edits"}, func(additional *reporter.Findings) {
		first := make(map[target]int, len(wires))
		for i, wire := range wires {
			edit, ok := wire.check(fmt.Sprintf("edits[%d]", i), additional)
			if !ok {
				continue
			}
			if j, seen := first[edit.target()]; seen {
				additional.Add(fmt.Sprintf("edits[%d]", i), edit.target(), fmt.Sprintf("repeats the target of edits[%d]", j))
			}
			first[edit.target()] = i
			edits = append(edits, edit)
		}
	})
	if err := invalid(&findings); err != nil {
		return nil, err
	}
	return edits, nil
}

// MarshalJSON encodes each edit with its kind.
func (e Edits) MarshalJSON() ([]byte, error) {
	wires := make([]wireEdit, 0, len(e))
	for _, edit := range e {
		wires = append(wires, edit.wire())
	}
	return json.Marshal(wires)
}

// UnmarshalJSON decodes and checks the edits as DecodeEdits does.
func (e *Edits) UnmarshalJSON(data []byte) error {
	decoded, err := DecodeEdits(data)
	if err != nil {
		return err
	}
	*e = decoded
	return nil
}
