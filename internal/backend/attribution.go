package backend

import (
	"hash/maphash"
	"math"

	"github.com/hornbeamlock/hornbeamlock/internal/position"
	"github.com/hornbeamlock/hornbeamlock/internal/request"
	"github.com/hornbeamlock/hornbeamlock/internal/verdict"
)

// Answers do not name the statement that they belong to, and an endpoint may send one again, at
// any later time on the same connection. Commands are answered in the order in which they were
// sent, and one signed command at most is in progress, so that these are evidence:
//
//   - A signature that the connection has not delivered before is that of the signed command in
//     progress, and all commands before it have been answered.
//   - An acknowledgement without a signature is the awaited one if the connection has received none with
//     the same transaction state, and no earlier command may still be acknowledged with it. That of a
//     BEGIN is so too if all earlier ones were sent at earlier positions of the log. Any other one is
//     taken, and the connection is uncertain until the next answer that is certain: the true one may be
//     an error that is still to come.
//   - An error with a code that the connection has not received before is that of the awaited
//     command, unless the connection is uncertain. One that executes an unknown name can only
//     belong to the EXECUTE.
//   - The refusal of a barrier shows that all commands before it have been answered, if the connection
//     has received no error with its code, or only at earlier positions.
//
// Where the acknowledgement of a command may be a repetition, another command follows it before a statement
// is sent, so that only two repetitions at once, of an endpoint that is not known to repeat answers, can
// hide its error.

// maxSignatures is the number of signatures that a connection records. A connection that has more
// is closed when it is released, so that the record is complete.
const maxSignatures = 1024

// hashSeed is the seed of the hashes of signatures.
var hashSeed = maphash.MakeSeed()

// ruling is what is done with an answer.
type ruling uint8

const (
	// taken means that the answer is that of the awaited command.
	taken ruling = iota
	// skipped means that the answer was sent before, and that the next one is awaited.
	skipped
	// rejected means that the answer is no evidence of anything.
	rejected
	// believed means that the answer may be that of an earlier command, and is taken nevertheless. The
	// connection serves nothing else.
	believed
)

// Reasons for which an answer is skipped or rejected, for logs and metrics.
const (
	reasonGreetingRepeated    = "greeting_repeated"
	reasonSignatureRepeated   = "signature_repeated"
	reasonUnsignedRepeated    = "unsigned_repeated"
	reasonSignatureMissing    = "signature_missing"
	reasonSignatureUnexpected = "signature_unexpected"
	reasonRowsUnexpected      = "rows_unexpected"
	reasonErrorRepeated       = "error_repeated"
	reasonErrorUncertain      = "error_uncertain"
	reasonTransactionState    = "transaction_state"
	reasonOutOfTurn           = "out_of_turn" // while no answer is awaited
)

// unreachable is a position that no log holds.
var unreachable = position.Position{Term: math.MaxInt32, Offset: math.MaxInt32}

// barrier is a command without an effect. The endpoint refuses it, since its log is behind.
var barrier = request.Command{Statement: request.Statement{Kind: request.Begin, ReadOnly: true}, After: unreachable}

func isBarrier(command request.Command) bool { return command.After == unreachable }

// isRefusedBarrier reports whether an answer is the one to a barrier.
func isRefusedBarrier(answer request.Answer) bool {
	return answer.Err != nil && answer.Err.Code == verdict.CodeBehind && answer.Transaction == request.Idle
}

// attribution decides which answers of a connection belong to which command.
type attribution struct {
	signatures map[uint64]struct{}
	// errors holds the codes of the errors received, with the newest position of each.
	errors map[string]position.Position
	// refused is true if a command other than a barrier was answered with an error.
	refused bool
	// acknowledged holds the transaction states of the answers without signature received, with the
	// newest position of each.
	acknowledged map[request.Transaction]position.Position
	// unanswered holds the transaction states of the acknowledgements that may still be to come, since
	// a repetition may have been taken in their place.
	unanswered map[request.Transaction]struct{}
	// state is the transaction state after the last answer that was taken. begun is true if an open
	// transaction has certainly begun.
	state request.Transaction
	begun bool
}

func newAttribution() attribution {
	return attribution{
		signatures: make(map[uint64]struct{}), errors: make(map[string]position.Position),
		acknowledged: make(map[request.Transaction]position.Position), unanswered: make(map[request.Transaction]struct{}),
	}
}

// isUncertain reports whether an answer without signature that was taken may have been a repetition, and
// no certain answer has come since.
func (a *attribution) isUncertain() bool { return len(a.unanswered) > 0 }

