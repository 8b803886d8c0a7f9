// Package authenticator authenticates operators of the administration API.
//
// An operator sends a bearer token. Settings hold only the SHA-256 hash of each
// token with the operator's name and role. If no operators are configured, every
// call is refused.
//
// # Usage
//
//	a := authenticator.New(settings.Operators)
//	path, handler := administratorconnect.NewAdministratorHandler(server, connect.WithInterceptors(a))
//	...
//	operator, err := authenticator.Require(ctx, authenticator.RolePublisher)
package authenticator

import (
	"context"
	"crypto/sha256"
	"crypto/subtle"
	"encoding/hex"
	"strings"

	"connectrpc.com/connect"
	"github.com/zeebo/errs"

	"github.com/magnoliaknot/magnoliaknot/pkg/identifier"
)

// Error is the class of errors of this package.
var Error = errs.Class("authenticator")

// Role is the set of permissions of an operator.
type Role string

// Roles of operators. A publisher has all permissions of a viewer.
const (
	RoleViewer    Role = "viewer"
	RolePublisher Role = "publisher"
)

// Hash is the SHA-256 hash of a token.
type Hash [sha256.Size]byte

// UnmarshalText decodes 64 hexadecimal digits.
func (h *Hash) UnmarshalText(text []byte) error {
	decoded, err := hex.DecodeString(string(text))
	if err != nil || len(decoded) != len(h) {
		return Error.New("token hash is not %d hexadecimal digits", 2*len(h))
	}
	copy(h[:], decoded)
	return nil
}

// MarshalText encodes the hash in hexadecimal.
func (h Hash) MarshalText() ([]byte, error) { return []byte(hex.EncodeToString(h[:])), nil }

// HashToken returns the hash of a token.
func HashToken(token string) Hash { return sha256.Sum256([]byte(token)) }

// Operator is a person or program that may use the administration API.
type Operator struct {
	Name        identifier.OperatorName `json:"name"`
	TokenSHA256 Hash                    `json:"token_sha256"`
	Role        Role                    `json:"role"`
}

// Authenticator is a connect interceptor that authenticates the operator of each
// call.
type Authenticator struct {
	operators []Operator
}

// New returns an authenticator for the operators of the settings.
func New(operators []Operator) *Authenticator { return &Authenticator{operators: operators} }

type operatorKey struct{}

// Identify returns the operator whose token is in an Authorization header. It
// compares every hash, so that the time taken does not depend on the token.
func (a *Authenticator) Identify(authorization string) (Operator, error) {
	token, found := strings.CutPrefix(authorization, "Bearer ")
	if !found {
		return Operator{}, Error.New("bearer token is missing")
	}
	hash := HashToken(token)
	matched := -1
	for i := range a.operators {
		if subtle.ConstantTimeCompare(hash[:], a.operators[i].TokenSHA256[:]) == 1 {
			matched = i
		}
	}
	if matched < 0 {
		return Operator{}, Error.New("token belongs to no operator")
	}
	return a.operators[matched], nil
}

// Require returns the operator of a call, or an error if the operator lacks the
// permissions of the role.
func Require(ctx context.Context, role Role) (Operator, error) {
	operator, found := ctx.Value(operatorKey{}).(Operator)
	if !found {
		return Operator{}, connect.NewError(connect.CodeUnauthenticated, Error.New("call has no authenticated operator"))
	}
	if role == RolePublisher && operator.Role != RolePublisher {
		return Operator{}, connect.NewError(connect.CodePermissionDenied, Error.New("operator %s lacks the publisher role", operator.Name))
	}
	return operator, nil
}

// WrapUnary authenticates the operator before a call is handled.
func (a *Authenticator) WrapUnary(next connect.UnaryFunc) connect.UnaryFunc {
	return func(ctx context.Context, request connect.AnyRequest) (connect.AnyResponse, error) {
		operator, err := a.Identify(request.Header().Get("Authorization"))
		if err != nil {
			return nil, connect.NewError(connect.CodeUnauthenticated, err)
		}
		return next(context.WithValue(ctx, operatorKey{}, operator), request)
	}
}

// WrapStreamingClient returns the streaming client unchanged.
func (a *Authenticator) WrapStreamingClient(next connect.StreamingClientFunc) connect.StreamingClientFunc {
	return next
}

// WrapStreamingHandler refuses streaming calls; the administration API has none.
func (a *Authenticator) WrapStreamingHandler(connect.StreamingHandlerFunc) connect.StreamingHandlerFunc {
	return func(context.Context, connect.StreamingHandlerConn) error {
		return connect.NewError(connect.CodeUnimplemented, Error.New("streaming calls are not supported"))
	}
}
