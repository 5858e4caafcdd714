package router

import "github.com/cespare/xxhash/v2"

// MaxPrefix is the number of bytes of a prompt that PrefixHash reads. Different
// system prompts of one application differ within it.
const MaxPrefix = 2048

// PrefixHash returns the hash by which requests with the same beginning prefer
// the same endpoint. It is 0 only for an empty prompt.
func PrefixHash(prompt []byte) uint64 {
	if len(prompt) == 0 {
		return 0
	}
	return max(xxhash.Sum64(prompt[:min(len(prompt), MaxPrefix)]), 1)
}

// mix is the finalizer of splitmix64. It makes the ranks of neighbouring seeds
// independent.
func mix(x uint64) uint64 {
	x ^= x >> 30
	x *= 0xbf58476d1ce4e5b9
	x ^= x >> 27
	x *= 0x94d049bb133111eb
	return x ^ x>>31
}
