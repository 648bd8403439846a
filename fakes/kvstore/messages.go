package kvstore

import "bytes"

// Messages of the etcd v3 JSON gateway. They are not shared with the adapter, so
// that a mistake in one does not affect the other and tests can detect it.

type header struct {
	Revision int64 `json:"revision,string"`
}

type keyValue struct {
	Key            []byte `json:"key"`
	Value          []byte `json:"value,omitempty"`
	CreateRevision int64  `json:"create_revision,string,omitempty"`
	ModRevision    int64  `json:"mod_revision,string,omitempty"`
	Version        int64  `json:"version,string,omitempty"`
	Lease          int64  `json:"lease,string,omitempty"`
}

type rangeRequest struct {
	Key      []byte `json:"key"`
	RangeEnd []byte `json:"range_end"`
	Limit    int64  `json:"limit,string"`
	Revision int64  `json:"revision,string"`
}

// contains reports whether the range contains the key.
func (r rangeRequest) contains(key string) bool {
	if len(r.RangeEnd) == 0 {
		return key == string(r.Key)
	}
	return key >= string(r.Key) && (bytes.Equal(r.RangeEnd, []byte{0}) || key < string(r.RangeEnd))
}

type rangeResponse struct {
	Header header     `json:"header"`
	Pairs  []keyValue `json:"kvs,omitempty"`
	More   bool       `json:"more,omitempty"`
	Count  int64      `json:"count,string,omitempty"`
}

type compare struct {
	Key            []byte `json:"key"`
	Target         string `json:"target"`
	Result         string `json:"result"`
	Version        int64  `json:"version,string"`
	ModRevision    int64  `json:"mod_revision,string"`
	CreateRevision int64  `json:"create_revision,string"`
}

// matches reports whether the pair satisfies the comparison, and whether the fake
// supports the comparison.
func (c compare) matches(kv keyValue) (satisfied, supported bool) {
	if c.Result != "EQUAL" && c.Result != "" {
		return false, false
	}
	switch c.Target {
	case "MOD":
		return kv.ModRevision == c.ModRevision, true
	case "CREATE":
		return kv.CreateRevision == c.CreateRevision, true
	case "VERSION", "":
		return kv.Version == c.Version, true
	}
	return false, false
}

type operation struct {
	Put *struct {
		Key   []byte `json:"key"`
		Value []byte `json:"value"`
		Lease int64  `json:"lease,string"`
	} `json:"request_put"`
	Delete *struct {
		Key []byte `json:"key"`
	} `json:"request_delete_range"`
}

type txnRequest struct {
	Compare []compare   `json:"compare"`
	Success []operation `json:"success"`
}

type txnResponse struct {
	Header    header `json:"header"`
	Succeeded bool   `json:"succeeded,omitempty"`
}

type leaseMessage struct {
	ID  int64 `json:"ID,string"`
	TTL int64 `json:"TTL,string,omitempty"`
}

type watchRequest struct {
	Create struct {
		Key           []byte `json:"key"`
		StartRevision int64  `json:"start_revision,string"`
	} `json:"create_request"`
}

type watchEvent struct {
	Type string   `json:"type,omitempty"`
	Pair keyValue `json:"kv"`
}

type watchResult struct {
	Header   header       `json:"header"`
	Created  bool         `json:"created,omitempty"`
	Canceled bool         `json:"canceled,omitempty"`
	Events   []watchEvent `json:"events,omitempty"`
}

type streamMessage struct {
	Result any `json:"result"`
}
