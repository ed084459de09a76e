package demo

import (
	"strconv"
	"strings"

	"fuchsiaspar/internal/model"
)

// orderID names one request of a caller. It tells the backend servers' side
// which account and which place the request came from.
type orderID struct {
	account model.AccountID
	service model.ServiceName
	home    model.Zone
	nonce   uint64
}

const (
	orderSeparator = "/"
	orderParts     = 4
	orderBase      = 36
)

// String encodes the id as the value of a header.
func (o orderID) String() string {
	return strings.Join([]string{
		string(o.account), string(o.service), string(o.home), strconv.FormatUint(o.nonce, orderBase),
	}, orderSeparator)
}

// parseOrder reads the id back, without its nonce.
func parseOrder(text string) (orderID, bool) {
	parts := strings.Split(text, orderSeparator)
	if len(parts) != orderParts {
		return orderID{}, false
	}
	return orderID{
		account: model.AccountID(parts[0]),
		service: model.ServiceName(parts[1]),
		home:    model.Zone(parts[2]),
	}, true
}
