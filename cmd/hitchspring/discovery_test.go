package main

import (
	"encoding/json"
	"io"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"hitchspring/internal/discovery"
)

const (
	slowCallDelay     = 3 * time.Second // before slow discovery answers a call
	watchKeepAlive    = 2 * time.Second // between two empty lines on a watch
	unusedDiscoveryIP = "127.93.81.8"   // on which no other test listens, so that a refused port stays free
)

// discoveryBehavior is how a stand-in of discovery treats one call. It reports whether the call is to be answered with
// the endpoint list.
type discoveryBehavior func(w http.ResponseWriter, r *http.Request) bool

// healthy answers at once.
func healthy(http.ResponseWriter, *http.Request) bool { return true }

// slow answers each call after slowCallDelay.
func slow(_ http.ResponseWriter, r *http.Request) bool {
	select {
	case <-r.Context().Done():
		return false
	case <-time.After(slowCallDelay):
		return true
	}
}

// silent accepts the call and never answers.
func silent(_ http.ResponseWriter, r *http.Request) bool {
	<-r.Context().Done()
	return false
}

// unavailable answers 503.
func unavailable(w http.ResponseWriter, _ *http.Request) bool {
	w.WriteHeader(http.StatusServiceUnavailable)
	return false
}

// startDiscovery starts a stand-in of discovery with one list. It answers each call with the complete list, and
// a watch too, which then stays open.
func startDiscovery(t *testing.T, list discovery.List, behavior discoveryBehavior) (addr string) {
	t.Helper()
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if !behavior(w, r) {
			return
		}
		json.NewEncoder(w).Encode(list)
		if r.URL.Query().Get("follow") == "" {
			return
		}
		for {
			w.(http.Flusher).Flush()
			select {
			case <-r.Context().Done():
				return
			case <-time.After(watchKeepAlive):
				io.WriteString(w, "\n")
			}
		}
	}))
	t.Cleanup(func() {
		server.CloseClientConnections()
		server.Close()
	})
	return server.Listener.Addr().String()
}

// refusedAddr returns an address at which every connection is refused.
func refusedAddr(t *testing.T) string {
	t.Helper()
	return freeAddrOn(t, unusedDiscoveryIP)
}

// servingList returns the complete endpoint list of one backend that serves.
func servingList(revision int64, addr string) discovery.List {
	return discovery.List{Rev: revision, Complete: true, Targets: []discovery.Target{target("s0", addr, "SERVING")}}
}

// target returns the entry of a backend in zone a.
func target(uid, addr, state string) discovery.Target {
	return discovery.Target{UID: uid, Endpoint: addr, Zone: "a", State: state}
}
