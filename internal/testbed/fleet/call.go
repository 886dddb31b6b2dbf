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
	callTimeout    = time.Second
	maxAnswerBytes = 1024
)

// startCall has the operator call a balancer over the operator's path, beside the driver's mutex.
func (r *fleetRun) startCall(p *process, f startedFault) {
	r.workers.Go(func() {
		answer := r.call(p, f)
		r.driver.Do(func() {
			r.record(p.name, "%s answered %s", f.path, answer.text)
			if f.name != "" {
				r.callAnswers[f.name] = append(r.callAnswers[f.name], answer)
			}
		})
	})
}

func (r *fleetRun) call(p *process, f startedFault) callAnswer {
	ctx, cancel := context.WithTimeout(r.ctx, callTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, f.method, "http://"+p.control+f.path, nil)
	if err != nil {
		return callAnswer{balancer: p.name, text: err.Error()}
	}
	response, err := r.operatorTransport(p).RoundTrip(request)
	if err != nil {
		return callAnswer{balancer: p.name, text: err.Error()}
	}
	text, _ := io.ReadAll(io.LimitReader(response.Body, maxAnswerBytes)) // the code says yes or no, whatever can be read
	_ = response.Body.Close()
	return callAnswer{
		balancer: p.name,
		isYes:    response.StatusCode/100 == 2,
		text:     fmt.Sprintf("%d %s", response.StatusCode, strings.TrimSpace(string(text))),
	}
}

// operatorTransport connects to a balancer's control address over the operator's path to it.
func (r *fleetRun) operatorTransport(p *process) *http.Transport {
	return &http.Transport{DisableKeepAlives: true, DialContext: func(ctx context.Context, _, _ string) (net.Conn, error) {
		far, err := (&net.Dialer{}).DialContext(ctx, "tcp", p.control)
		if err != nil {
			return nil, err
		}
		forwarded, ours := netfault.Pipe()
		r.workers.Go(func() {
			r.network.Forward(sockets.Operator, netfault.Endpoint(p.name), forwarded, far, netfault.Tap{})
		})
		return ours, nil
	}}
}
