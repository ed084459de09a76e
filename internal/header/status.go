package header

import "net/http"

// maxStatus is the highest status code of HTTP (RFC 9110, section 15).
const maxStatus = 599

// IsFinalStatus reports whether a response with a status code is an answer to a request:
// neither informational (1xx) nor outside the classes of HTTP.
func IsFinalStatus(code int) bool { return code >= http.StatusOK && code <= maxStatus }

// IsInformational reports whether a response with a status code precedes the answer. A
// change of protocols is none, since nobody asks for one.
func IsInformational(code int) bool {
	return code >= http.StatusContinue && code < http.StatusOK && code != http.StatusSwitchingProtocols
}
