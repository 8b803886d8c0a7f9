package reducer_test

import (
	"errors"
	"fmt"
	"strings"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/magnoliaknot/magnoliaknot/internal/state/reducer"
	"github.com/magnoliaknot/magnoliaknot/internal/tester"
	"github.com/magnoliaknot/magnoliaknot/pkg/identifier"
)

func TestReducer(t *testing.T) {
	tester.RunSpecs(t, "reducer")
}

// startAtVersion1 returns a daemon that has folded a change to version 1 and
// then the records, and the last result.
func startAtVersion1(create func() *reducer.Reducer, records ...[]byte) (*reducer.Reducer, reducer.Result) {
	daemon := create()
	result := mustApply(GinkgoTB(), daemon, 0, encodeChange("first", 0, noon, initialEdits(1, 2)...))
	for i, record := range records {
		result = mustApply(GinkgoTB(), daemon, identifier.Offset(i+1), record)
	}
	return daemon, result
}

func newDefault() *reducer.Reducer { return reducer.New(reducer.Config{}) }

var _ = Describe("a record without effect", func() {
	long := strings.Repeat("x", 1001)
	change := func(old, replacement string) string {
		return strings.Replace(string(encodeChange("c", 1, noon, setClass(4))), old, replacement, 1)
	}
	cases := []struct {
		guards, record string
		reason         reducer.Reason
		place          string
	}{
		{"a change from an older version that is accepted", change(`"base_version":1`, `"base_version":0`), reducer.ReasonStaleBase, ""},
		{"a change from a version that does not exist", change(`"base_version":1`, `"base_version":2`), reducer.ReasonUnknownBase, ""},
		{"a change without edits", string(encodeChange("c", 1, noon)), reducer.ReasonInvalidChange, "edits"},
		{"edits that are null", `{"kind":"change","id":"c","base_version":1,"operator":"a","published_at_ms":1,"edits":null}`, reducer.ReasonInvalidChange, "edits"},
		{"a missing list of edits", `{"kind":"change","id":"c","base_version":1,"operator":"a","published_at_ms":1}`, reducer.ReasonInvalidChange, "edits"},
		{"an edit of an unknown kind", change("set_instance_class", "set_all"), reducer.ReasonInvalidChange, "edits[0].kind"},
		{"an unnamed operator", change("anna", ""), reducer.ReasonInvalidChange, "operator"},
		{"a time that overflows", change(fmt.Sprint(noon), "9000000000000000000"), reducer.ReasonInvalidChange, "published_at_ms"},
		{"a comment that fills the audit trail", change("because", long), reducer.ReasonInvalidChange, "comment"},
		{"a sheet that breaks a rule", change(`"slots":4`, `"slots":3`), reducer.ReasonInvalidSheet, "services[0].max_in_flight"},
		{"an unknown field", change(`"kind"`, `"force":true,"kind"`), reducer.ReasonUndecodable, ""},
		{"an id that breaks a log line", change(`"c"`, `"c\n"`), reducer.ReasonUndecodable, ""},
		{"an unknown kind", change(`"change"`, `"checkpoints"`), reducer.ReasonUndecodable, ""},
		{"a checkpoint without hash", `{"kind":"checkpoint","folded_offset":0}`, reducer.ReasonUndecodable, ""},
		{"text that is not UTF-8", "{\"kind\":\"change\",\"id\":\"\xff\"}", reducer.ReasonUndecodable, ""},
		{"text that is not JSON", "change", reducer.ReasonUndecodable, ""},
	}
	for _, c := range cases {
		It("guards against "+c.guards, func() {
			daemon, result := startAtVersion1(newDefault, []byte(c.record))
			Expect(daemon.State().Version).To(Equal(identifier.Version(1)))
			Expect(daemon.State().FoldedOffset).To(Equal(identifier.Offset(1)))
			Expect(daemon.Audit(1)[0].Reason).To(Equal(c.reason))
			switch r := result.(type) {
			case reducer.Rejected:
				Expect(r.Reason).To(Equal(c.reason))
				if c.place != "" {
					Expect(r.Findings[0].Place).To(Equal(c.place))
				}
			case reducer.Undecodable:
				Expect(c.reason).To(Equal(reducer.ReasonUndecodable))
				Expect(r.Detail).NotTo(BeEmpty())
			default:
				Fail(fmt.Sprintf("unexpected result %T", r))
			}
		})
	}
})

