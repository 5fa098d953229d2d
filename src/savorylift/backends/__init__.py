"""The state of the backend servers, as this node knows it."""
