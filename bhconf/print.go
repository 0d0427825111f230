package bhconf

import (
	"fmt"
	"io"
	"os"
)

// Print writes the canonical form of the configuration to w. It fails with
// Problems if the configuration has mistakes.
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

// Main is the body of an operator's program: it prints the configuration, or
// every mistake in it and ends the program with exit code 1.
func Main(config Config) {
	if err := Print(os.Stdout, config); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}

// Repeat returns the elements that one makes for the numbers from 1 to count.
func Repeat[T any](count int, one func(number int) T) []T {
	elements := make([]T, count)
	for i := range elements {
		elements[i] = one(i + 1)
	}
	return elements
}

// Concat returns the elements of all lists.
func Concat[T any](lists ...[]T) []T {
	var all []T
	for _, list := range lists {
		all = append(all, list...)
	}
	return all
}
