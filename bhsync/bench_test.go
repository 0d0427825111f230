package bhsync

import "testing"

func BenchmarkApplyChange(b *testing.B) {
	old, next := testConfig(1400), testConfig(1400)
	next.Accounts[700].Rate = 11
	first, second := fullMessageOf(b, 1, old), changeMessageOf(b, 1, 2, old, next)
	for b.Loop() {
		b.StopTimer()
		store := NewStore(StoreConfig{})
		if _, err := store.Apply(first); err != nil {
			b.Fatal(err)
		}
		b.StartTimer()
		if _, err := store.Apply(second); err != nil {
			b.Fatal(err)
		}
	}
}
