"""Which process lives behind the address of each server, and since when."""
