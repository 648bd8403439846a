package kvstore

// The types below are the messages of the etcd v3 JSON gateway that the client
// uses. 64-bit numbers are encoded as strings and byte fields as base64.

type responseHeader struct {
	Revision int64 `json:"revision,string"`
}

type keyValue struct {
	Key         []byte `json:"key"`
	Value       []byte `json:"value"`
	ModRevision int64  `json:"mod_revision,string"`
	Lease       int64  `json:"lease,string"`
}

func (kv keyValue) toPair() Pair {
	return Pair{Key: string(kv.Key), Value: kv.Value, Version: kv.ModRevision, LeaseID: kv.Lease}
}

type rangeRequest struct {
	Key      []byte `json:"key"`
	RangeEnd []byte `json:"range_end,omitempty"`
	Limit    int64  `json:"limit,string,omitempty"`
	Revision int64  `json:"revision,string,omitempty"`
}

type rangeResponse struct {
	Header responseHeader `json:"header"`
	Pairs  []keyValue     `json:"kvs"`
	More   bool           `json:"more"`
}

type compare struct {
	Key         []byte `json:"key"`
	Target      string `json:"target"`
	Result      string `json:"result"`
	ModRevision int64  `json:"mod_revision,string"`
}

type putRequest struct {
	Key   []byte `json:"key"`
	Value []byte `json:"value"`
	Lease int64  `json:"lease,string,omitempty"`
}

type deleteRequest struct {
	Key []byte `json:"key"`
}

type operation struct {
	Put    *putRequest    `json:"request_put,omitempty"`
	Delete *deleteRequest `json:"request_delete_range,omitempty"`
}

type txnRequest struct {
	Compare []compare   `json:"compare,omitempty"`
	Success []operation `json:"success"`
}

type txnResponse struct {
	Header    responseHeader `json:"header"`
	Succeeded bool           `json:"succeeded"`
}

type leaseRequest struct {
	ID  int64 `json:"ID,string"`
	TTL int64 `json:"TTL,string,omitempty"`
}

type leaseResponse struct {
	ID  int64 `json:"ID,string"`
	TTL int64 `json:"TTL,string"`
}

type watchRequest struct {
	Create watchCreate `json:"create_request"`
}

type watchCreate struct {
	Key           []byte `json:"key"`
	StartRevision int64  `json:"start_revision,string"`
}

type watchEvent struct {
	// Type is DELETE for a deletion. It is PUT or empty for a write.
	Type string   `json:"type"`
	Pair keyValue `json:"kv"`
}

type watchResult struct {
	Canceled bool         `json:"canceled"`
	Events   []watchEvent `json:"events"`
}

// streamMessage is the envelope of each message of a streaming call.
type streamMessage[T any] struct {
	Result *T            `json:"result"`
	Error  *gatewayError `json:"error"`
}

type gatewayError struct {
	Code    int    `json:"code"`
	Message string `json:"message"`
}

// gRPC status codes that the JSON gateway includes in error bodies.
const (
	codeNotFound          = 5
	codeResourceExhausted = 8
)
