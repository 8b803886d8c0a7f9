// Package dispatcher carries requests from callers to backend servers in two
// hops. Ingress takes a caller's request and picks an instance; Admission, in the
// daemon beside that instance, decides whether the request may start and runs it.
// The decisions are made by router, selector, retrier, admitter and quarantiner;
// this package does the I/O around them on exchanger's connections.
//
// What differs between deployments stands behind small interfaces: Dialect
// translates header names, Members tells which instances there are.
//
// # Usage
//
//	admission := dispatcher.NewAdmission(dispatcher.AdmissionConfig{...})
//	ingress := dispatcher.NewIngress(dispatcher.IngressConfig{Admission: admission, ...})
//	callers := exchanger.NewServer(exchanger.ServerConfig{Handler: ingress, ...})
//	peers := exchanger.NewServer(exchanger.ServerConfig{Handler: exchanger.HandlerFunc(admission.Handle), ...})
package dispatcher

import (
	"github.com/valyala/fasthttp"
	"github.com/zeebo/errs"

	"github.com/magnoliaknot/magnoliaknot/internal/protocol/encoder"
	"github.com/magnoliaknot/magnoliaknot/internal/state/registrar"
	"github.com/magnoliaknot/magnoliaknot/pkg/identifier"
	"github.com/magnoliaknot/magnoliaknot/pkg/timer"
)

// Error is the class of errors of this package.
var Error = errs.Class("dispatcher")

// Verdict says what an answer from a backend server's address is worth.
type Verdict int

// Verdicts on answers.
const (
	// Genuine is the backend server's own answer.
	Genuine Verdict = iota
	// Declined means that the backend server did not run the request.
	Declined
	// Misdirected means that another backend server has the address.
	Misdirected
	// Spoiled means that the answer is not the backend server's; the request may
	// have run.
	Spoiled
)

// BackendLoad is what a backend server tells of its load with an answer.
type BackendLoad struct {
	Running, Waiting, Slots int
	// SlowdownPercent is how long work takes on the VM; 100 is as usual. Zero
	// means that it was not told.
	SlowdownPercent int
}

// Health is what a backend server's health page says.
type Health struct {
	// Backend is empty if the page names none.
	Backend identifier.BackendID
	// ColdFor is how long the backend server stays cold.
	ColdFor timer.Millis
}

// Dialect translates the headers between callers, daemons and backend servers.
type Dialect interface {
	// RequestID returns the id that the caller gave its request.
	RequestID(header *fasthttp.RequestHeader) []byte
	// TimeLeft returns how long the caller waits, or false if it does not say.
	TimeLeft(header *fasthttp.RequestHeader) (timer.Millis, bool)
	// Accept removes headers that callers may not set and names the calling service.
	Accept(header *fasthttp.RequestHeader, caller identifier.ServiceName)
	// Address names the backend server that may run the request and the time it
	// has.
	Address(header *fasthttp.RequestHeader, backend identifier.BackendID, left timer.Millis)
	// Belongs reports whether an answer is to the request with an id.
	Belongs(header *fasthttp.ResponseHeader, requestID []byte) bool
	// Judge tells what an answer is worth.
	Judge(response *fasthttp.Response) Verdict
	// Load returns the load that came with an answer.
	Load(header *fasthttp.ResponseHeader) (BackendLoad, bool)
	// Health reads an answer of the health page.
	Health(response *fasthttp.Response) Health
	// Refuse turns a response into a refusal of our own.
	Refuse(response *fasthttp.Response, request *fasthttp.RequestHeader, refusal encoder.Refusal)
}

// Members tells which instances there are. It is safe for concurrent use.
type Members interface {
	// Version grows when a member comes, goes or changes other than in load.
	Version() uint64
	// Instances returns the members of a service that take attempts.
	Instances(service identifier.ServiceName) []registrar.Member
	// ActiveCount returns the number of daemons heard of lately, with this one.
	ActiveCount() int
}
