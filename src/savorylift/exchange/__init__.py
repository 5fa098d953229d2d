"""One request, from its head to its final answer."""
