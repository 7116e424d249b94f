package faults

import (
	"os"
	"syscall"
	"time"

	"github.com/hornbeamlock/hornbeamlock/internal/harness"
	"github.com/hornbeamlock/hornbeamlock/internal/relay"
	standin "github.com/hornbeamlock/hornbeamlock/internal/standin/platform"
)

// fault is a fault to inject. begin starts it and returns the function that ends it.
type fault struct {
	name  string
	begin func(s *fixture) (heal func())
	inCI  bool
}

// allFaults are the faults that are injected alone.
var allFaults = []fault{
	{name: "primary on the minority side", begin: primaryDomainBlocked, inCI: true},
	{name: "primary dies", begin: primaryDies, inCI: true},
	{name: "primary pauses", begin: primaryPauses},
	{name: "primary's links close", begin: primaryLinksClosed},
	{name: "replicas fall behind", begin: replicasBehind},
	{name: "instance killed in mid-transaction", begin: instanceKilled, inCI: true},
	{name: "key withdrawn", begin: keyWithdrawn, inCI: true},
	{name: "store down", begin: platformDown, inCI: true},
	{name: "store slow", begin: platformSlow},
	{name: "store silent", begin: platformHangs},
	{name: "store's answers lost", begin: commitResponsesLost},
	{name: "lease lapses at a paused holder", begin: leaseHolderPaused, inCI: true},
	{name: "operators race", begin: operatorsRace, inCI: true},
	{name: "silent connections", begin: connectionsBlackholed, inCI: true},
	{name: "failure domain cut off", begin: domainBlocked},
	{name: "instances replaced in turn", begin: rollingReplacement},
}

// pairFaults are the faults that are injected in pairs, and twice in succession.
var pairFaults = []fault{
	{name: "primary on the minority side", begin: primaryDomainBlocked},
	{name: "store down", begin: platformDown},
	{name: "instance killed in mid-transaction", begin: instanceKilled},
	{name: "key withdrawn", begin: keyWithdrawn},
	{name: "lease lapses at a paused holder", begin: leaseHolderPaused},
	{name: "silent connections", begin: connectionsBlackholed},
	{name: "operators race", begin: operatorsRace},
}

func primaryDomainBlocked(s *fixture) func() {
	primary := s.fleet.Groups[0].Primary()
	if primary == nil {
		return func() {}
	}
	return s.blockDomain(primary.FailureDomain(), false)
}

func domainBlocked(s *fixture) func() {
	return s.blockDomain(s.fleet.Instances[1].FailureDomain, true)
}

// blockDomain blocks all links between a failure domain and the others, and with
// includePlatform also the link to the platform.
func (s *fixture) blockDomain(domain string, includePlatform bool) func() {
	return s.faultDomainLinks(domain, includePlatform, relay.Fault{Blocked: true})
}

// faultDomainLinks sets the fault on the same links as blockDomain.
func (s *fixture) faultDomainLinks(domain string, includePlatform bool, fault relay.Fault) func() {
	var others []string
	for _, process := range s.fleet.Instances {
		if process.FailureDomain != domain {
			others = append(others, process.FailureDomain)
		}
	}
	if includePlatform {
		others = append(others, harness.PlatformDomain)
	}
	for _, other := range others {
		s.fleet.Links.SetBoth(domain, other, fault)
	}
	return func() {
		for _, other := range others {
			s.fleet.Links.SetBoth(domain, other, relay.Fault{})
		}
	}
}

func primaryDies(s *fixture) func() {
	primary := s.fleet.Groups[0].Primary()
	primary.Kill()
	return func() {
		if err := primary.Restart(); err != nil {
			s.t.Error(err)
		}
	}
}

func primaryPauses(s *fixture) func() {
	primary := s.fleet.Groups[0].Primary()
	primary.Pause()
	return primary.Resume
}

func primaryLinksClosed(s *fixture) func() {
	domain := s.fleet.Groups[0].Primary().FailureDomain()
	return s.faultDomainLinks(domain, true, relay.Fault{Cut: true})
}

func replicasBehind(s *fixture) func() {
	set := func(minimum, maximum time.Duration) {
		for _, group := range s.fleet.Groups {
			for _, server := range group.Servers() {
				server.SetReplayLag(minimum, maximum)
			}
		}
	}
	set(3*time.Second, 5*time.Second)
	return func() { set(0, 0) }
}

func instanceKilled(s *fixture) func() {
	process := s.fleet.Instances[2]
	s.openTransaction(process)
	s.signal(process, syscall.SIGKILL)
	return func() {
		if err := process.Start(); err != nil {
			s.t.Error(err)
		}
	}
}

func leaseHolderPaused(s *fixture) func() {
	process := s.fleet.Instances[3]
	process.Signal(syscall.SIGSTOP)
	stopped := time.Now()
	return func() {
		time.Sleep(time.Until(stopped.Add(process.Settings.Membership.Lease + time.Second)))
		process.Signal(syscall.SIGCONT)
	}
}

// signal sends a signal that ends the process, and waits until it has ended.
func (s *fixture) signal(process *harness.Process, signal os.Signal) {
	if err := process.Stop(s.t.Context(), signal); err != nil {
		s.t.Error(err)
	}
}

func platformDown(s *fixture) func() {
	s.fleet.Platform.SetFault(standin.Fault{Unavailable: true})
	return s.clearPlatformFault
}

func platformSlow(s *fixture) func() {
	s.fleet.Platform.SetFault(standin.Fault{Latency: 1500 * time.Millisecond})
	return s.clearPlatformFault
}

func platformHangs(s *fixture) func() {
	s.fleet.Platform.SetFault(standin.Fault{Hang: true})
	return s.clearPlatformFault
}

func (s *fixture) clearPlatformFault() { s.fleet.Platform.SetFault(standin.Fault{}) }

func connectionsBlackholed(s *fixture) func() {
	for _, from := range s.fleet.Instances {
		for _, to := range s.fleet.Instances {
			s.fleet.Links.BlackholeConnections(relay.Direction{From: from.FailureDomain, To: to.FailureDomain})
		}
	}
	return func() {}
}

func rollingReplacement(s *fixture) func() {
	for _, process := range s.fleet.Instances {
		s.signal(process, syscall.SIGTERM)
		if err := process.Start(); err != nil {
			s.t.Error(err)
		}
		if err := process.AwaitReady(s.t.Context()); err != nil {
			s.t.Error(err)
		}
	}
	return func() {}
}
