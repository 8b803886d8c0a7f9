package throttler_test

import (
	"bytes"
	"math"
	"slices"
	"testing"

	"pgregory.net/rapid"

	"github.com/magnoliaknot/magnoliaknot/internal/state/throttler"
	"github.com/magnoliaknot/magnoliaknot/internal/tester"
	"github.com/magnoliaknot/magnoliaknot/pkg/identifier"
)

const maxBytes = 1300

func drawReport(t *rapid.T) throttler.UseReport {
	r := throttler.UseReport{
		Node: throttler.NodeKey(rapid.Uint32().Draw(t, "node")), Incarnation: identifier.Incarnation(rapid.Uint64Min(1).Draw(t, "incarnation")),
		Epoch: identifier.Epoch(rapid.Uint64().Draw(t, "epoch")), Sequence: rapid.Uint64Min(1).Draw(t, "sequence"),
	}
	for range rapid.IntRange(0, throttler.MaxUses).Draw(t, "uses") {
		r.Uses = append(r.Uses, throttler.Use{
			Account: throttler.AccountKey(rapid.Uint32().Draw(t, "account")), Offered: throttler.Rate(rapid.Uint32().Draw(t, "offered")),
			Admitted: rapid.Uint32().Draw(t, "admitted"), Unacknowledged: rapid.Uint32().Draw(t, "unacknowledged"),
			Held: throttler.Share(rapid.IntRange(0, int(throttler.FullShare)).Draw(t, "held")),
		})
	}
	return r
}

func drawGrant(t *rapid.T) throttler.Grant {
	g := throttler.Grant{
		Incarnation: identifier.Incarnation(rapid.Uint64Min(1).Draw(t, "incarnation")),
		Epoch:       identifier.Epoch(rapid.Uint64Min(1).Draw(t, "epoch")), Sequence: rapid.Uint64Min(1).Draw(t, "sequence"),
	}
	for range rapid.IntRange(0, throttler.MaxLimits).Draw(t, "limits") {
		g.Limits = append(g.Limits, throttler.Limit{
			Account: throttler.AccountKey(rapid.Uint32().Draw(t, "account")),
			Share:   throttler.Share(rapid.IntRange(0, int(throttler.FullShare)).Draw(t, "share")),
		})
	}
	return g
}

// Guards against messages that decode to other values, that exceed a datagram, or that
// are accepted although they are truncated or longer.
func TestMessagesRoundTrip(t *testing.T) {
	tester.Check(t, func(t *rapid.T) {
		r, g := drawReport(t), drawGrant(t)
		report, grant := r.Encode(nil), g.Encode(nil)
		if len(report) >= maxBytes || len(grant) >= maxBytes {
			t.Fatalf("%d and %d bytes", len(report), len(grant))
		}
		gotReport, err := throttler.DecodeUseReport(report)
		if err != nil || gotReport.Sequence != r.Sequence || gotReport.Node != r.Node || !slices.Equal(gotReport.Uses, r.Uses) {
			t.Fatalf("%+v decoded as %+v, %v", r, gotReport, err)
		}
		gotGrant, err := throttler.DecodeGrant(grant)
		if err != nil || gotGrant.Epoch != g.Epoch || gotGrant.Incarnation != g.Incarnation || !slices.Equal(gotGrant.Limits, g.Limits) {
			t.Fatalf("%+v decoded as %+v, %v", g, gotGrant, err)
		}
		for _, wrong := range [][]byte{report[:rapid.IntRange(0, len(report)-1).Draw(t, "cut")], append(report, 0)} {
			if _, err := throttler.DecodeUseReport(wrong); err == nil {
				t.Fatalf("a report of %d bytes instead of %d was accepted", len(wrong), len(report))
			}
		}
		for _, wrong := range [][]byte{grant[:rapid.IntRange(0, len(grant)-1).Draw(t, "cut")], append(grant, 0)} {
			if _, err := throttler.DecodeGrant(wrong); err == nil {
				t.Fatalf("a grant of %d bytes instead of %d was accepted", len(wrong), len(grant))
			}
		}
	})
}

// Guards against a share above 1 or below 0, which would admit more than is offered.
func TestShareOf(t *testing.T) {
	cases := []struct {
		fraction float64
		want     throttler.Share
	}{
		{-1, 0},
		{0, 0},
		{0.5, throttler.FullShare / 2},
		{1, throttler.FullShare},
		{7, throttler.FullShare},
		{math.Inf(1), throttler.FullShare},
		{math.NaN(), 0},
	}
	for _, c := range cases {
		if got := throttler.ShareOf(c.fraction); got != c.want {
			t.Errorf("%v: %d, want %d", c.fraction, got, c.want)
		}
	}
}

// Guards against a datagram that makes the decoder panic, allocate without bound, or
// return a share above 1.
func FuzzDecodeUseReport(f *testing.F) {
	f.Add(throttler.UseReport{Incarnation: 1, Sequence: 1, Uses: []throttler.Use{{Account: 7, Offered: 1000, Held: throttler.FullShare}}}.Encode(nil))
	f.Add([]byte{1, 2, 3, 4, 1, 0, 1, 0xff, 0xff, 0xff, 0xff, 0x0f})
	f.Fuzz(func(t *testing.T, data []byte) {
		r, err := throttler.DecodeUseReport(data)
		if err != nil {
			return
		}
		over := slices.ContainsFunc(r.Uses, func(u throttler.Use) bool { return u.Held > throttler.FullShare })
		if over || len(r.Uses) > throttler.MaxUses || r.Incarnation == 0 || r.Sequence == 0 {
			t.Fatalf("decoded %+v", r)
		}
		if again, err := throttler.DecodeUseReport(r.Encode(nil)); err != nil || !bytes.Equal(again.Encode(nil), r.Encode(nil)) {
			t.Fatalf("%+v encodes as %+v, %v", r, again, err)
		}
	})
}

// Guards against a datagram that makes the decoder panic, allocate without bound, or
// return a share above 1.
func FuzzDecodeGrant(f *testing.F) {
	f.Add(throttler.Grant{Incarnation: 1, Sequence: 1, Epoch: 1, Limits: []throttler.Limit{{Account: 7, Share: throttler.FullShare}}}.Encode(nil))
	f.Add([]byte{1, 1, 1, 0xff, 0xff, 0xff, 0xff, 0x0f})
	f.Fuzz(func(t *testing.T, data []byte) {
		g, err := throttler.DecodeGrant(data)
		if err != nil {
			return
		}
		over := slices.ContainsFunc(g.Limits, func(l throttler.Limit) bool { return l.Share > throttler.FullShare })
		if over || len(g.Limits) > throttler.MaxLimits || g.Incarnation == 0 || g.Epoch == 0 || g.Sequence == 0 {
			t.Fatalf("decoded %+v", g)
		}
		if again, err := throttler.DecodeGrant(g.Encode(nil)); err != nil || !bytes.Equal(again.Encode(nil), g.Encode(nil)) {
			t.Fatalf("%+v encodes as %+v, %v", g, again, err)
		}
	})
}
