// Command ragwortstep is the one program of the system.
package main

func main() {}
