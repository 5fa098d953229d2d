"""The account of refused requests, kept in the platform's store."""
