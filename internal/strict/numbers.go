package strict

import "time"

// toFloat converts an integer or a float.
func toFloat(value any) (number float64, ok bool) {
	switch value := value.(type) {
	case int64:
		return float64(value), true
	case float64:
		return value, true
	}
	return 0, false
}

// Float returns a number from minimum to maximum.
func (t Table) Float(key string, fallback, minimum, maximum float64) float64 {
	value, present := t.get(key)
	if !present {
		return fallback
	}
	number, ok := toFloat(value)
	if !ok || !(number >= minimum && number <= maximum) { // NaN is out of range too
		t.Fail(key, "want a number from %g to %g, got %v", minimum, maximum, value)
		return fallback
	}
	return number
}

// Int returns an integer from minimum to maximum.
func (t Table) Int(key string, fallback, minimum, maximum int) int {
	value, present := t.get(key)
	if !present {
		return fallback
	}
	number, ok := value.(int64)
	if !ok || number < int64(minimum) || number > int64(maximum) {
		t.Fail(key, "want a whole number from %d to %d, got %v", minimum, maximum, value)
		return fallback
	}
	return int(number)
}

// IncreasingInts returns a list of integers from minimum to maximum, each greater than the one before it; nil if
// absent.
func (t Table) IncreasingInts(key string, minimum, maximum int) (numbers []int) {
	value, present := t.get(key)
	if !present {
		return nil
	}
	list, ok := value.([]any)
	for _, item := range list {
		number, isInt := item.(int64)
		inRange := number >= int64(minimum) && number <= int64(maximum)
		increases := len(numbers) == 0 || int(number) > numbers[len(numbers)-1]
		ok = ok && isInt && inRange && increases
		numbers = append(numbers, int(number))
	}
	if !ok || len(numbers) == 0 {
		t.Fail(key, "want a list of whole numbers from %d to %d, each above the one before it, got %v", minimum, maximum, value)
		return nil
	}
	return numbers
}

// Range returns the two ends of a range, given as a list, or as a single number that is both. Both are from minimum to
// maximum.
func (t Table) Range(key string, fallbackLow, fallbackHigh, minimum, maximum float64) (low, high float64) {
	value, present := t.get(key)
	if !present {
		return fallbackLow, fallbackHigh
	}
	low, high, ok := rangeEnds(value, toFloat)
	if !ok || !(low >= minimum && high <= maximum) {
		t.Fail(key, "want a number from %g to %g, or a list of two, the smaller first, got %v", minimum, maximum, value)
		return fallbackLow, fallbackHigh
	}
	return low, high
}

// Duration returns a duration such as "250ms", at most maximum.
func (t Table) Duration(key string, fallback, maximum time.Duration) time.Duration {
	duration, _ := t.DurationRange(key, fallback, fallback, maximum)
	return duration
}

// DurationRange returns the two ends of a range of durations such as "250ms", given as a list, or as a single duration
// that is both. Both are at most maximum.
func (t Table) DurationRange(key string, fallbackLow, fallbackHigh, maximum time.Duration) (low, high time.Duration) {
	value, present := t.get(key)
	if !present {
		return fallbackLow, fallbackHigh
	}
	low, high, ok := rangeEnds(value, toDuration)
	if !ok || high > maximum {
		t.Fail(key, `want a time of at most %v such as "250ms", or a list of two, the shorter first, got %v`, maximum, value)
		return fallbackLow, fallbackHigh
	}
	return low, high
}

// toDuration converts a string to a duration that is not negative.
func toDuration(value any) (duration time.Duration, ok bool) {
	text, isText := value.(string)
	if !isText {
		return 0, false
	}
	duration, err := time.ParseDuration(text)
	return duration, err == nil && duration >= 0
}

// rangeEnds returns the two ends of a range, the lower first. A single value is both ends.
func rangeEnds[T float64 | time.Duration](value any, convert func(any) (T, bool)) (low, high T, ok bool) {
	if single, ok := convert(value); ok {
		return single, single, true
	}
	list, _ := value.([]any)
	if len(list) != 2 {
		return 0, 0, false
	}
	low, okLow := convert(list[0])
	high, okHigh := convert(list[1])
	return low, high, okLow && okHigh && low <= high
}
