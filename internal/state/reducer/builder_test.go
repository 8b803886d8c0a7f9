package reducer_test

import (
	"encoding/json"
	"fmt"

	"pgregory.net/rapid"

	"github.com/magnoliaknot/magnoliaknot/internal/state/reducer"
	"github.com/magnoliaknot/magnoliaknot/pkg/identifier"
	"github.com/magnoliaknot/magnoliaknot/pkg/parser"
	"github.com/magnoliaknot/magnoliaknot/pkg/timer"
)

const noon = timer.Millis(1_798_804_800_000)

func setService(i int, limit identifier.Slots) parser.Edit {
	name := fmt.Sprintf("service-%04d", i)
	return parser.SetService{Service: &parser.Service{
		Name: identifier.ServiceName(name), Hosts: []string{name + ".local"}, PathPrefixes: []string{"/" + name + "/"},
		InstanceClass: "large", ExpectedLoad: 400, MaxInFlight: limit, MaxQueue: 40, DefaultTimeout: 2000, MaxTimeout: 10_000,
		RetryBudgetPercent: 10, HedgePercent: 5, DeduplicationWindow: 600_000, Quarantine: 300_000,
		IdempotentRules:  []parser.Rule{{Method: "GET", PathPrefix: "/"}},
		KeyRequiredRules: []parser.Rule{{Method: "POST", PathPrefix: "/" + name + "/orders"}},
	}}
}

// setDomain takes a failure domain out of service from a time on, or puts it in
// service if that time is 0.
func setDomain(name identifier.FailureDomain, out timer.Millis) parser.Edit {
	domain := &parser.FailureDomain{Name: name, Region: "east", ReturnRamp: 10_000}
	if out != 0 {
		domain.Out = []parser.Window{{From: parser.Time(out)}}
	}
	return parser.SetFailureDomain{FailureDomain: domain}
}

func setClass(slots identifier.Slots) parser.Edit {
	return parser.SetInstanceClass{InstanceClass: &parser.InstanceClass{
		Name: "large", Slots: slots, Connections: 240, ColdLimit: 1, RampCompletions: 20,
	}}
}

// initialEdits returns edits that make a complete sheet.
func initialEdits(services, domains int) parser.Edits {
	edits := parser.Edits{
		parser.SetGlobals{Globals: parser.Globals{
			Format: 1, Deployment: "test", MeasuringBudget: parser.MeasuringBudget{MessagesPerSecond: 200, BytesPerSecond: 16_384},
		}},
		setClass(20),
	}
	for i := range domains {
		edits = append(edits, setDomain(identifier.FailureDomain(fmt.Sprintf("d%d", i)), 0))
	}
	for i := range services {
		edits = append(edits, setService(i, 4))
	}
	return edits
}

func encodeChange(id string, base identifier.Version, published timer.Millis, edits ...parser.Edit) []byte {
	data, err := json.Marshal(reducer.Change{
		ID: identifier.ChangeID(id), BaseVersion: base, Operator: "anna", PublishedAt: published, Comment: "because", Edits: edits,
	})
	if err != nil {
		panic(err)
	}
	return data
}

// drawEdits draws edits, some of which are invalid.
func drawEdits(t *rapid.T) []parser.Edit {
	one := rapid.Custom(func(t *rapid.T) parser.Edit {
		name := rapid.SampledFrom([]identifier.FailureDomain{"d0", "d1", "d2"}).Draw(t, "domain")
		switch rapid.IntRange(0, 9).Draw(t, "edit") {
		case 0:
			return parser.RemoveService{Name: "service-0001"}
		case 1:
			return setClass(identifier.Slots(rapid.IntRange(3, 20).Draw(t, "slots")))
		case 2:
			return parser.RemoveFailureDomain{Name: name}
		case 3, 4:
			return setDomain(name, noon+timer.Millis(rapid.IntRange(-3, 3).Draw(t, "out")))
		case 5, 6, 7:
			return setDomain(name, 0)
		default:
			return setService(rapid.IntRange(0, 2).Draw(t, "service"), identifier.Slots(rapid.IntRange(1, 5).Draw(t, "limit")))
		}
	})
	return rapid.SliceOfN(one, 1, 2).Draw(t, "edits")
}

// stream is a log and, for each offset, the checkpoint of a daemon that has
// folded up to there.
type stream struct {
	records     [][]byte
	checkpoints [][]byte
}

// drawStream draws a stream of operators that concurrently publish changes
// based on versions they have seen and retry after lost answers, and of writers
// that append checkpoints late.
func drawStream(t *rapid.T, create func() *reducer.Reducer) stream {
	var s stream
	daemon := create()
	add := func(record []byte) {
		mustApply(t, daemon, identifier.Offset(len(s.records)), record)
		s.records = append(s.records, record)
		s.checkpoints = append(s.checkpoints, mustCheckpoint(t, daemon))
	}
	add(encodeChange("first", 0, noon, initialEdits(2, 3)...))
	var published [][]byte
	for i := range rapid.IntRange(1, 40).Draw(t, "records") {
		current := int(daemon.State().Version)
		switch rapid.IntRange(0, 9).Draw(t, "record") {
		case 0:
			add(rapid.SampledFrom([][]byte{
				nil, []byte("{"), []byte(`{"kind":"x"}`), []byte(`{"kind":"checkpoint"}`), []byte("\xff"),
				fmt.Appendf(nil, `{"kind":"change","id":"bad-%d","base_version":%d,"edits":[{"kind":"x"}]}`, i, current),
				[]byte(`{"kind":"change","id":"a b"}`), []byte(`{"kind":"change","id":"a","what":1}`),
			}).Draw(t, "broken"))
		case 1:
			add(rapid.SampledFrom(s.checkpoints).Draw(t, "late checkpoint"))
		case 2:
			if len(published) > 0 {
				add(rapid.SampledFrom(published).Draw(t, "retry"))
			}
		case 3, 4:
			// Take d0 out of service or return it, which random edits rarely do.
			moment, out := noon+timer.Millis(i), noon-9
			if domain, ok := daemon.State().Sheet.FailureDomain("d0"); ok && domain.OutAt(moment) {
				out = 0
			}
			add(encodeChange(fmt.Sprintf("change-%d", i), identifier.Version(current), moment, setDomain("d0", out)))
		default:
			base := rapid.SampledFrom([]int{current, current, current, max(current-1, 0), 1, current + 1}).Draw(t, "base")
			moment := noon + timer.Millis(rapid.IntRange(-3, 3).Draw(t, "published"))
			record := encodeChange(fmt.Sprintf("change-%d", i), identifier.Version(base), moment, drawEdits(t)...)
			published = append(published, record)
			add(record)
		}
	}
	return s
}

func mustApply(t rapid.TB, daemon *reducer.Reducer, offset identifier.Offset, record []byte) reducer.Result {
	result, err := daemon.Apply(offset, record)
	if err != nil {
		t.Fatal(err)
	}
	return result
}

func mustCheckpoint(t rapid.TB, daemon *reducer.Reducer) []byte {
	data, err := daemon.Checkpoint()
	if err != nil {
		t.Fatal(err)
	}
	return data
}
