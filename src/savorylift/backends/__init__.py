"""What a node believes of the backend servers."""
