package daemon

import (
	"bytes"
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"fuchsiaspar/internal/backend/standin"
	"fuchsiaspar/internal/header"
)

// slowBody is a request body that is sent over a few hundred milliseconds, so that its
// end is sent after the response has begun.
type slowBody struct{ rest io.Reader }

func (b slowBody) Read(p []byte) (int, error) {
	const part = 32 << 10
	time.Sleep(10 * time.Millisecond)
	return b.rest.Read(p[:min(part, len(p))])
}

// Guards against a gap in a long request body whose server begins its response before
// it has read the body, sent by the owner of the server and through a relay.
func TestServerThatAnswersEarlyGetsTheWholeBody(t *testing.T) {
	f := startTestFleet(t, 2)
	var body bytes.Buffer
	for n := 0; body.Len() < 1<<20; n++ {
		fmt.Fprintf(&body, "%08d\n", n)
	}
	want, err := standin.Digest(bytes.NewReader(body.Bytes()))
	if err != nil {
		t.Fatal(err)
	}
	ownerAddress, otherAddress := f.ownerOf(t, "desk-1")
	for _, address := range []string{ownerAddress, otherAddress} {
		t.Run(map[bool]string{true: "owner", false: "relayed"}[address == ownerAddress], func(t *testing.T) {
			r, err := http.NewRequest(http.MethodPost, "http://"+address+"/v1/requests/desk/lookup?fault=early", slowBody{bytes.NewReader(body.Bytes())})
			if err != nil {
				t.Fatal(err)
			}
			r.Header.Set(header.Account, testAccount)
			resp, err := http.DefaultClient.Do(r)
			if err != nil {
				t.Fatal(err)
			}
			defer resp.Body.Close()
			got, err := io.ReadAll(resp.Body)
			if err != nil || resp.StatusCode != http.StatusOK || !strings.HasSuffix(string(got), want) {
				t.Errorf("got %d with %d bytes, %v; the server received another body", resp.StatusCode, len(got), err)
			}
		})
	}
}
