package arrival

import "testing"

// Guards against requests whose time counts from when their turn comes: each must get the time at which its last byte arrived, however
// the input was split, and what arrives behind an open request must not take memory without end.
func TestRequestsWaitBehindAnother(t *testing.T) {
	var times Times
	times.Add(10, 100, false)
	times.Add(30, 200, false) // the request is whole with these bytes
	if at := times.Take(30, 1000); at != 200 || len(times.marks) > 0 {
		t.Errorf("the first request arrived at %v, %v are left", at, times.marks)
	}
	times.Add(40, 300, true)  // the second request
	times.Add(60, 320, true)  // the third one, merged with the second
	times.Add(100, 500, true) // the fourth one
	for i, want := range []float64{300, 300, 500} {
		if at := times.Take([]int{40, 20, 40}[i], 1000); at != want {
			t.Errorf("request %d behind the first one arrived at %v, want %v", i+1, at, want)
		}
	}
	if at := times.Take(5, 1000); at != 1000 {
		t.Errorf("bytes of an unknown time arrived at %v", at)
	}
	for i := range 100000 {
		times.Add(i+1, float64(i)/10, true)
	}
	if len(times.marks) > 10000/mergeInterval {
		t.Errorf("%d marks for 10 s", len(times.marks))
	}
	if at := times.Take(100000, 1e6); at < 10000-mergeInterval-1 {
		t.Errorf("the last byte arrived at %v", at)
	}
}
