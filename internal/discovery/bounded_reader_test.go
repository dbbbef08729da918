package discovery

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"
)

// longList returns the indented text of a complete list of so many backends with names of 200 bytes.
func longList(t *testing.T, backends int) []byte {
	t.Helper()
	list := List{Rev: 9, Complete: true}
	for i := range backends {
		list.Targets = append(list.Targets, Target{
			UID:      fmt.Sprintf("%s-%05d", strings.Repeat("s", 194), i),
			Endpoint: "10.200.100.18:6379",
			Zone:     "europe-north-1a",
			Model:    "model-2",
			Group:    1000 + i,
			State:    serving,
			Capacity: 1.25,
			BootMS:   1_795_000_000_000,
		})
	}
	text, err := json.MarshalIndent(list, "", "    ")
	if err != nil {
		t.Fatal(err)
	}
	return text
}

// An indented list of 7,700 backends with long names is accepted, on request and on a watch.
func TestLongList(t *testing.T) {
	const backends = 7700
	text := longList(t, backends)
	t.Logf("%d bytes", len(text))
	var posted []List
	w := New("127.0.0.1:1", 7, 1, false, func(l List) { posted = append(posted, l) }, discardLog)
	w.client.Transport = roundTripper(func(req *http.Request) (*http.Response, error) {
		return respond(req, http.StatusOK, io.NopCloser(bytes.NewReader(text))), nil
	})
	if err := w.fetchList(t.Context()); err != nil {
		t.Errorf("list: got error %v, want none", err)
	}
	if _, err := w.watch(t.Context()); !errors.Is(err, io.EOF) {
		t.Errorf("watch: got error %v, want %v", err, io.EOF)
	}
	if len(posted) != 2 || len(posted[0].Targets) != backends || len(posted[1].Targets) != backends {
		t.Errorf("got %d lists posted, want two of %d backends", len(posted), backends)
	}
}

// A list without an end fails with errListTooLong, and nothing of it is posted.
func TestListWithoutEnd(t *testing.T) {
	w := New("127.0.0.1:1", 7, 350, false, func(List) { t.Error("got a list posted, want none") }, discardLog)
	w.client.Transport = roundTripper(func(req *http.Request) (*http.Response, error) {
		return respond(req, http.StatusOK, io.NopCloser(&endlessList{})), nil
	})
	if err := w.fetchList(t.Context()); !errors.Is(err, errListTooLong) {
		t.Errorf("list: got error %v, want %v", err, errListTooLong)
	}
	if received, err := w.watch(t.Context()); received || !errors.Is(err, errListTooLong) {
		t.Errorf("watch: got %v, %v, want false, %v", received, err, errListTooLong)
	}
}

// endlessList is the body of a list whose first uid has no end.
type endlessList struct{ begun bool }

// Read implements io.Reader.
func (l *endlessList) Read(p []byte) (int, error) {
	if !l.begun {
		l.begun = true
		return copy(p, `{"rev":8,"targets":[{"uid":"`), nil
	}
	for i := range p {
		p[i] = 'x'
	}
	return len(p), nil
}
