// Command hornbeamctl is the operators' command line.
package main

func main() {}
