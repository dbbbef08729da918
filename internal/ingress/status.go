package ingress

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"time"

	"github.com/prometheus/client_golang/prometheus/collectors"
	"github.com/prometheus/client_golang/prometheus/promhttp"
)

const (
	maxMetricsRequests   = 8 // concurrent requests; as many descriptors are reserved
	statusHeaderTimeout  = 2 * time.Second
	statusWriteTimeout   = 10 * time.Second
	statusIdleTimeout    = 2 * time.Minute
	statusMaxHeaderBytes = 8 << 10
)

// serveStatus serves the Prometheus metrics and the data of `hitchspring status`
// until end is called, if the configuration has an address for them.
func (i *Instance) serveStatus() (end func(), err error) {
	if i.config.Metrics == "" {
		return func() {}, nil
	}
	listener, err := net.Listen("tcp", i.config.Metrics)
	if err != nil {
		return nil, fmt.Errorf("listening for metrics: %w", err)
	}
	i.registerMetrics()
	server := &http.Server{
		Handler:           i.statusHandler(),
		ReadHeaderTimeout: statusHeaderTimeout,
		WriteTimeout:      statusWriteTimeout,
		IdleTimeout:       statusIdleTimeout,
		MaxHeaderBytes:    statusMaxHeaderBytes,
	}
	done := make(chan struct{})
	go func() {
		defer close(done)
		_ = server.Serve(listener) // always returns an error, http.ErrServerClosed after Close
	}()
	return func() {
		server.Close()
		<-done
	}, nil
}

func (i *Instance) registerMetrics() {
	i.registry.MustRegister(newRequestCollector(i.core.Metrics(), i.core.Guard()))
	if i.config.Zones != nil {
		i.registry.MustRegister(newZoneCollector(i.core.ZoneStatus))
	}
	if i.peers != nil {
		i.registry.MustRegister(newPeerCollector(i.PeersStatus))
	}
	i.registry.MustRegister(
		collectors.NewGoCollector(),
		collectors.NewProcessCollector(collectors.ProcessCollectorOpts{}),
	)
}

func (i *Instance) statusHandler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /halls", i.serveZones)
	mux.HandleFunc("GET /peers", i.servePeers)
	mux.HandleFunc("GET /nodes", i.serveBackends)
	mux.HandleFunc("GET /work", i.serveWork)
	mux.HandleFunc("GET /budgets", i.serveQuotaBounds)
	mux.HandleFunc("GET /rights", i.serveEscrow)
	mux.Handle("GET /metrics", promhttp.HandlerFor(i.registry, promhttp.HandlerOpts{
		MaxRequestsInFlight: maxMetricsRequests,
	}))
	return mux
}

// serveZones answers with the status of the zones, for `hitchspring status halls`.
func (i *Instance) serveZones(w http.ResponseWriter, _ *http.Request) {
	status, ok := i.core.ZoneStatus()
	writeStatus(w, status, ok, "nothing is known of halls: [halls] is off, or no node has been listed yet")
}

// serveWork answers with the requests that can be taken over, for `hitchspring
// status work`.
func (i *Instance) serveWork(w http.ResponseWriter, _ *http.Request) {
	status, ok := i.core.WorkStatus()
	writeStatus(w, status, ok, "work in hand ends with this instance: [takeover] is off")
}

// servePeers answers with the status of the peers, for `hitchspring status peers`.
func (i *Instance) servePeers(w http.ResponseWriter, _ *http.Request) {
	status, ok := i.PeersStatus()
	writeStatus(w, status, ok,
		"this instance takes no part among peers: [peers] is off, or its address is not free yet")
}

// serveBackends answers with the assessments of the backends, for `hitchspring
// status nodes`.
func (i *Instance) serveBackends(w http.ResponseWriter, _ *http.Request) {
	status, ok := i.core.BackendsStatus()
	writeStatus(w, status, ok, "nobody tells of nodes here: [peers] is off")
}

// writeStatus answers with a status as JSON, or with 503 and the reason if ok is false.
func writeStatus(w http.ResponseWriter, status any, ok bool, reason string) {
	if !ok {
		http.Error(w, reason, http.StatusServiceUnavailable)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	encoder := json.NewEncoder(w)
	encoder.SetIndent("", "  ")
	_ = encoder.Encode(status) // fails only if the caller has disconnected
}
