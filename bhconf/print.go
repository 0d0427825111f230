package bhconf

import (
	"fmt"
	"io"
	"os"
)

// Print writes the canonical form of the configuration to w. The error is of type
// Problems if the configuration is invalid.
func Print(w io.Writer, config Config) error {
	if err := config.Check().Err(); err != nil {
		return err
	}
	data, err := config.Canonical()
	if err != nil {
		return err
	}
	_, err = w.Write(data)
	return err
}

// Main is the body of the main function of an operator's program. It prints the
// configuration to standard output. If the configuration is invalid, it prints
// every problem to standard error and exits with code 1.
func Main(config Config) {
	if err := Print(os.Stdout, config); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}

// Repeat calls one with each number from 1 to count and returns the results.
func Repeat[T any](count int, one func(number int) T) []T {
	elements := make([]T, count)
	for i := range elements {
		elements[i] = one(i + 1)
	}
	return elements
}

// Concat returns the elements of all lists in order.
func Concat[T any](lists ...[]T) []T {
	var all []T
	for _, list := range lists {
		all = append(all, list...)
	}
	return all
}