var _ = Describe("the fold", func() {
	It("guards against a missing record", func() {
		daemon, _ := startAtVersion1(newDefault)
		_, err := daemon.Apply(2, encodeChange("c", 1, noon, setClass(4)))
		var gap *reducer.GapError
		Expect(errors.As(err, &gap)).To(BeTrue())
		Expect(*gap).To(Equal(reducer.GapError{Want: 1, Got: 2}))
		Expect(newDefault().Checkpoint()).Error().To(HaveOccurred())
	})
	It("guards against a retry that counts again or is answered wrongly", func() {
		record := encodeChange("c", 1, noon, setClass(4))
		daemon, result := startAtVersion1(newDefault, record, encodeChange("d", 2, noon, setClass(5)), record)
		Expect(result).To(Equal(reducer.Duplicate{ID: "c", FirstOffset: 1, Version: 2}))
		Expect(daemon.Apply(1, record)).To(Equal(reducer.AlreadyFolded{}))
		Expect(daemon.State().Version).To(Equal(identifier.Version(3)))
	})
	It("guards against a failure domain that returns at full load", func() {
		daemon, _ := startAtVersion1(newDefault,
			encodeChange("out", 1, noon, setDomain("d0", noon)),
			encodeChange("keep", 2, noon+5, setDomain("d0", noon-1)),
			encodeChange("in", 3, noon+9, setDomain("d0", 0)))
		Expect(daemon.State().ReturnedAt).To(HaveLen(1))
		Expect(daemon.State().ReturnedAt["d0"]).To(Equal(noon + 9))
	})
	It("guards against an audit trail that claims more than it keeps", func() {
		create := func() *reducer.Reducer { return reducer.NewWithBounds(10, 3, 10) }
		daemon, _ := startAtVersion1(create, []byte("?"))
		Expect(daemon.OldestAuditOffset()).To(Equal(identifier.Offset(0)))
		daemon, _ = startAtVersion1(create, []byte("?"), encodeChange("c", 1, noon, setClass(4)), encodeChange("d", 1, noon, setClass(5)))
		Expect(daemon.OldestAuditOffset()).To(Equal(identifier.Offset(1)))
		trail := daemon.Audit(2)
		Expect(trail).To(HaveLen(2))
		Expect(trail[0].ChangeID).To(Equal(identifier.ChangeID("d")))
		Expect(trail[1].Edits).To(HaveLen(1))
		Expect(trail[1].Version).To(Equal(identifier.Version(2)))
		Expect(daemon.Audit(-1)).To(BeEmpty())
	})
	It("guards against memory that grows with the stream", func() {
		daemon, _ := startAtVersion1(newDefault)
		for i := range 2500 {
			mustApply(GinkgoTB(), daemon, identifier.Offset(i+1), encodeChange(fmt.Sprint(i), 0, noon, setClass(4)))
		}
		Expect(daemon.Audit(5000)).To(HaveLen(1000))
		Expect(strings.Count(string(mustCheckpoint(GinkgoTB(), daemon)), `{"id":`)).To(Equal(2000))
		restored := newDefault()
		Expect(restored.Restore(mustCheckpoint(GinkgoTB(), daemon))).To(BeTrue())
		Expect(mustCheckpoint(GinkgoTB(), restored)).To(Equal(mustCheckpoint(GinkgoTB(), daemon)))
	})
})

var _ = Describe("a checkpoint", func() {
	daemon, _ := startAtVersion1(newDefault,
		encodeChange("out", 1, noon, setDomain("d0", noon)), encodeChange("in", 2, noon+9, setDomain("d0", 0)))
	valid := string(mustCheckpoint(GinkgoTB(), daemon))
	cases := []struct{ guards, old, replacement string }{
		{"another version", `"version":3,"sheet"`, `"version":4,"sheet"`},
		{"another offset", `"folded_offset":2`, `"folded_offset":3`},
		{"another limit", `"max_in_flight":4`, `"max_in_flight":3`},
		{"another global section", `"messages_per_second":200`, `"messages_per_second":201`},
		{"another return time", fmt.Sprintf(`"d0":%d`, noon+9), fmt.Sprintf(`"d0":%d`, noon)},
		{"another recent id", `{"id":"out"`, `{"id":"other"`},
		{"another operator in the audit trail", `"operator":"anna"`, `"operator":"eve"`},
		{"a sheet that breaks a rule", `"max_in_flight":4`, `"max_in_flight":0`},
		{"a truncated record", `}`, ``},
	}
	for _, c := range cases {
		It("guards against "+c.guards, func() {
			damaged := strings.Replace(valid, c.old, c.replacement, 1)
			Expect(damaged).NotTo(Equal(valid))
			fresh := newDefault()
			Expect(fresh.Restore([]byte(damaged))).Error().To(HaveOccurred())
			Expect(fresh.State().Folded).To(BeFalse())
		})
	}
	It("guards against a divergence that stays unnoticed", func() {
		other, _ := startAtVersion1(newDefault,
			encodeChange("out", 1, noon, setDomain("d0", noon)), encodeChange("in", 2, noon+8, setDomain("d0", 0)))
		moved, err := other.Restore([]byte(valid))
		Expect(moved).To(BeFalse())
		Expect(reducer.Diverged.Has(err)).To(BeTrue())
		Expect(other.Apply(3, []byte(valid))).To(Equal(reducer.CheckpointSeen{FoldedOffset: 2, Compared: true}))
		Expect(daemon.Apply(3, []byte(valid))).To(Equal(reducer.CheckpointSeen{FoldedOffset: 2, Compared: true, Matches: true}))
	})
	It("guards against a checkpoint that leads back to an older version", func() {
		ahead := newDefault()
		for i := range 5 {
			mustApply(GinkgoTB(), ahead, identifier.Offset(i), []byte("?"))
		}
		behind, _ := startAtVersion1(newDefault)
		_, err := behind.Restore(mustCheckpoint(GinkgoTB(), ahead))
		Expect(reducer.Diverged.Has(err)).To(BeTrue())
		Expect(behind.State().Version).To(Equal(identifier.Version(1)))
	})
})