// record records an answer under the key. It reports whether the answer is new, and no repetition of an
// earlier one.
func record[K comparable](newest map[K]position.Position, key K, at position.Position) bool {
	last, recorded := newest[key]
	newest[key] = last.Max(at)
	return !recorded || last.Less(at)
}

// stateAfter returns the transaction state after the success of a command.
func (a *attribution) stateAfter(kind request.Kind) request.Transaction {
	switch kind {
	case request.Begin:
		return request.Open
	case request.Commit, request.Rollback:
		return request.Idle
	default:
		return a.state
	}
}

// rule decides on an answer that arrives while one to the command is awaited.
func (a *attribution) rule(command request.Command, answer request.Answer) (ruling, string) {
	switch {
	case answer.Greeting:
		return skipped, reasonGreetingRepeated
	case answer.Err != nil:
		return a.ruleError(command, answer)
	case answer.Signature != "":
		return a.ruleSigned(command.Kind, answer)
	default:
		return a.ruleUnsigned(command.Kind, answer)
	}
}

func (a *attribution) ruleError(command request.Command, answer request.Answer) (ruling, string) {
	code := answer.Err.Code
	_, received := a.errors[code]
	isNew := record(a.errors, code, answer.Position)
	if isBarrier(command) && isRefusedBarrier(answer) {
		if isNew {
			clear(a.unanswered)
		} else {
			a.unanswered[a.state] = struct{}{}
		}
		return taken, ""
	}
	a.refused = true
	uncertain := command.Kind.IsSigned() && a.isUncertain() && code != verdict.CodeUndefinedPreparedStmt
	switch {
	case (received || uncertain) && a.isHarmless(command, code):
		return believed, ""
	case received:
		return rejected, reasonErrorRepeated
	case uncertain:
		return rejected, reasonErrorUncertain
	}
	a.state = answer.Transaction
	return taken, ""
}

// isHarmless reports whether a command can be told as refused even if it has run: it only reads, outside
// a transaction, or begins one. An endpoint that lags or is busy would otherwise count as failing.
func (a *attribution) isHarmless(command request.Command, code string) bool {
	return (command.OnlyReads() || command.Kind == request.Begin) && a.state == request.Idle && (code == verdict.CodeBehind || code == verdict.CodeTooManyConnections)
}

func (a *attribution) ruleSigned(kind request.Kind, answer request.Answer) (ruling, string) {
	hash := maphash.String(hashSeed, answer.Signature)
	if _, delivered := a.signatures[hash]; delivered {
		return skipped, reasonSignatureRepeated
	}
	a.signatures[hash] = struct{}{}
	if !kind.IsSigned() {
		return rejected, reasonSignatureUnexpected
	}
	clear(a.unanswered)
	if answer.Transaction != a.stateAfter(kind) {
		a.begun = false
		return rejected, reasonTransactionState
	}
	a.state = answer.Transaction
	a.begun = a.state == request.Open
	return taken, ""
}

func (a *attribution) ruleUnsigned(kind request.Kind, answer request.Answer) (ruling, string) {
	after := a.stateAfter(kind)
	receivedAny := len(a.acknowledged) > 0
	_, received := a.acknowledged[answer.Transaction]
	isNew := record(a.acknowledged, answer.Transaction, answer.Position)
	switch {
	case kind.IsSigned() && receivedAny:
		return skipped, reasonUnsignedRepeated
	case kind.IsSigned():
		return rejected, reasonSignatureMissing
	case len(answer.Rows) > 0:
		return rejected, reasonRowsUnexpected
	case answer.Transaction != after && received:
		return skipped, reasonUnsignedRepeated
	case answer.Transaction != after:
		return rejected, reasonTransactionState
	}
	_, awaitedEarlier := a.unanswered[after]
	certain := !awaitedEarlier && (!received || kind == request.Begin && isNew)
	if certain {
		clear(a.unanswered)
	} else {
		a.unanswered[after] = struct{}{}
	}
	a.state = after
	if kind == request.Begin {
		a.begun = certain
	}
	return taken, ""
}

// reusable reports whether another session may use the connection. After an error no writes may:
// another error with its code would be no evidence that a write has not run. A read can run
// elsewhere; but while the connection is uncertain, its last error may be that of an earlier command,
// and the command that it was taken for has run. repeats is true if the endpoint is known to repeat
// answers; then another acknowledgement would be uncertain.
func (a *attribution) reusable(writes, repeats bool) bool {
	switch {
	case len(a.signatures) >= maxSignatures:
		return false
	case a.refused && (writes || repeats || a.isUncertain()):
		return false
	default:
		return len(a.acknowledged) == 0 || !repeats
	}
}
