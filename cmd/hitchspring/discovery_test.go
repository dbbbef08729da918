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
	slowCallDelay     = 3 * time.Second // delay of each response of slow discovery
	watchKeepAlive    = 2 * time.Second // interval of the empty lines sent on a watch
	unusedDiscoveryIP = "127.93.81.8"   // no other test listens here, so its ports keep refusing connections
)

// discoveryBehavior handles one call to the discovery stand-in. It returns true if the stand-in must answer the call
// with the endpoint list.
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

// startDiscovery starts a discovery stand-in that answers each call with the same complete list, unless behavior
// returns false. A watch stays open after the list.
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

// refusedAddr returns an address that refuses connections.
func refusedAddr(t *testing.T) string {
	t.Helper()
	return freeAddrOn(t, unusedDiscoveryIP)
}

// servingList returns a complete endpoint list with one backend in state SERVING.
func servingList(revision int64, addr string) discovery.List {
	return discovery.List{Rev: revision, Complete: true, Targets: []discovery.Target{target("s0", addr, "SERVING")}}
}

// target returns the endpoint list entry of a backend in zone a.
func target(uid, addr, state string) discovery.Target {
	return discovery.Target{UID: uid, Endpoint: addr, Zone: "a", State: state}
}
