package edge

import (
	"context"
	"sync"
	"time"

	"github.com/gravitational/trace"
	"go.uber.org/zap"

	"github.com/hornbeamlock/hornbeamlock/internal/follow"
	"github.com/hornbeamlock/hornbeamlock/internal/generation"
	"github.com/hornbeamlock/hornbeamlock/internal/leadership"
	"github.com/hornbeamlock/hornbeamlock/internal/platform"
)

const (
	// memoryTimeout bounds the requests for what other instances remember.
	memoryTimeout = 400 * time.Millisecond
	// uncertainRestoreDelay is how long the fleet's rows are not restored while most instances do
	// not remember them: until a replacement that may have been lost has ended.
	uncertainRestoreDelay = leadership.RecordLifetime + leadership.MaxOrderDelay
)

// memoryRequest requests what an instance remembers. Rows are sent only if their version is above
// AboveVersion.
type memoryRequest struct {
	AboveVersion platform.Revision `json:"above"`
}

// memoryResponse answers a memoryRequest.
type memoryResponse struct {
	Rows    []follow.Row      `json:"rows,omitempty"`
	Version platform.Revision `json:"version"`
	Epochs  map[string]uint64 `json:"epochs,omitempty"`
}

func (i *Instance) buildRestorer() (err error) {
	i.restorer, err = generation.NewRestorer(generation.Config{
		Guard: i.guard, Collect: i.collectMemories, Members: i.memberCount, Plan: i.planRestoration, IsDecisive: leadership.IsRecordKey,
		UncertainDelay: uncertainRestoreDelay, Restored: i.fleet.Trigger, Clock: i.cfg.Clock, Log: i.cfg.Log,
	})
	return trace.Wrap(err)
}

// memory returns what this instance remembers, false if it has forgotten revocations at a restart.
func (i *Instance) memory() (generation.Memory, bool) {
	epochs, ok := i.controller.KnownEpochs()
	s := i.fleet.Snapshot()
	if !ok || !s.Loaded() {
		return generation.Memory{}, false
	}
	return generation.Memory{Rows: s.Rows, Version: s.Version, Epochs: epochs}, true
}

// handleMemory returns what this instance remembers.
func (i *Instance) handleMemory(_ context.Context, m memoryRequest) (memoryResponse, error) {
	own, ok := i.memory()
	if !ok {
		return memoryResponse{}, trace.NotFound("nothing is remembered since the start")
	}
	response := memoryResponse{Version: own.Version, Epochs: own.Epochs}
	if own.Version > m.AboveVersion {
		response.Rows = own.Rows
	}
	return response, nil
}

// collectMemories returns what this and the other registered instances remember, and the number
// of those that are registered by the stored rows or by its own copy.
func (i *Instance) collectMemories(ctx context.Context, stored []follow.Row) (memories []generation.Memory, members int) {
	own, ok := i.memory()
	if ok {
		memories = append(memories, own)
	}
	registered := make(map[string]member)
	for _, list := range [][]member{decodeMembers(stored, nil, i.cfg.Log), i.members.Get()} {
		for _, m := range list {
			registered[m.Name] = m
		}
	}
	ctx, cancel := context.WithTimeout(ctx, memoryTimeout)
	defer cancel()
	var mu sync.Mutex
	var pending sync.WaitGroup
	for name, m := range registered {
		if m.Retired || m.Address == "" {
			continue
		}
		members++
		if name == i.cfg.Name {
			continue
		}
		pending.Go(func() {
			var response memoryResponse
			if err := i.client.Call(ctx, m.Address, messageMemory, memoryRequest{AboveVersion: own.Version}, &response); err != nil {
				i.cfg.Log.Debug("an instance does not tell what it remembers", zap.String("member", name), zap.Error(err))
				return
			}
			remembered := generation.Memory{Rows: response.Rows, Version: response.Version, Epochs: response.Epochs}
			mu.Lock()
			defer mu.Unlock()
			memories = append(memories, remembered)
		})
	}
	pending.Wait()
	return memories, members
}

// planRestoration returns the rows to be stored in a new generation.
func (i *Instance) planRestoration(r generation.Restoration) ([]follow.Row, error) {
	if !r.Certain && !i.followers[registrySet].Snapshot().Loaded() {
		return nil, trace.NotFound("the services are not known yet")
	}
	return leadership.PlanRestoration(r, i.registry.Get())
}
