// Package dispatcher carries requests from callers to backend servers in two
// hops. Ingress takes a caller's request and picks an instance; Admission, in the
// daemon beside that instance, decides whether the request may start and runs it.
// The decisions are made by router, selector, retrier, admitter and quarantiner;
// this package does the I/O on the connections of exchanger.
//
// Small interfaces separate what differs between deployments: Dialect translates
// header names, Members lists the known instances.
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
	"github.com/magnoliaknot/magnoliaknot/internal/protocol/separator"
	"github.com/magnoliaknot/magnoliaknot/internal/state/registrar"
	"github.com/magnoliaknot/magnoliaknot/pkg/identifier"
	"github.com/magnoliaknot/magnoliaknot/pkg/timer"
)

// Error is the class of errors of this package.
var Error = errs.Class("dispatcher")

// Verdict classifies an answer that came from the backend server's address.
type Verdict int

// Verdicts on answers.
const (
	// Genuine is the backend server's own answer.
	Genuine Verdict = iota
	// Declined means that the backend server did not run the request.
	Declined
	// Misdirected means that another backend server has the address.
	Misdirected
	// Untrusted means that the answer is not the backend server's; the request may
	// have run.
	Untrusted
)

// BackendLoad is the load that a backend server reports with an answer.
type BackendLoad struct {
	Running, Waiting, Slots int
	// SlowdownPercent is how long work takes on the VM, in percent of its usual time.
	// Zero means that it was not reported; 100 is usual.
	SlowdownPercent int
}

// Health is the content of a backend server's health page.
type Health struct {
	// Backend is empty if the page names none.
	Backend identifier.BackendID
	// ColdFor is how long the backend server stays cold. ColdUnreadable says that the answer
	// does not tell.
	ColdFor        timer.Millis
	ColdUnreadable bool
}

// Dialect translates the headers between callers, daemons and backend servers.
type Dialect interface {
	// EndToEnd returns the headers on which callers, daemons and backend servers rely. A
	// Connection header cannot remove them.
	EndToEnd() []string
	// RequestFields returns the headers of requests that the dialect reads and passes on, and
	// those that it removes or sets.
	RequestFields() (read, own []string)
	// RequestID returns the id that the caller gave its request.
	RequestID(header *fasthttp.RequestHeader) []byte
	// TimeLeft returns how long the caller still waits, or false if the request does
	// not say.
	TimeLeft(header *fasthttp.RequestHeader) (timer.Millis, bool)
	// PrepareRequest removes headers that callers may not set and adds the name of
	// the calling service.
	PrepareRequest(header *fasthttp.RequestHeader, caller identifier.ServiceName)
	// Key returns the key of a client account in a request, or none. It is not valid if
	// the request has several or an unreadable one.
	Key(header *fasthttp.RequestHeader) (key []byte, valid bool)
	// SetAccount removes the key and whatever the caller says of its account, and names
	// the account to the backend server if there is one.
	SetAccount(header *fasthttp.RequestHeader, account identifier.AccountName)
	// SetTarget adds the backend server that may run the request and the time left
	// for it.
	SetTarget(header *fasthttp.RequestHeader, backend identifier.BackendID, left timer.Millis)
	// MatchesRequest reports whether an answer belongs to the request with the given
	// id. On a reused connection it may be a late one to an earlier request.
	MatchesRequest(header *fasthttp.ResponseHeader, requestID []byte, reused bool) bool
	// MatchesCheck reports whether an answer may be to a health check. On a reused connection
	// it may be a late one to a request.
	MatchesCheck(header *fasthttp.ResponseHeader, reused bool) bool
	// Classify returns the verdict on an answer.
	Classify(response *fasthttp.Response) Verdict
	// Load returns the load that came with an answer.
	Load(header *fasthttp.ResponseHeader) (BackendLoad, bool)
	// Notice returns what the backend server says about itself in an answer.
	Notice(header *fasthttp.ResponseHeader) Notice
	// Health decodes an answer of the health page.
	Health(response *fasthttp.Response) Health
	// WriteRefusal replaces a response with a refusal by the daemon.
	WriteRefusal(response *fasthttp.Response, request *fasthttp.RequestHeader, refusal encoder.Refusal)
}

// NewNames returns the fields of requests that ingress and admission read or set. The others
// are passed on as they arrive.
func NewNames(dialect Dialect) *separator.Names {
	read, own := dialect.RequestFields()
	return separator.NewNames(append(encoder.ReadHeaders(), read...), append(encoder.InternalHeaders(), own...))
}

// Members lists the known instances. It is safe for concurrent use.
type Members interface {
	// Version increases when a member joins, leaves or changes in anything but its
	// load.
	Version() uint64
	// Instances returns the members of a service that accept attempts.
	Instances(service identifier.ServiceName) []registrar.Member
	// ActiveCount returns the number of daemons that reported recently, including
	// this one.
	ActiveCount() int
}
