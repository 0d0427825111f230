package bhforward

import (
	"net/http"
	"net/url"
	"slices"
	"strconv"
	"strings"

	"github.com/pkg/errors"
	"golang.org/x/net/http/httpguts"
)

// maxQuoted is the number of bytes of an invalid value that its error quotes.
const maxQuoted = 64

// framingFields are written by encodeHead alone.
var framingFields = []string{"Host", "Content-Length", "Transfer-Encoding"}

// validate returns an error if the request can't be written as exactly one request with its
// values.
func (r *Request) validate() error {
	if !httpguts.ValidHeaderFieldName(r.Method) || r.Method == http.MethodConnect {
		return errors.Errorf("method %s must be a token other than %s", quote(r.Method), http.MethodConnect)
	}
	if err := ValidateTarget(r.Target); err != nil {
		return err
	}
	if !httpguts.ValidHostHeader(r.Host) {
		return errors.Errorf("host %s must be a name or address with an optional port", quote(r.Host))
	}
	for name, values := range r.Header {
		if slices.Contains(framingFields, http.CanonicalHeaderKey(name)) {
			return errors.Errorf("header %s is set by the sender of a request", quote(name))
		}
		for _, value := range values {
			if err := ValidateField(name, value); err != nil {
				return err
			}
		}
	}
	return nil
}

// ValidateTarget returns an error if the target can't stand in a request line as it is: it
// must be a path, with or without a query, without spaces and control characters.
func ValidateTarget(target string) error {
	if !strings.HasPrefix(target, "/") || strings.ContainsFunc(target, isSpaceOrControl) {
		return errors.Errorf("path %s must begin with a slash and hold neither spaces nor control characters", quote(target))
	}
	if _, err := url.ParseRequestURI(target); err != nil {
		return errors.Errorf("path %s is no valid request target: percent signs must precede two hexadecimal digits", quote(target))
	}
	return nil
}

// ValidateField returns an error if the header field can't be sent as it is: its name must be
// a token.
func ValidateField(name, value string) error {
	if !httpguts.ValidHeaderFieldName(name) {
		return errors.Errorf("header name %s must be a token: letters, digits and !#$%%&'*+-.^_`|~", quote(name))
	}
	return errors.WithMessagef(ValidateValue(value), "header %s", quote(name))
}

// ValidateValue returns an error if the value can't be sent in a header field as it is: it must
// hold no control characters, and neither begin nor end with a space.
func ValidateValue(value string) error {
	if !httpguts.ValidHeaderFieldValue(value) || value != TrimField(value) {
		return errors.Errorf("value %s must hold no control characters, and no spaces around it", quote(value))
	}
	return nil
}

// TrimField returns the value of a header field without the spaces around it, which belong
// to the field's syntax.
func TrimField(value string) string { return strings.Trim(value, " \t") }

func isSpaceOrControl(r rune) bool { return r <= ' ' || r == 0x7f }

// quote returns the start of the text in quotes, with escapes.
func quote(text string) string {
	if len(text) > maxQuoted {
		return strings.TrimSuffix(strconv.QuoteToASCII(text[:maxQuoted]), `"`) + `..."`
	}
	return strconv.QuoteToASCII(text)
}
