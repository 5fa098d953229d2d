"""How fast each backend server is, from what it does."""
