package target

import "time"

const (
	// burstBucket is the time within which a rise in online usage counts as one burst.
	burstBucket = time.Second
	// burstBuckets is the number of buckets kept.
	burstBuckets = 16
)

// burstMeter records the rise in online usage within each of the most recent buckets.
type burstMeter struct {
	buckets [burstBuckets]struct {
		number    int64
		low, high int
	}
}

func (m *burstMeter) observe(now time.Time, used int) {
	number := now.UnixNano() / int64(burstBucket)
	bucket := &m.buckets[number%burstBuckets]
	if bucket.number != number {
		bucket.number, bucket.low, bucket.high = number, used, used
	}
	bucket.low = min(bucket.low, used)
	bucket.high = max(bucket.high, used)
}

// largest returns the largest rise in the buckets that are still kept.
func (m *burstMeter) largest(now time.Time) int {
	oldest := now.UnixNano()/int64(burstBucket) - burstBuckets
	rise := 0
	for _, bucket := range m.buckets {
		if bucket.number > oldest {
			rise = max(rise, bucket.high-bucket.low)
		}
	}
	return rise
}
