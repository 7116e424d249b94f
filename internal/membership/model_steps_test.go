package membership

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

func (m *model) steps(domains []string) map[string]func(*rapid.T) {
	return map[string]func(*rapid.T){
		"":        func(*rapid.T) { m.check() },
		"advance": func(t *rapid.T) { m.advance(time.Duration(rapid.IntRange(100, 6000).Draw(t, "ms")) * time.Millisecond) },
		"wait":    func(t *rapid.T) { m.advance(time.Duration(rapid.IntRange(6, 60).Draw(t, "s")) * time.Second) },
		"skip": func(t *rapid.T) { // all instances are paused
			m.now += time.Duration(rapid.IntRange(1, 5000).Draw(t, "ms")) * time.Millisecond
		},
		"exchange": func(t *rapid.T) {
			m.exchange(m.pick("from"), m.pick("to"), rapid.IntRange(0, 3).Draw(t, "fate"))
		},
		"deliver late": func(*rapid.T) {
			for _, deliver := range m.delayed {
				deliver()
			}
			m.delayed = nil
		},
		"cut pair":  func(*rapid.T) { m.cutLinks[linkKey(m.pick("a").c.cfg.ID, m.pick("b").c.cfg.ID)] = true },
		"cut table": func(*rapid.T) { m.cutLinks[linkKey(m.pick("a").c.cfg.ID, "table")] = true },
		"cut apart": func(t *rapid.T) { m.cutApart(t, domains) },
		"heal":      func(*rapid.T) { m.cutLinks = make(map[string]bool) },
		"freeze":    func(*rapid.T) { m.pick("a").frozen = true },
		"thaw":      func(*rapid.T) { m.pick("a").frozen = false },
		"crash":     func(*rapid.T) { delete(m.nodes, m.pick("a").c.cfg.ID) },
		"join":      func(t *rapid.T) { m.join(t, domains) },
		"leave":     func(*rapid.T) { n := m.pick("a"); n.deregisterAt = m.now + n.c.endLease() },
		"begin":     func(*rapid.T) { m.begin(m.pick("coordinator"), false) },
		"sweep":     func(*rapid.T) { m.begin(m.pick("coordinator"), true) },
		"commit":    func(*rapid.T) { m.commit() },
		"accept":    func(*rapid.T) { m.begin(m.pick("coordinator"), false); m.commit() },
		"resolve":   func(*rapid.T) { m.resolve(m.pick("a")) },
		"resolve all": func(*rapid.T) {
			for _, id := range m.ids() {
				m.resolve(m.nodes[id])
			}
		},
	}
}

// cutApart cuts a set of domains off from the others and optionally the table.
func (m *model) cutApart(t *rapid.T, domains []string) {
	inside := make(map[string]bool)
	for _, domain := range domains {
		inside[domain] = rapid.Bool().Draw(t, domain)
	}
	table := rapid.Bool().Draw(t, "table")
	for _, a := range m.ids() {
		for _, b := range m.ids() {
			if inside[m.nodes[a].c.cfg.FailureDomain] != inside[m.nodes[b].c.cfg.FailureDomain] {
				m.cutLinks[linkKey(a, b)] = true
			}
		}
		if table && inside[m.nodes[a].c.cfg.FailureDomain] {
			m.cutLinks[linkKey(a, "table")] = true
		}
	}
}

func (m *model) join(t *rapid.T, domains []string) {
	domain := rapid.SampledFrom(domains).Draw(t, "domain")
	id := fmt.Sprintf("%s%d", domain, rapid.IntRange(0, 4).Draw(t, "n"))
	if _, runs := m.nodes[id]; !runs {
		m.start(id, domain)
	}
}

func TestNoOlderVersionIsServedAfterAcceptance(t *testing.T) {
	for _, shape := range []struct {
		domains   []string
		perDomain int
	}{
		{[]string{"a"}, 3},
		{[]string{"a", "b"}, 2},
		{[]string{"a", "b", "c"}, 1},
		{[]string{"a", "b", "c"}, 3},
		{[]string{"a", "b", "c", "d", "e"}, 2},
	} {
		t.Run(fmt.Sprintf("%d domains of %d", len(shape.domains), shape.perDomain), func(t *testing.T) {
			accepted, removed := 0, 0
			rapid.Check(t, func(t *rapid.T) {
				m := newModel(t, shape.domains, shape.perDomain)
				m.advance(5 * time.Second)
				t.Repeat(m.steps(shape.domains))
				accepted += int(m.head())
				removed += m.removed
			})
			require.Positive(t, accepted)
			require.Positive(t, removed)
			t.Logf("%d changes accepted, %d members removed", accepted, removed)
		})
	}
}
