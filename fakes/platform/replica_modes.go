package platform

// ResponseMode selects how a replica responds to requests.
type ResponseMode string

// The response modes. Unless stated otherwise, the replica runs the request.
const (
	// ResponseComplete sends a complete response.
	ResponseComplete ResponseMode = ""
	// ResponseAtCapacity rejects requests without running them, and rejects
	// reservations.
	ResponseAtCapacity ResponseMode = "full"
	// ResponseServerError responds with status 500.
	ResponseServerError ResponseMode = "error"
	// ResponseTruncated closes the connection in the middle of the response, and in
	// a stream in the middle of an event.
	ResponseTruncated ResponseMode = "cut"
	// ResponseAborted closes the connection without a response.
	ResponseAborted ResponseMode = "reset"
	// ResponseCrash stops the replica without a response.
	ResponseCrash ResponseMode = "die"
	// ResponseCrashMidway stops the replica in the middle of the response.
	ResponseCrashMidway ResponseMode = "die midway"
	// ResponseHang never responds.
	ResponseHang ResponseMode = "mute"
	// ResponseUnstamped omits the Replica-Stamp header.
	ResponseUnstamped ResponseMode = "unstamped"
	// ResponseWrongID responds with the Attempt-Id of another request.
	ResponseWrongID ResponseMode = "foreign"
	// ResponseDuplicated sends a second response after the first.
	ResponseDuplicated ResponseMode = "extra"
	// ResponseRestartedStream sends a stream from its first event and ignores
	// Last-Event-Id.
	ResponseRestartedStream ResponseMode = "again"
	// ResponseNotFound responds with status 404.
	ResponseNotFound ResponseMode = "reject"
	// ResponseRepeatedRefusal rejects a request without running it, and writes the rejection
	// once more before the response to the next request on the connection.
	ResponseRepeatedRefusal ResponseMode = "refusal again"
	// ResponseMalformed sends bytes that are not an HTTP response.
	ResponseMalformed ResponseMode = "garbage"
	// ResponseBrokenHead sends a response whose head is not acceptable, each time another one of
	// headtest.Broken, and leaves the connection open.
	ResponseBrokenHead ResponseMode = "broken head"
	// ResponseCutHead closes the connection in the middle of the head, each time after another
	// number of bytes.
	ResponseCutHead ResponseMode = "cut head"
	// ResponseEndless sends bytes until the connection is closed, each time in another part of
	// the response.
	ResponseEndless ResponseMode = "endless"
	// ResponseEarlyReset sends a part of a response without a length before it reads the body of
	// the request, and resets the connection.
	ResponseEarlyReset ResponseMode = "early reset"
	// ResponseSlowRefusal rejects a request without running it, with a text that does not end.
	ResponseSlowRefusal ResponseMode = "slow refusal"
)
