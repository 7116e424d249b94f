// Command hornbeamlockd is the entry instance.
package main

func main() {}
