package runner

import (
	"fmt"
	"net/http"

	"connectrpc.com/connect"

	"github.com/magnoliaknot/magnoliaknot/internal/authenticator"
	"github.com/magnoliaknot/magnoliaknot/internal/state/tracker"
	"github.com/magnoliaknot/magnoliaknot/internal/transport/appender"
	"github.com/magnoliaknot/magnoliaknot/internal/transport/manager"
	"github.com/magnoliaknot/magnoliaknot/pkg/administrator"
	"github.com/magnoliaknot/magnoliaknot/pkg/administrator/administratorconnect"
	"github.com/magnoliaknot/magnoliaknot/pkg/identifier"
	"github.com/magnoliaknot/magnoliaknot/pkg/parser"
	"github.com/magnoliaknot/magnoliaknot/pkg/reporter"
)

// maxSheetBytes is the maximum size of a sheet received over the administration
// API.
const maxSheetBytes = 16 << 20

func (d *daemon) mountAdministration(mux *http.ServeMux) {
	api := manager.New(manager.Config{
		Configuration: d.configuration, Publisher: d.publisher, Clock: d.clock,
		Announced: d.checkAnnouncedSlots, Status: d.status, Logger: d.logger,
	})
	path, handler := administratorconnect.NewAdministratorHandler(api,
		connect.WithInterceptors(authenticator.New(d.settings.Authenticated())), connect.WithReadMaxBytes(maxSheetBytes), connect.WithCompressMinBytes(maxSheetBytes))
	mux.Handle(path, handler)
}

// checkAnnouncedSlots adds a finding for each service whose max_in_flight exceeds
// the largest slot count announced by its instances. A service without instances
// is not checked.
func (d *daemon) checkAnnouncedSlots(sheet *parser.Sheet, findings *reporter.Findings) {
	for i, service := range sheet.Services {
		var maxSlots identifier.Slots
		for _, m := range d.membership.Instances(service.Name) {
			maxSlots = max(maxSlots, m.Slots)
		}
		if maxSlots > 0 && service.MaxInFlight > maxSlots {
			findings.Add(fmt.Sprintf("services[%d].max_in_flight", i), service.MaxInFlight,
				fmt.Sprintf("is more than the %d slots that instances of %s announced", maxSlots, service.Name))
		}
	}
}

// status returns the state of the daemon, the failure domains and the instances.
func (d *daemon) status() *administrator.GetStatusResponse {
	view := d.configuration.View()
	folded, _ := d.configuration.Folded()
	follower := d.followers[appender.Configuration]
	s := &administrator.GetStatusResponse{
		Instance: string(d.settings.Node), Incarnation: uint64(d.incarnation),
		FailureDomain: string(d.settings.FailureDomain), Region: string(d.settings.Region),
		ConfigurationVersion: uint64(view.Version), ConfigurationOffset: uint64(folded),
		ConfirmedAgeMs: int64(follower.ConfirmedAge()), LogState: "confirmed",
	}
	if follower.ConfirmedAge() > confirmedMaxAge {
		s.LogState = "not confirmed"
	}
	if view.Sheet == nil {
		return s
	}
	wall := d.clock.Wall()
	for _, domain := range view.Sheet.FailureDomains {
		state := view.Schedule.Domain(wall, domain.Name)
		s.FailureDomains = append(s.FailureDomains, &administrator.DomainStatus{
			FailureDomain: string(domain.Name), Out: state.Out, RampShare: state.RampShare,
		})
	}
	for _, service := range view.Sheet.Services {
		for _, m := range d.membership.Instances(service.Name) {
			s.Instances = append(s.Instances, d.instanceStatus(m))
		}
	}
	return s
}

func (d *daemon) instanceStatus(m tracker.Member) *administrator.InstanceStatus {
	s := &administrator.InstanceStatus{
		Instance: string(m.Instance), Service: string(m.Service), FailureDomain: string(m.FailureDomain),
		Address: string(m.Peer), State: m.State.String(),
	}
	if m.Instance == d.settings.Node {
		admission, _ := d.admission.Status()
		s.RequestsInFlight = int64(admission.Load.InFlight)
	}
	return s
}
