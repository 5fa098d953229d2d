"""One place that knows the room of a service's engines, in a large fleet."""
