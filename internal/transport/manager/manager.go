// Package manager serves the administration API of a daemon.
//
// # Usage
//
//	m := manager.New(manager.Config{...})
//	path, handler := administratorconnect.NewAdministratorHandler(m, connect.WithInterceptors(authenticator))
//	mux.Handle(path, handler)
package manager

import (
	"context"
	"crypto/rand"
	"encoding/json"
	"fmt"
	"log/slog"

	"connectrpc.com/connect"
	"github.com/zeebo/errs"

	"github.com/magnoliaknot/magnoliaknot/internal/authenticator"
	"github.com/magnoliaknot/magnoliaknot/internal/coordination/holder"
	"github.com/magnoliaknot/magnoliaknot/internal/coordination/publisher"
	"github.com/magnoliaknot/magnoliaknot/internal/state/reducer"
	"github.com/magnoliaknot/magnoliaknot/pkg/administrator"
	"github.com/magnoliaknot/magnoliaknot/pkg/administrator/administratorconnect"
	"github.com/magnoliaknot/magnoliaknot/pkg/identifier"
	"github.com/magnoliaknot/magnoliaknot/pkg/parser"
	"github.com/magnoliaknot/magnoliaknot/pkg/reporter"
	"github.com/magnoliaknot/magnoliaknot/pkg/timer"
)

// Error is the class of errors of this package.
var Error = errs.Class("administration")

const (
	defaultAuditEntries = 50
	maxAuditEntries     = 1000
)

// Publisher appends a change and determines its outcome.
type Publisher interface {
	Publish(ctx context.Context, id identifier.ChangeID, payload []byte) (publisher.Outcome, error)
}

// Config holds what the API needs.
type Config struct {
	Configuration *holder.Configuration
	Publisher     Publisher
	Clock         timer.Clock
	// Announced adds a finding for each limit above the value that instances
	// announced.
	Announced func(sheet *parser.Sheet, findings *reporter.Findings)
	Status    func() *administrator.GetStatusResponse
	Logger    *slog.Logger
}

// Manager implements the administration API.
type Manager struct{ config Config }

var _ administratorconnect.AdministratorHandler = (*Manager)(nil)

// New returns the API of a daemon.
func New(config Config) *Manager { return &Manager{config: config} }

// CheckSheet lists the findings of a sheet.
func (m *Manager) CheckSheet(ctx context.Context, request *administrator.CheckSheetRequest) (*administrator.CheckSheetResponse, error) {
	if _, err := authenticator.Require(ctx, authenticator.RoleViewer); err != nil {
		return nil, err
	}
	_, findings := m.decode(request.Sheet)
	return &administrator.CheckSheetResponse{Findings: encodeFindings(findings)}, nil
}

// DiffSheet lists the edits from the current sheet to the given one.
func (m *Manager) DiffSheet(ctx context.Context, request *administrator.DiffSheetRequest) (*administrator.DiffSheetResponse, error) {
	if _, err := authenticator.Require(ctx, authenticator.RoleViewer); err != nil {
		return nil, err
	}
	view := m.config.Configuration.View()
	answer := &administrator.DiffSheetResponse{Version: uint64(view.Version)}
	sheet, findings := m.decode(request.Sheet)
	if len(findings) > 0 {
		answer.Findings = encodeFindings(findings)
		return answer, nil
	}
	for _, edit := range parser.Diff(view.Sheet, sheet) {
		answer.Edits = append(answer.Edits, edit.String())
	}
	return answer, nil
}

// PublishChange publishes the edits from the current sheet to the given one and
// returns the outcome.
func (m *Manager) PublishChange(ctx context.Context, request *administrator.PublishChangeRequest) (*administrator.PublishChangeResponse, error) {
	operator, err := authenticator.Require(ctx, authenticator.RolePublisher)
	if err != nil {
		return nil, err
	}
	view := m.config.Configuration.View()
	answer := &administrator.PublishChangeResponse{
		Version: uint64(view.Version), ChangeId: request.ChangeId,
		Result: administrator.PublishChangeResponse_RESULT_REJECTED,
	}
	if answer.ChangeId == "" {
		answer.ChangeId = rand.Text()
	}
	id := identifier.ChangeID(answer.ChangeId)
	if !reducer.IsIdentifier(answer.ChangeId) {
		return nil, connect.NewError(connect.CodeInvalidArgument, Error.New("change id is not 1 to 64 visible ASCII characters"))
	}
	if entry, found := m.config.Configuration.AuditEntry(id); found {
		return withEntry(answer, entry), nil
	}
	if request.BaseVersion != 0 && identifier.Version(request.BaseVersion) != view.Version {
		answer.Reason = string(reducer.ReasonStaleBase)
		return answer, nil
	}
	sheet, findings := m.decode(request.Sheet)
	if len(findings) > 0 {
		answer.Reason, answer.Findings = string(reducer.ReasonInvalidSheet), encodeFindings(findings)
		return answer, nil
	}
	edits := parser.Diff(view.Sheet, sheet)
	if len(edits) == 0 {
		answer.Result = administrator.PublishChangeResponse_RESULT_UNCHANGED
		return answer, nil
	}
	return m.publish(ctx, answer, reducer.Change{
		Kind: reducer.KindChange, ID: id, BaseVersion: view.Version, Operator: operator.Name,
		PublishedAt: m.config.Clock.Wall(), Comment: request.Comment, Edits: edits,
	})
}

