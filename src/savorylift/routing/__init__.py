"""The configuration in force and what it says of a request."""
