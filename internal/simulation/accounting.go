package simulation

import "time"

// Accounting sums the value that was requested and the value that was served, by seconds of the day, service types and customers. Value
// that spans seconds is spread over them evenly.
type Accounting struct {
	Length           time.Duration
	BeyondShareValue float64 // what a value counts beyond a customer's share

	// A row a service type, customer, and whether it is beyond the customer's share; a column a second.
	Requested, Served [][]float64
	customers         int

	// A row a locality of the clients, a column a second.
	RequestedByLocality, ServedByLocality [][]float64
}

// Account says whose value is counted.
type Account struct {
	Service       ServiceID
	Customer      CustomerID
	IsBeyondShare bool
	Locality      LocalityID // of the client
}

// NewAccounting makes an empty one for a day.
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

// RowOf is the service type, the customer, and the side of the customer's share that a row is for.
func (a *Accounting) RowOf(row int) (s ServiceID, c CustomerID, isBeyondShare bool) {
	return ServiceID(row / 2 / a.customers), CustomerID(row / 2 % a.customers), row%2 == 1
}

// AddRequested counts that a client wants its connection from one time to another, at so much value a second.
func (a *Accounting) AddRequested(of Account, from, to time.Duration, value float64) {
	value = a.weigh(of, value)
	a.spread(a.Requested[a.row(of)], from, to, value)
	a.spread(a.RequestedByLocality[of.Locality], from, to, value)
}

// AddServed counts that so much value a second was served from one time to another.
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

// spread adds so much a second to the seconds of a span; what lies outside of the day is left out.
func (a *Accounting) spread(row []float64, from, to time.Duration, rate float64) {
	from, to = max(from, 0), min(to, a.Length)
	for from < to {
		second := int(from / time.Second)
		until := min(to, time.Duration(second+1)*time.Second)
		row[second] += rate * (until - from).Seconds()
		from = until
	}
}
