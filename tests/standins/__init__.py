"""Small programs that take the place of the systems around the nodes."""
