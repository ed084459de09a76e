package once

import (
	"crypto/hmac"
	"crypto/sha256"
	"encoding/base64"
	"encoding/binary"
	"encoding/hex"
	"strings"
	"time"

	"fuchsiaspar/internal/model"

	"github.com/pkg/errors"
)

const (
	// MaxTicketBytes is the maximum length of an encoded ticket.
	MaxTicketBytes = 512
	// MaxNameBytes is the maximum length of a VM, account or service name in a
	// ticket.
	MaxNameBytes = 96

	ticketVersion    = 1
	ticketIDBytes    = 16
	macBytes         = sha256.Size
	fixedTicketBytes = 1 + ticketIDBytes + 8 + 8
)

// ErrNameTooLong reports a VM, account or service name longer than MaxNameBytes.
var ErrNameTooLong = errors.New("once: name too long for a ticket")

// errUnsupportedVersion reports a ticket in another version of the format.
var errUnsupportedVersion = &Error{Reason: model.ReasonTicketInvalid, Outcome: model.OutcomeUnknown}

var ticketEncoding = base64.RawURLEncoding.Strict()

// TicketID identifies a ticket among the tickets of its owner.
type TicketID [ticketIDBytes]byte

// String returns id in hexadecimal.
func (id TicketID) String() string { return hex.EncodeToString(id[:]) }

// Info is the content of a ticket that any entry VM can read. It is not verified.
type Info struct {
	ID          TicketID
	Owner       model.VMID
	Incarnation model.Incarnation
	Account     model.AccountID
	Service     model.ServiceName

	// expiry is an offset of the clock of the owner's process.
	expiry time.Duration
}

// Parse decodes a ticket without verifying it. Only the owner's process can verify
// a ticket; other VMs use Parse to find the owner to forward the request to. Every
// error is an *Error.
func Parse(ticket string) (Info, error) {
	info, _, _, err := decode(ticket)
	return info, err
}

// decode splits a ticket into its fields, the payload that the MAC covers, and the
// MAC.
func decode(ticket string) (info Info, payload, mac []byte, err error) {
	if len(ticket) > MaxTicketBytes || strings.ContainsAny(ticket, "\r\n") {
		return Info{}, nil, nil, ErrTicketInvalid
	}
	raw, err := ticketEncoding.DecodeString(ticket)
	if err != nil || len(raw) < fixedTicketBytes+macBytes {
		return Info{}, nil, nil, ErrTicketInvalid
	}
	if raw[0] != ticketVersion {
		return Info{}, nil, nil, errUnsupportedVersion
	}
	payload = raw[:len(raw)-macBytes]
	info, err = decodeFields(payload)
	if err != nil {
		return Info{}, nil, nil, err
	}
	return info, payload, raw[len(payload):], nil
}

func decodeFields(payload []byte) (Info, error) {
	var info Info
	rest := payload[1:]
	copy(info.ID[:], rest)
	rest = rest[ticketIDBytes:]
	info.Incarnation = model.Incarnation(binary.BigEndian.Uint64(rest))
	rest = rest[8:]
	info.expiry = time.Duration(binary.BigEndian.Uint64(rest))
	rest = rest[8:]
	var names [3]string
	for i := range names {
		if len(rest) == 0 || len(rest) <= int(rest[0]) {
			return Info{}, ErrTicketInvalid
		}
		n := int(rest[0])
		names[i] = string(rest[1 : 1+n])
		rest = rest[1+n:]
	}
	if len(rest) != 0 {
		return Info{}, ErrTicketInvalid
	}
	info.Owner = model.VMID(names[0])
	info.Account = model.AccountID(names[1])
	info.Service = model.ServiceName(names[2])
	return info, nil
}

func validateNames(info Info) error {
	longest := max(len(info.Owner), len(info.Account), len(info.Service))
	if longest > MaxNameBytes {
		return ErrNameTooLong
	}
	return nil
}

// encode returns a ticket that is authenticated with key. The names must have
// passed validateNames.
func encode(info Info, key []byte) string {
	names := [3]string{string(info.Owner), string(info.Account), string(info.Service)}
	raw := make([]byte, 0, fixedTicketBytes+len(names)*(1+MaxNameBytes)+macBytes)
	raw = append(raw, ticketVersion)
	raw = append(raw, info.ID[:]...)
	raw = binary.BigEndian.AppendUint64(raw, uint64(info.Incarnation))
	raw = binary.BigEndian.AppendUint64(raw, uint64(info.expiry))
	for _, name := range names {
		raw = append(raw, byte(len(name)))
		raw = append(raw, name...)
	}
	raw = append(raw, computeMAC(raw, key)...)
	return ticketEncoding.EncodeToString(raw)
}

func computeMAC(payload, key []byte) []byte {
	mac := hmac.New(sha256.New, key)
	mac.Write(payload)
	return mac.Sum(nil)
}
