package demo

import (
	"strconv"
	"strings"

	"fuchsiaspar/internal/model"
)

// orderID identifies one request of a caller. From it the observer at a backend
// server learns the account and the home zone of the request.
type orderID struct {
	account model.AccountID
	service model.ServiceName
	home    model.Zone
	nonce   uint64
}

// Format of an encoded order id: its separator, its number of fields and the base of
// its nonce.
const (
	orderSeparator = "/"
	orderFields    = 4
	nonceBase      = 36
)

// String encodes the id as a header value: account/service/home/nonce.
func (o orderID) String() string {
	return strings.Join([]string{
		string(o.account), string(o.service), string(o.home), strconv.FormatUint(o.nonce, nonceBase),
	}, orderSeparator)
}

// parseOrderID decodes an id without its nonce. It reports false if the number of
// fields is wrong.
func parseOrderID(text string) (orderID, bool) {
	parts := strings.Split(text, orderSeparator)
	if len(parts) != orderFields {
		return orderID{}, false
	}
	return orderID{
		account: model.AccountID(parts[0]),
		service: model.ServiceName(parts[1]),
		home:    model.Zone(parts[2]),
	}, true
}
