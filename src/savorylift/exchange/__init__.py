"""Request handling: admission, server selection, retries and streaming."""
