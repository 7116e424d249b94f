package faults

import (
	"os"
	"syscall"
	"time"

	"github.com/hornbeamlock/hornbeamlock/internal/harness"
	"github.com/hornbeamlock/hornbeamlock/internal/relay"
	standin "github.com/hornbeamlock/hornbeamlock/internal/standin/platform"
)

// fault is something that goes wrong. Begin starts it and returns how it ends.
type fault struct {
	name  string
	begin func(s *situation) (heal func())
	inCI  bool
}

// allFaults are the faults that are tried alone.
var allFaults = []fault{
	{name: "primary on the minority side", begin: primaryCutOff, inCI: true},
	{name: "primary dies", begin: primaryDies, inCI: true},
	{name: "primary pauses", begin: primaryPauses},
	{name: "primary's links close", begin: primaryUnlinked},
	{name: "replicas fall behind", begin: replicasBehind},
	{name: "instance killed in mid-transaction", begin: instanceKilled, inCI: true},
	{name: "key withdrawn", begin: keyWithdrawn, inCI: true},
	{name: "store down", begin: storeDown, inCI: true},
	{name: "store slow", begin: storeSlow},
	{name: "store silent", begin: storeSilent},
	{name: "store's answers lost", begin: answersLost},
	{name: "lease lapses at a paused holder", begin: holderPaused, inCI: true},
	{name: "operators race", begin: operatorsRace, inCI: true},
	{name: "silent connections", begin: silentConnections, inCI: true},
	{name: "failure domain cut off", begin: domainCutOff},
	{name: "instances replaced in turn", begin: rollingReplacement},
}

// pairFaults are the faults that are tried two at a time.
var pairFaults = []fault{
	{name: "primary on the minority side", begin: primaryCutOff},
	{name: "store down", begin: storeDown},
	{name: "instance killed in mid-transaction", begin: instanceKilled},
	{name: "key withdrawn", begin: keyWithdrawn},
	{name: "lease lapses at a paused holder", begin: holderPaused},
	{name: "silent connections", begin: silentConnections},
	{name: "operators race", begin: operatorsRace},
}

func primaryCutOff(s *situation) func() {
	primary := s.fleet.Groups[0].Primary()
	if primary == nil {
		return func() {}
	}
	return s.cut(primary.FailureDomain(), false)
}

func domainCutOff(s *situation) func() {
	return s.cut(s.fleet.Instances[1].FailureDomain, true)
}

// cut separates a failure domain from all others, and from the platform if asked.
func (s *situation) cut(domain string, fromPlatform bool) func() {
	return s.cutBy(domain, fromPlatform, relay.Fault{Blocked: true})
}

func (s *situation) cutBy(domain string, fromPlatform bool, fault relay.Fault) func() {
	var others []string
	for _, process := range s.fleet.Instances {
		if process.FailureDomain != domain {
			others = append(others, process.FailureDomain)
		}
	}
	if fromPlatform {
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

func primaryDies(s *situation) func() {
	primary := s.fleet.Groups[0].Primary()
	primary.Kill()
	return func() {
		if err := primary.Restart(); err != nil {
			s.t.Error(err)
		}
	}
}

func primaryPauses(s *situation) func() {
	primary := s.fleet.Groups[0].Primary()
	primary.Pause()
	return primary.Resume
}

func primaryUnlinked(s *situation) func() {
	domain := s.fleet.Groups[0].Primary().FailureDomain()
	return s.cutBy(domain, true, relay.Fault{Cut: true})
}

func replicasBehind(s *situation) func() {
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

func instanceKilled(s *situation) func() {
	process := s.fleet.Instances[2]
	s.openTransaction(process)
	s.signal(process, syscall.SIGKILL)
	return func() {
		if err := process.Start(); err != nil {
			s.t.Error(err)
		}
	}
}

func holderPaused(s *situation) func() {
	process := s.fleet.Instances[3]
	process.Signal(syscall.SIGSTOP)
	stopped := time.Now()
	return func() {
		time.Sleep(time.Until(stopped.Add(process.Settings.Membership.Lease + time.Second)))
		process.Signal(syscall.SIGCONT)
	}
}

func (s *situation) signal(process *harness.Process, signal os.Signal) {
	if err := process.Stop(s.t.Context(), signal); err != nil {
		s.t.Error(err)
	}
}

func storeDown(s *situation) func() {
	s.fleet.Platform.SetFault(standin.Fault{Unavailable: true})
	return s.storeHeals
}

func storeSlow(s *situation) func() {
	s.fleet.Platform.SetFault(standin.Fault{Latency: 1500 * time.Millisecond})
	return s.storeHeals
}

func storeSilent(s *situation) func() {
	s.fleet.Platform.SetFault(standin.Fault{Silent: true})
	return s.storeHeals
}

func (s *situation) storeHeals() { s.fleet.Platform.SetFault(standin.Fault{}) }

func silentConnections(s *situation) func() {
	for _, from := range s.fleet.Instances {
		for _, to := range s.fleet.Instances {
			s.fleet.Links.Silence(relay.Direction{From: from.FailureDomain, To: to.FailureDomain})
		}
	}
	return func() {}
}

func rollingReplacement(s *situation) func() {
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
