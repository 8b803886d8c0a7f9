package dispatcher

import (
	"log/slog"
	"testing"

	"github.com/valyala/fasthttp"

	"github.com/magnoliaknot/magnoliaknot/internal/protocol/encoder"
	"github.com/magnoliaknot/magnoliaknot/internal/state/registrar"
	"github.com/magnoliaknot/magnoliaknot/internal/state/router"
	"github.com/magnoliaknot/magnoliaknot/internal/transport/exchanger"
	"github.com/magnoliaknot/magnoliaknot/pkg/identifier"
	"github.com/magnoliaknot/magnoliaknot/pkg/timer"
)

// plainDialect is a dialect without headers of its own.
type plainDialect struct{ Dialect }

func (plainDialect) RequestID(*fasthttp.RequestHeader) []byte { return nil }

// newAdmission returns an admission that records the senders of attempts.
func newAdmission(senders *[]identifier.Incarnation) *Admission {
	return NewAdmission(AdmissionConfig{
		Member: registrar.Member{Node: "own", Service: "orders"}, Address: "127.0.0.1:1", Clock: timer.NewBoot(),
		Configuration: router.NewHolder(), Dialect: plainDialect{}, OnChange: func() {}, OnLeave: func() {},
		OnAttempt: func(sender identifier.Incarnation) { *senders = append(*senders, sender) },
		Logger:    slog.New(slog.DiscardHandler),
	})
}

// Guards against senders that get no load changes because their attempts were not
// recorded, and against recording the sender of an attempt for another instance.
func TestHandleRecordsSender(t *testing.T) {
	cases := []struct {
		name     string
		target   identifier.InstanceID
		recorded int
	}{
		{"an attempt for this instance", "own", 1},
		{"an attempt for another", "other", 0},
	}
	for _, c := range cases {
		var senders []identifier.Incarnation
		a := newAdmission(&senders)
		a.setDown("the test has no backend server")
		x := &exchanger.Exchange{}
		encoder.Attempt{
			ID: identifier.AttemptID{Origin: 7, Sequence: 1}, Target: c.target, Remaining: timer.Second,
		}.Encode(&x.Request.Header)
		a.Handle(x)
		if len(senders) != c.recorded || c.recorded > 0 && senders[0] != 7 {
			t.Errorf("%s: recorded senders %v", c.name, senders)
		}
	}
}
