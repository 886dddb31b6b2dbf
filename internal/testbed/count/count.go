package count

import (
	"math"
	"slices"
	"time"

	"yardwinch/internal/simulation"
)

// Weights are the weights of the shares in the service score, and the prices of events. Each price is multiplied by the number of events per
// client and subtracted from the score.
type Weights struct {
	ServedShare, WorstWindow, WorstCustomer, WorstServiceType float64
	Crossing, Migrations, Connects                            float64 // prices
}

// Sum returns the sum of the weights, without the prices.
func (w Weights) Sum() float64 {
	return w.ServedShare + w.WorstWindow + w.WorstCustomer + w.WorstServiceType
}

const windowSeconds = 10

// Count fills in the figures that follow from the accounting, the totals and the weights.
func (r *Result) Count(accounting *simulation.Accounting, totals *simulation.Totals, services, customers int, weights Weights) {
	sums := sumsOf(accounting, services, customers)
	r.countShares(sums)
	r.countLocalities(accounting)
	r.countTotals(totals, len(sums.bySecond))
	r.countService(weights)
}

// serviceValue is the requested value and the part of it that was served.
type serviceValue struct{ requested, served float64 }

func (v *serviceValue) add(requested, served float64) {
	v.requested += requested
	v.served += served
}

// share returns the served share, which is 1 if nothing was requested.
func (v serviceValue) share() float64 {
	if v.requested <= 0 {
		return 1
	}
	return math.Min(1, v.served/v.requested)
}

// valueSums holds the values of a day, summed by second, by service type and by customer.
type valueSums struct {
	bySecond      []serviceValue
	byServiceType []serviceValue
	byCustomer    []serviceValue // only value within the customer's share
}

func sumsOf(a *simulation.Accounting, services, customers int) valueSums {
	sums := valueSums{make([]serviceValue, len(a.Requested[0])), make([]serviceValue, services), make([]serviceValue, max(customers, 1))}
	for row := range a.Requested {
		service, customer, beyondShare := a.RowOf(row)
		for second := range sums.bySecond {
			requested, served := a.Requested[row][second], a.Served[row][second]
			sums.bySecond[second].add(requested, served)
			sums.byServiceType[service].add(requested, served)
			if !beyondShare {
				sums.byCustomer[customer].add(requested, served)
			}
		}
	}
	return sums
}

func sumOf(values []serviceValue) (sum serviceValue) {
	for _, v := range values {
		sum.add(v.requested, v.served)
	}
	return sum
}

// countShares fills in the served shares of the whole day, of its worst window, and by second, service type and customer.
func (r *Result) countShares(sums valueSums) {
	r.ServedShare = sumOf(sums.bySecond).share()
	r.countWorstWindow(sums.bySecond)
	r.ByServiceType, r.WorstServiceType = sharesOf(sums.byServiceType)
	r.ByCustomer, r.WorstCustomer = sharesOf(sums.byCustomer)
	r.BySecond, _ = sharesOf(sums.bySecond)
}

func sharesOf(values []serviceValue) (shares []float64, worst float64) {
	worst = 1
	for _, v := range values {
		shares = append(shares, v.share())
		worst = math.Min(worst, v.share())
	}
	return shares, worst
}

// countWorstWindow finds the window with the lowest share, the earliest if there are several. A day shorter than a window is one window.
func (r *Result) countWorstWindow(bySecond []serviceValue) {
	r.WorstWindow = math.Inf(1)
	for start := 0; start+windowSeconds <= len(bySecond) || start == 0; start++ {
		end := min(start+windowSeconds, len(bySecond))
		if share := sumOf(bySecond[start:end]).share(); share < r.WorstWindow {
			r.WorstWindow, r.WorstWindowStart = share, float64(start)
		}
	}
}

func (r *Result) countLocalities(a *simulation.Accounting) {
	for locality, requested := range a.RequestedByLocality {
		shares := make([]float64, len(requested))
		for second := range shares {
			shares[second] = serviceValue{requested[second], a.ServedByLocality[locality][second]}.share()
		}
		r.BySecondAndLocality = append(r.BySecondAndLocality, shares)
	}
}

// countService computes the service score: the weighted mean of the shares, less the prices of the events.
func (r *Result) countService(w Weights) {
	shares := w.ServedShare*r.ServedShare + w.WorstWindow*r.WorstWindow +
		w.WorstCustomer*r.WorstCustomer + w.WorstServiceType*r.WorstServiceType
	clients := math.Max(1, float64(r.Clients))
	prices := w.Crossing*float64(r.Crossings)/clients + w.Migrations*float64(r.Migrations)/clients + w.Connects*float64(r.Connects)/clients
	r.Service = shares/w.Sum() - prices
}

func (r *Result) countTotals(t *simulation.Totals, seconds int) {
	r.Clients, r.Attempts, r.Retries = t.Clients, t.Attempts, t.Retries
	r.Established, r.Rejected, r.Aborted = t.Established, t.Rejected, t.Aborted
	r.NoBalancer, r.TimedOut, r.Cut = t.NoBalancer, t.TimedOut, t.Cut
	r.SetupTimes = quantiles(t.Setups)
	r.FirstSetupTimes = quantiles(append(slices.Clone(t.FirstEstablished), t.NeverEstablished...))
	r.NeverEstablished = len(t.NeverEstablished)
	r.RejectsBySecond = PerSecond(t.RejectedAt, seconds)
	r.AttemptsBySecond = PerSecond(t.AttemptedAt, seconds)
	r.countSetupTimes(t, seconds)
}

func (r *Result) countSetupTimes(t *simulation.Totals, seconds int) {
	bySecond := make([][]time.Duration, seconds)
	for i, at := range t.EstablishedAt {
		if second := int(at / time.Second); second < seconds {
			bySecond[second] = append(bySecond[second], t.Setups[i])
		}
	}
	for _, times := range bySecond {
		q := quantiles(times)
		r.SetupTimesBySecond = append(r.SetupTimesBySecond, [3]float64{q.P50, q.P90, q.P99})
	}
}
