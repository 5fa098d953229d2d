"""The HTTP faces for callers and operators."""
