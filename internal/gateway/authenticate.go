package gateway

import (
	"crypto/sha256"
	"crypto/subtle"
	"strings"

	"github.com/jackc/pgx/v5/pgproto3"
	"go.uber.org/zap"

	"github.com/hornbeamlock/hornbeamlock/internal/event"
	"github.com/hornbeamlock/hornbeamlock/internal/fleetconfig"
	"github.com/hornbeamlock/hornbeamlock/internal/verdict"
)

// keyPrefix begins every key: hbl_<id>_<secret>.
const keyPrefix = "hbl_"

// identity is the authenticated identity of a caller.
type identity struct {
	// organisation is empty for a caller without a key.
	organisation string
	// keyID is the public part of the key, empty without a key.
	keyID   string
	service string
}

// authenticate requests the key and checks it. On a service that is open to all, a user
// name that is not an organisation needs no key.
func (c *caller) authenticate(user, database string) (*identity, error) {
	if database == "" {
		database = user
	}
	view, err := c.server.viewInForce()
	if err != nil {
		return nil, err
	}
	service, serviceExists := view.Services[database]
	_, isOrganisation := view.Organisations[user]
	if serviceExists && service.GetOpenToAll() && !isOrganisation {
		return &identity{service: database}, nil
	}
	key, err := c.requestKey()
	if err != nil {
		return nil, err
	}
	// While waiting for the key, the configuration may have changed, or the lease expired.
	if view, err = c.server.viewInForce(); err != nil {
		return nil, err
	}
	keyID, ok := checkKey(view, user, key)
	if !ok {
		c.server.metrics.loginsRefused.Add(1)
		event.CallerRefused.Emit(c.server.cfg.Log, zap.String("key_id", keyID), zap.String("service", database))
		return nil, verdict.New(verdict.NotRun, verdict.CodeInvalidPassword, "the key was not accepted for this organisation")
	}
	if _, ok := view.Services[database]; !ok {
		return nil, verdict.New(verdict.NotRun, verdict.CodeUnknownDatabase, "there is no service %q", database)
	}
	return &identity{organisation: user, keyID: keyID, service: database}, nil
}

// viewInForce returns the configuration, or an error if a newer one may be in force
// elsewhere. The lease is checked after the configuration was read: before, it would not
// prove that this version was still in force.
func (s *Server) viewInForce() (*fleetconfig.View, error) {
	view := s.cfg.Board.Configuration.Get()
	if err := s.servingLeaseError(); err != nil {
		return nil, err
	}
	return view, nil
}

// requestKey requests a cleartext password.
func (c *caller) requestKey() (string, error) {
	c.responses.add(&pgproto3.AuthenticationCleartextPassword{})
	if err := c.responses.flush(); err != nil {
		return "", errSessionEnded
	}
	if err := c.wire.SetAuthType(pgproto3.AuthTypeCleartextPassword); err != nil {
		return "", errSessionEnded
	}
	message, err := c.wire.Receive()
	if err != nil {
		return "", errSessionEnded
	}
	password, ok := message.(*pgproto3.PasswordMessage)
	if !ok {
		return "", verdict.New(verdict.NotRun, verdict.CodeProtocolViolation, "a password message was expected")
	}
	return password.Password, nil
}

// checkKey compares the key with the stored digest, in the same steps for an unknown
// key. It returns the id only if a key with that id exists: anything else that a caller
// sends by mistake must not be logged.
func checkKey(view *fleetconfig.View, user, key string) (id string, ok bool) {
	rest, hasPrefix := strings.CutPrefix(key, keyPrefix)
	id, _, hasSecret := strings.Cut(rest, "_")
	stored, known := view.Keys[id]
	digest := sha256.Sum256([]byte(key))
	same := subtle.ConstantTimeCompare(digest[:], stored.GetSha256()) == 1
	if !known {
		return "", false
	}
	_, organisationExists := view.Organisations[user]
	return id, same && hasPrefix && hasSecret && organisationExists && stored.GetOrganisation() == user
}
