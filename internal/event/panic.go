package event

import (
	"runtime/debug"

	"github.com/gravitational/trace"
	"go.uber.org/zap"
)

// Contain ends a panic of the function that defers it: it logs the panic and sets err, if not
// nil, to an error. The function must leave its state usable, by other deferred calls or by
// what its caller does with the error.
func Contain(log *zap.Logger, component string, err *error) {
	reason := recover()
	if reason == nil {
		return
	}
	PanicContained.Emit(log, zap.String("component", component), zap.Any("panic", reason),
		zap.ByteString("stack", debug.Stack()))
	if err != nil {
		*err = trace.Errorf("%s: unexpected failure: %v", component, reason)
	}
}
