"""Which backend server gets a request, and which waits."""
