package fleet

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"time"

	"yardwinch/internal/testbed/netfault"
	"yardwinch/internal/testbed/sockets"
)

const (
	callTimeout      = time.Second
	maxResponseBytes = 1024
)

// startCall sends an operator's call to a balancer over the operator's network path, without holding the driver's mutex.
func (r *fleetRun) startCall(p *process, f startedFault) {
	r.workers.Go(func() {
		response := r.call(p, f)
		r.driver.WithLock(func() {
			r.record(p.name, "%s answered %s", f.path, response.text)
			if f.name != "" {
				r.callResponses[f.name] = append(r.callResponses[f.name], response)
			}
		})
	})
}

func (r *fleetRun) call(p *process, f startedFault) callResponse {
	ctx, cancel := context.WithTimeout(r.ctx, callTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, f.method, "http://"+p.controlAddress+f.path, nil)
	if err != nil {
		return callResponse{balancer: p.name, text: err.Error()}
	}
	response, err := r.operatorTransport(p).RoundTrip(request)
	if err != nil {
		return callResponse{balancer: p.name, text: err.Error()}
	}
	text, _ := io.ReadAll(io.LimitReader(response.Body, maxResponseBytes)) // the status code decides; the text is only reported
	_ = response.Body.Close()
	return callResponse{
		balancer:  p.name,
		isSuccess: response.StatusCode/100 == 2,
		text:      fmt.Sprintf("%d %s", response.StatusCode, strings.TrimSpace(string(text))),
	}
}

// operatorTransport connects to a balancer's control address over the network path between the operator and the balancer.
func (r *fleetRun) operatorTransport(p *process) *http.Transport {
	return &http.Transport{DisableKeepAlives: true, DialContext: func(ctx context.Context, _, _ string) (net.Conn, error) {
		balancerConn, err := (&net.Dialer{}).DialContext(ctx, "tcp", p.controlAddress)
		if err != nil {
			return nil, err
		}
		forwarded, operatorConn := netfault.Pipe()
		r.workers.Go(func() {
			r.network.Forward(sockets.OperatorEndpoint, netfault.Endpoint(p.name), forwarded, balancerConn, netfault.Tap{})
		})
		return operatorConn, nil
	}}
}