func (m *Manager) publish(ctx context.Context, answer *administrator.PublishChangeResponse, change reducer.Change) (*administrator.PublishChangeResponse, error) {
	payload, err := json.Marshal(change)
	if err != nil {
		return nil, connect.NewError(connect.CodeInternal, Error.Wrap(err))
	}
	outcome, err := m.config.Publisher.Publish(ctx, change.ID, payload)
	m.config.Logger.Info("change published", "change_id", change.ID, "operator", change.Operator, "fate", outcome.String(), "cause", fmt.Sprint(err))
	if err != nil {
		answer.Reason = err.Error()
	}
	switch outcome {
	case publisher.Accepted, publisher.Rejected:
		if entry, found := m.config.Configuration.AuditEntry(change.ID); found {
			return withEntry(answer, entry), nil
		}
	case publisher.Absent:
		answer.Result = administrator.PublishChangeResponse_RESULT_NOT_PUBLISHED
		return answer, nil
	case publisher.Unknown:
	}
	answer.Result = administrator.PublishChangeResponse_RESULT_UNKNOWN
	return answer, nil
}

func withEntry(answer *administrator.PublishChangeResponse, entry reducer.AuditEntry) *administrator.PublishChangeResponse {
	answer.Version = uint64(entry.Version)
	answer.Reason = string(entry.Reason)
	answer.Findings = encodeFindings(entry.Findings)
	answer.Result = administrator.PublishChangeResponse_RESULT_REJECTED
	if entry.Result == reducer.ResultAccepted {
		answer.Result = administrator.PublishChangeResponse_RESULT_ACCEPTED
	}
	return answer
}

// GetStatus returns the status of the daemon.
func (m *Manager) GetStatus(ctx context.Context, _ *administrator.GetStatusRequest) (*administrator.GetStatusResponse, error) {
	if _, err := authenticator.Require(ctx, authenticator.RoleViewer); err != nil {
		return nil, err
	}
	return m.config.Status(), nil
}

// ListAudit lists changes, newest first.
func (m *Manager) ListAudit(ctx context.Context, request *administrator.ListAuditRequest) (*administrator.ListAuditResponse, error) {
	if _, err := authenticator.Require(ctx, authenticator.RoleViewer); err != nil {
		return nil, err
	}
	limit := int(request.Limit)
	if limit == 0 {
		limit = defaultAuditEntries
	}
	entries, oldest := m.config.Configuration.Audit(min(limit, maxAuditEntries))
	answer := &administrator.ListAuditResponse{OldestOffset: uint64(oldest)}
	for _, e := range entries {
		answer.Entries = append(answer.Entries, &administrator.AuditEntry{
			Offset: uint64(e.Offset), ChangeId: string(e.ChangeID), Operator: string(e.Operator),
			PublishedAtMs: int64(e.PublishedAt), BaseVersion: uint64(e.BaseVersion), Version: uint64(e.Version),
			Result: string(e.Result), Reason: string(e.Reason), Comment: e.Comment, Edits: e.Edits,
		})
	}
	return answer, nil
}

func (m *Manager) decode(data []byte) (*parser.Sheet, []reporter.Finding) {
	sheet, err := parser.Decode(data)
	if err != nil {
		return nil, findingsOf(err)
	}
	var findings reporter.Findings
	m.config.Announced(sheet, &findings)
	return sheet, findings.List()
}

func findingsOf(err error) []reporter.Finding {
	if list := parser.FindingsOf(err); len(list) > 0 {
		return list
	}
	return []reporter.Finding{{Place: "sheet", Reason: err.Error()}}
}

func encodeFindings(findings []reporter.Finding) []*administrator.Finding {
	encoded := make([]*administrator.Finding, 0, len(findings))
	for _, f := range findings {
		encoded = append(encoded, &administrator.Finding{Place: f.Place, Value: f.Value, Reason: f.Reason})
	}
	return encoded
}
