package simulation

import "time"

// Accounting sums the value that was requested and the value that was served, by second of the day, service type and customer. Value over
// a time that spans several seconds is attributed to each in proportion.
type Accounting struct {
	Length           time.Duration
	BeyondShareValue float64 // factor for value beyond a customer's share

	// One row for each combination of service type, customer, and within or beyond the customer's share; one column for each second.
	Requested, Served [][]float64
	customers         int

	// One row for each locality of clients, one column for each second.
	RequestedByLocality, ServedByLocality [][]float64
}

// Account identifies what a value is attributed to.
type Account struct {
	Service       ServiceID
	Customer      CustomerID
	IsBeyondShare bool
	Locality      LocalityID // of the client
}

// NewAccounting returns an empty Accounting for a day of a length.
func NewAccounting(length time.Duration, services, customers, localities int, beyondShareValue float64) *Accounting {
	a := &Accounting{Length: length, BeyondShareValue: beyondShareValue, customers: max(customers, 1)}
	seconds := int((length + time.Second - 1) / time.Second)
	a.RequestedByLocality, a.ServedByLocality = rows(localities, seconds), rows(localities, seconds)
	both := 2 // within the customer's share and beyond it
	a.Requested, a.Served = rows(services*a.customers*both, seconds), rows(services*a.customers*both, seconds)
	return a
}

func rows(count, columns int) [][]float64 {
	var all [][]float64
	for range count {
		all = append(all, make([]float64, columns))
	}
	return all
}

func (a *Accounting) row(of Account) int {
	row := (int(of.Service)*a.customers + max(int(of.Customer), 0)) * 2
	if of.IsBeyondShare {
		row++
	}
	return row
}

// RowOf returns the service type and the customer of a row, and whether the row is for value beyond the customer's share.
func (a *Accounting) RowOf(row int) (s ServiceID, c CustomerID, isBeyondShare bool) {
	return ServiceID(row / 2 / a.customers), CustomerID(row / 2 % a.customers), row%2 == 1
}

// AddRequested records that a client wants its connection from one time to another, at a value per second.
func (a *Accounting) AddRequested(of Account, from, to time.Duration, value float64) {
	value = a.weigh(of, value)
	a.spread(a.Requested[a.row(of)], from, to, value)
	a.spread(a.RequestedByLocality[of.Locality], from, to, value)
}

// AddServed records a value per second that was served from one time to another.
func (a *Accounting) AddServed(of Account, from, to time.Duration, value float64) {
	value = a.weigh(of, value)
	a.spread(a.Served[a.row(of)], from, to, value)
	a.spread(a.ServedByLocality[of.Locality], from, to, value)
}

func (a *Accounting) weigh(of Account, value float64) float64 {
	if of.IsBeyondShare {
		return value * a.BeyondShareValue
	}
	return value
}

// spread adds rate, which is per second, to each second between two times in proportion to the part covered. Times outside of the day are
// ignored.
func (a *Accounting) spread(row []float64, from, to time.Duration, rate float64) {
	from, to = max(from, 0), min(to, a.Length)
	for from < to {
		second := int(from / time.Second)
		until := min(to, time.Duration(second+1)*time.Second)
		row[second] += rate * (until - from).Seconds()
		from = until
	}
}
