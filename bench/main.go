// Command bench measures hornbeamlock under load and faults.
package main

func main() {}
