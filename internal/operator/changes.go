package operator

import (
	"context"

	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	configv1 "github.com/hornbeamlock/hornbeamlock/api/hornbeamlock/config/v1"
	operatorv1 "github.com/hornbeamlock/hornbeamlock/api/hornbeamlock/operator/v1"
	"github.com/hornbeamlock/hornbeamlock/internal/fleetconfig"
)

const (
	defaultHistory = 100
	maxHistory     = 1000
)

// ApplyChange submits one change to the fleet's configuration.
func (s *Server) ApplyChange(ctx context.Context, req *operatorv1.ApplyChangeRequest) (*operatorv1.ApplyChangeResponse, error) {
	if req.GetChange() == nil {
		return nil, statusOf(&fleetconfig.FieldError{Path: "change", Reason: "is missing"})
	}
	accepted, err := s.cfg.Configuration.Accept(ctx, req.GetChange())
	if err != nil {
		return nil, statusOf(err)
	}
	return &operatorv1.ApplyChangeResponse{Version: accepted.Version, Repeated: accepted.Repeated}, nil
}

// CreateKey creates a key. The response alone holds the full key: a repeated call
// fails, and its error names the key to withdraw.
func (s *Server) CreateKey(ctx context.Context, req *operatorv1.CreateKeyRequest) (*operatorv1.CreateKeyResponse, error) {
	if req.GetChangeId() == "" {
		return nil, statusOf(&fleetconfig.FieldError{Path: "change_id", Reason: "is missing"})
	}
	earlier, err := s.cfg.Configuration.FindChange(ctx, req.GetChangeId())
	if err != nil {
		return nil, statusOf(err)
	}
	if earlier != nil {
		return nil, keyAlreadyShown(earlier)
	}
	stored, fullKey := fleetconfig.NewKey(req.GetOrganisation())
	accepted, err := s.cfg.Configuration.Accept(ctx, &configv1.Change{
		Id: req.GetChangeId(), BaseVersion: req.GetBaseVersion(), Author: req.GetAuthor(),
		Operations: []*configv1.Operation{{Kind: &configv1.Operation_PutKey{PutKey: stored}}},
	})
	if err != nil {
		return nil, statusOf(err)
	}
	return &operatorv1.CreateKeyResponse{KeyId: stored.GetId(), Key: fullKey, Version: accepted.Version}, nil
}

func keyAlreadyShown(entry *operatorv1.HistoryEntry) error {
	for _, operation := range entry.GetChange().GetOperations() {
		if key := operation.GetPutKey(); key != nil {
			return status.Errorf(codes.AlreadyExists,
				"this call made key %s in version %d, and a key is shown only once; withdraw it and create another", key.GetId(), entry.GetVersion())
		}
	}
	return status.Errorf(codes.AlreadyExists, "another change with this identifier made version %d", entry.GetVersion())
}

// GetConfiguration returns the version in force here, or an earlier one, without
// secrets.
func (s *Server) GetConfiguration(ctx context.Context, req *operatorv1.GetConfigurationRequest) (*operatorv1.GetConfigurationResponse, error) {
	current := s.cfg.Configuration.Current()
	if v := req.GetVersion(); v != 0 && v != current.GetVersion() {
		earlier, err := s.cfg.Configuration.ReadVersion(ctx, v)
		if err != nil {
			return nil, statusOf(err)
		}
		current = earlier
	}
	return &operatorv1.GetConfigurationResponse{Configuration: fleetconfig.Redact(current)}, nil
}

// ListHistory lists accepted changes without their secrets, newest first.
func (s *Server) ListHistory(ctx context.Context, req *operatorv1.ListHistoryRequest) (*operatorv1.ListHistoryResponse, error) {
	limit := req.GetLimit()
	if limit > maxHistory {
		return nil, statusOf(&fleetconfig.FieldError{Path: "limit", Reason: "is above 1000"})
	}
	if limit == 0 {
		limit = defaultHistory
	}
	entries, err := s.cfg.Configuration.History(ctx, uint64(limit))
	if err != nil {
		return nil, statusOf(err)
	}
	for _, entry := range entries {
		entry.Change = fleetconfig.RedactChange(entry.GetChange())
	}
	return &operatorv1.ListHistoryResponse{Entries: entries}, nil
}
