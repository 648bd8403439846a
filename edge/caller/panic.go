package caller

import (
	"net/http"
	"runtime/debug"

	"k8s.io/klog/v2"

	"siskinstand.example/coord/verdict"
)

// answerPanic answers a request whose handling has panicked, which net/http would do by closing
// the connection.
func (q *request) answerPanic() {
	p := recover()
	if p == nil {
		return
	}
	if p == http.ErrAbortHandler { //nolint:errorlint // net/http compares it, too
		panic(p)
	}
	klog.ErrorS(nil, "request handler panicked", "request_id", q.headers.AttemptID, "panic", p, "stack", string(debug.Stack()))
	q.server.metrics.scope.Counter("panics").Inc(1)
	v := verdict.NotRun
	if q.sendBegan {
		v = verdict.MayHaveRun
	}
	q.discardUnread()
	q.writer.Header().Del("Content-Length")
	q.writeError(verdict.New(v, verdict.ReasonInternal, "internal error of this host"))
}
