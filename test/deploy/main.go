// Command deploy starts a whole deployment as processes.
package main

func main() {}
