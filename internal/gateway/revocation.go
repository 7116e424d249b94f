package gateway

import (
	"context"
	"time"

	"github.com/hornbeamlock/hornbeamlock/internal/verdict"
)

// callerCheckInterval is the interval at which callers are checked even without a
// change.
const callerCheckInterval = time.Second

// monitorCallers interrupts the callers whose sessions have to end, after a change of
// the configuration or when the instance drains.
func (s *Server) monitorCallers(ctx context.Context) error {
	ticker := time.NewTicker(callerCheckInterval)
	defer ticker.Stop()
	for {
		configuration := s.cfg.Board.Configuration.Changed()
		draining := s.cfg.Board.Draining.Changed()
		s.callers.each(s.checkCaller)
		select {
		case <-ctx.Done():
			return nil
		case <-configuration:
		case <-draining:
		case <-ticker.C:
		}
	}
}

// checkCaller interrupts a caller if its session may have to end.
func (s *Server) checkCaller(c *caller) {
	if s.isDraining() {
		c.interrupt()
	}
	identity := c.identity.Load()
	if identity == nil {
		return
	}
	if reason := s.revocationReason(identity); reason != nil {
		c.interrupt()
		time.AfterFunc(s.cfg.KeyWithdrawalGracePeriod, c.cancelStatement)
	}
}

// revocationReason returns why a logged-in caller must disconnect, or nil.
func (s *Server) revocationReason(i *identity) *verdict.Error {
	view := s.cfg.Board.Configuration.Get()
	service, ok := view.Services[i.service]
	if !ok {
		return verdict.New(verdict.NotRun, verdict.CodeAdminShutdown, "the service was removed")
	}
	if i.keyID == "" {
		if service.GetOpenToAll() {
			return nil
		}
		return verdict.New(verdict.NotRun, verdict.CodeAdminShutdown, "the service is no longer open to all")
	}
	key, ok := view.Keys[i.keyID]
	if !ok || key.GetOrganisation() != i.organisation {
		return verdict.New(verdict.NotRun, verdict.CodeAdminShutdown, "the key was withdrawn")
	}
	if _, ok := view.Organisations[i.organisation]; !ok {
		return verdict.New(verdict.NotRun, verdict.CodeAdminShutdown, "the organisation was removed")
	}
	return nil
}

// servingLeaseError returns an error while the instance holds no valid serving lease.
func (s *Server) servingLeaseError() *verdict.Error {
	if s.cfg.Board.Lease.Get().Lease.Valid(s.cfg.Clock()) {
		return nil
	}
	return verdict.New(verdict.NotRun, verdict.CodeCannotConnectNow,
		"this instance may not serve at present").WithRetryAfter(time.Second)
}
